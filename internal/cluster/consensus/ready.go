package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// Ready holds the records that must be persisted before Advance.
type Ready struct {
	Records []store.Record // to be persisted in this order
	Sync    bool           // the records must be durable before Advance
}

// Effects holds the outputs that result from the inputs since the last Advance.
type Effects struct {
	Messages  []*pb.Message
	Responses []Response
	Revisions []clusterstate.Revision // newly in force, in order
	Snapshot  []byte                  // for store.WriteSnapshot; replaces all records so far

	SessionMessages []SessionMessage       // to other instances
	Permit          *rollout.Permit        // whether the fronts may admit jobs; nil: unchanged
	Stage           *clusterstate.Revision // a pending change that the fronts must stage; see ReportStaged
	ClusterView     *ClusterView           // nil: unchanged
	// Notifications are messages of participants to the rest of the node, in order. They must be delivered
	// after the ClusterView. Each participant defines its own types.
	Notifications []any
}

// SessionMessage is a session report or grant to another instance.
type SessionMessage struct {
	To      uint64
	Message *schema.SessionMessage
}

func (e *Effects) empty() bool {
	return len(e.Messages) == 0 && len(e.Responses) == 0 && len(e.Revisions) == 0 && e.Snapshot == nil &&
		len(e.SessionMessages) == 0 && e.Permit == nil && e.Stage == nil && e.ClusterView == nil &&
		len(e.Notifications) == 0
}

// Ready returns what must be persisted next. ok is false if there is nothing to do until the next input.
func (i *Instance) Ready() (rd Ready, ok bool) {
	if i.pendingReady != nil {
		panic("consensus: Ready before Advance")
	}
	if len(i.unsaved) > 0 {
		rd.Records, rd.Sync, ok = i.unsaved, true, true
		i.unsaved = nil
	}
	if i.node != nil && i.halted == nil {
		i.haltOnPanic(func() {
			if !i.node.HasReady() {
				return
			}
			ready := i.node.Ready()
			ok = true
			i.pendingReady = &ready
			rd.add(&ready)
		})
	}
	return rd, ok || !i.out.empty()
}

// add adds the records of a Raft Ready. Their order matters if a crash loses the last ones: a snapshot comes
// before the entries that follow it, and the commit index comes after the entries.
func (rd *Ready) add(ready *raft.Ready) {
	add := func(kind uint8, m proto.Message) {
		record, err := newRecord(kind, m)
		if err != nil {
			panic(err)
		}
		rd.Records = append(rd.Records, record)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		add(recSnapshot, ready.Snapshot)
		rd.Sync = true
	}
	for _, e := range ready.Entries {
		add(recEntry, e)
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		add(recHardState, ready.HardState)
	}
	rd.Sync = rd.Sync || ready.MustSync
}

// Advance must be called once the records that Ready returned are persisted. It applies the committed entries
// and returns the effects.
func (i *Instance) Advance() Effects {
	if ready := i.pendingReady; ready != nil {
		i.pendingReady = nil
		i.haltOnPanic(func() { i.advance(ready) })
		i.sessions.evaluate()
	}
	out := i.out
	i.out = Effects{}
	return out
}

func (i *Instance) advance(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		i.installSnapshot(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := i.storage.SetHardState(rd.HardState); err != nil {
			panic(err)
		}
	}
	if err := i.storage.Append(rd.Entries); err != nil {
		panic(err)
	}
	for _, m := range rd.Messages {
		if m.GetType() == pb.MsgVoteResp && !m.GetReject() {
			i.electionElapsed = 0 // this instance has voted and waits for the result
		}
	}
	i.out.Messages = append(i.out.Messages, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		i.applyEntry(e)
	}
	for _, s := range rd.ReadStates {
		if !i.sessions.confirmation.observe(s) {
			i.reads.observe(s)
		}
	}
	i.node.Advance(*rd)
	i.requests.evaluate()
	// Raft ignores a snapshot whose configuration does not include the receiver. Without a new snapshot after
	// a membership change, a new member would wait forever for one that includes it.
	if i.membersChanged || i.applied-i.snapshotIndex >= i.cfg.SnapshotCount {
		i.createSnapshot()
	}
}
