// Package consensus replicates the cluster state of package clusterstate to all instances of a group with the
// Raft protocol (go.etcd.io/raft).
//
// An Instance is a deterministic state machine like raft.RawNode: its inputs are ticks, messages and
// requests; its outputs are records to persist, messages to send and responses. It does no I/O, reads no
// clock, starts no goroutine, and its only random source is its seed. The same inputs therefore give the same
// outputs, and package simulation can replay a day of failures within a second.
//
// After every input the caller must run this loop:
//
//	for {
//		rd, ok := i.Ready()
//		if !ok { break }
//		store.Append(rd.Records...)    // in this order
//		if rd.Sync { store.Sync() }    // before any of the effects below
//		effects := i.Advance()
//		if effects.Snapshot != nil { store.WriteSnapshot(effects.Snapshot) }
//		// send effects.Messages, deliver effects.Responses, publish effects.Revisions
//	}
//
// ProcessReady implements that loop. If persisting fails, the instance must be discarded, and a new one
// created from the contents of the store. A Runner drives an Instance with a ticker, a disk and a network.
//
// An Instance consists of components with one responsibility each: replica holds the Raft node and the state
// that it has applied; requestTable tracks requests until their Response, for proposals, reads (linearizable
// read requests), membershipChanges and leaderTransfers; sessions renews this instance's lease and, on the
// leader, grants the leases of all members; participants drives this instance's side of each replicated state
// machine; ownership tracks the placement views.
//
// Raft draws its own election timeout from the system's random source, which is not reproducible. An Instance
// draws the timeout from its seed instead, starts campaigns explicitly, and advances Raft's clock with
// TickQuiesced (see replica.tick).
package consensus
