// Package consensus replicates the cluster state of package clusterstate to all instances of a group by the
// Raft protocol (go.etcd.io/raft).
//
// An Instance is a deterministic state machine in the manner of raft.RawNode: ticks, messages and requests
// go in; records to persist, messages to send and responses come out. It does no I/O itself, and has no
// clock, no goroutine and no random source but its seed, so that the same inputs give the same outputs and
// package simulation can replay a day of failures within a second.
//
// The contract with the caller, after every input:
//
//	for {
//		rd, ok := i.Ready()
//		if !ok { break }
//		store.Append(rd.Records...)    // in this order
//		if rd.Sync { store.Sync() }    // before any effect is carried out
//		effects := i.Advance()
//		if effects.Snapshot != nil { store.WriteSnapshot(effects.Snapshot) }
//		// send effects.Messages, deliver effects.Responses, publish effects.Revisions
//	}
//
// ProcessReady is that loop. If persisting fails, the instance must not be used any more: a new one is made
// from what the store holds. A Runner drives an Instance with a ticker, a disk and a network.
//
// An Instance is made of components with one job each: replica is the Raft node and the state that it has
// applied; requestTable tracks requests until their Response, for proposals, reads (linearizable read
// requests) and membershipChanges; sessions renews this instance's lease and, on the leader, grants those of
// all; participants drives this instance's side of each replicated state machine; ownership follows the
// placement views.
//
// Raft's own election timeout is drawn from the system's random source. An Instance draws it from its seed,
// tells Raft when to campaign, and otherwise lets Raft's clock run by TickQuiesced (see Tick).
package consensus
