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

// Ready is what must be persisted before Advance.
type Ready struct {
	Records []store.Record // in this order
	Sync    bool           // they must be durable before any effect is carried out
}

// Effects are what follows from the inputs since the last Advance.
type Effects struct {
	Messages  []*pb.Message
	Responses []Response
	Revisions []clusterstate.Revision // newly in force, in order
	Snapshot  []byte                  // for store.WriteSnapshot; it replaces the records so far

	SessionMessages []SessionMessage       // to other instances
	Permit          *rollout.Permit        // whether the fronts may admit jobs, where that has changed
	Stage           *clusterstate.Revision // the fronts must be made ready for this change; see ReportStaged
	ClusterView     *ClusterView           // of placement and this instance's session, likewise
	// Notifications are what participants send to the rest of the node, in order, after the ClusterView.
	// Each participant has types of its own.
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

// Ready gives what must be persisted next. It is false if there is nothing to do until the next input.
func (i *Instance) Ready() (rd Ready, ok bool) {
	if i.pendingReady != nil {
		panic("consensus: Ready before Advance")
	}
	if len(i.unsaved) > 0 {
		rd.Records, rd.Sync, ok = i.unsaved, true, true
		i.unsaved = nil
	}
	if i.node != nil && i.halted == nil {
		i.guarded(func() {
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

// add makes records of what must outlive the process. The order matters where the end of them is lost: a
// snapshot before the entries after it, and the commit index after the entries.
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

// Advance must be called once what Ready gave is persisted. It applies the committed entries and gives what
// is to be carried out.
func (i *Instance) Advance() Effects {
	if ready := i.pendingReady; ready != nil {
		i.pendingReady = nil
		i.guarded(func() { i.advance(ready) })
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
			i.electionElapsed = 0 // an instance that has voted waits for the result
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
	// Hazard: Raft passes over a snapshot in which the one that gets it is no member yet, so that a new
	// member would wait for ever for the next one.
	if i.membersChanged || i.applied-i.snapshotIndex >= i.cfg.SnapshotCount {
		i.createSnapshot()
	}
}
