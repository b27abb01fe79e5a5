package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/storage/store"
)

// Instance is one member of a group, as a state machine; see the package's comment. One goroutine must use
// it at a time.
type Instance struct {
	*replica
	requests     *requestTable
	proposals    *proposals
	reads        *reads
	membership   *membershipChanges
	transfers    *leaderTransfers
	sessions     *sessions
	participants *participants
	ownership    *ownership
	pendingReady *raft.Ready // between Ready and Advance
}

// New makes an instance from what its store recovered. One whose store is empty is a new instance under the
// given number, which must have been drawn at random: a number is never used again, so that an instance
// whose disk was wiped has no vote under the old one.
func New(cfg Config, recovered *RecoveredState, number uint64, name string) (*Instance, error) {
	r, err := newReplica(cfg.withDefaults(), recovered, number, name)
	if err != nil {
		return nil, err
	}
	requests := &requestTable{replica: r}
	r.onHalt = requests.failAll
	o := &ownership{replica: r}
	s := newSessions(r, o)
	o.participants = s.participants
	i := &Instance{
		replica:      r,
		requests:     requests,
		proposals:    &proposals{replica: r, requests: requests, formats: s.formats},
		reads:        &reads{replica: r, requests: requests},
		membership:   &membershipChanges{replica: r, requests: requests},
		transfers:    &leaderTransfers{replica: r, requests: requests},
		sessions:     s,
		participants: s.participants,
		ownership:    o,
	}
	if r.identity.Cluster == "" {
		return i, nil
	}
	return i, i.start()
}

// start begins to take part in the group.
func (i *Instance) start() error {
	if err := i.replica.start(); err != nil {
		return err
	}
	i.sessions.evaluate() // so that the fronts learn why they may not admit yet
	return nil
}

// Bootstrap makes a group of this instance alone, with a document. A group made from a backup numbers its
// revisions after the backup's.
func (i *Instance) Bootstrap(cluster, address string, first *clusterstate.Document, after uint64) error {
	if i.identity.Cluster != "" {
		return &RejectedError{"this instance belongs to a group already"}
	}
	state, err := clusterstate.New(i.cfg.Rules, cluster, first, after,
		clusterstate.Member{ID: i.identity.Id, Name: i.identity.Name, Address: address})
	if err != nil {
		return &RejectedError{err.Error()}
	}
	// The group begins with a snapshot: there are no entries that made it.
	snap := &pb.Snapshot{Data: state.Encode(), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1),
		Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{i.identity.Id}}}}
	hard := &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	snapshotRecord, err := newRecord(recSnapshot, snap)
	if err != nil {
		return err
	}
	hardStateRecord, err := newRecord(recHardState, hard)
	if err != nil {
		return err
	}
	if err := i.storage.ApplySnapshot(snap); err != nil {
		return err
	}
	if err := i.storage.SetHardState(hard); err != nil {
		return err
	}
	i.identity.Cluster = cluster
	// Hazard: the identity comes last, so that a group exists completely or not at all.
	i.unsaved = append(i.unsaved, snapshotRecord, hardStateRecord)
	i.saveIdentity()
	if err := i.start(); err != nil {
		return err
	}
	return i.node.Campaign()
}

func newRecord(kind uint8, m proto.Message) (store.Record, error) {
	b, err := proto.Marshal(m)
	return store.Record{Kind: kind, Data: b}, err
}

// Join has this instance belong to a group from now on. It has no vote, and nothing to agree on, until the
// group has added it.
func (i *Instance) Join(cluster string) error {
	if i.identity.Cluster == cluster && cluster != "" {
		return nil
	}
	if i.identity.Cluster != "" || cluster == "" {
		return &RejectedError{fmt.Sprintf("this instance belongs to group %s already", i.identity.Cluster)}
	}
	i.identity.Cluster = cluster
	i.saveIdentity()
	return i.start()
}

// SetClock sets the time before an input: on a clock that goes on while the process, or the machine, stands
// still, and that nobody sets (see BootTime).
func (i *Instance) SetClock(now time.Duration) { i.now = max(i.now, now) }

// Tick lets one unit of time pass, of Config.TickInterval.
func (i *Instance) Tick() {
	i.ticks++
	if i.node == nil || i.halted != nil {
		return
	}
	i.guarded(func() {
		i.tick()
		i.requests.evaluate()
	})
	i.sessions.evaluate()
}

// Identity gives the instance's number and name, and its group; empty: it belongs to none.
func (i *Instance) Identity() (number uint64, name, cluster string) {
	return i.identity.Id, i.identity.Name, i.identity.Cluster
}

// State is the cluster state as far as this instance has applied it, or nil. It must not be changed, and
// changes with the next Advance.
func (i *Instance) State() *clusterstate.State { return i.state }

// Applied is the index of the last entry that the state holds.
func (i *Instance) Applied() uint64 { return i.applied }

// The kinds of records in an instance's store.
const (
	recIdentity  = 1 + iota // schema.Identity
	recHardState            // raftpb.HardState
	recEntry                // raftpb.Entry
	recSnapshot             // raftpb.Snapshot
)
