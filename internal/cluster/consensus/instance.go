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

// Instance is one member of a group, as a deterministic state machine; see the package comment. It is not
// safe for concurrent use.
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

// New returns an instance with the state recovered from its store. If the store is empty, the instance is new
// and gets the given number, which must be random: numbers are never reused, so that an instance whose disk
// was wiped can't vote under its old number.
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

// start starts the Raft node of an instance that belongs to a group.
func (i *Instance) start() error {
	if err := i.replica.start(); err != nil {
		return err
	}
	i.sessions.evaluate() // emits the initial permit, with the reason why the fronts may not admit jobs yet
	return nil
}

// Bootstrap creates a group whose only member is this instance. The revision of its initial document is
// after+1, so that a group created from a backup continues the backup's revision numbers.
func (i *Instance) Bootstrap(cluster, address string, first *clusterstate.Document, after uint64) error {
	if i.identity.Cluster != "" {
		return &RejectedError{"this instance already belongs to a group"}
	}
	state, err := clusterstate.New(i.cfg.Rules, cluster, first, after,
		clusterstate.Member{ID: i.identity.Id, Name: i.identity.Name, Address: address})
	if err != nil {
		return &RejectedError{err.Error()}
	}
	// The initial state is a snapshot, as there are no log entries that produce it.
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
	// The identity is written last, so that after a crash the group exists either completely or not at all.
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

// Join makes this instance a member of a group. It has no vote and no cluster state until the group has added
// it.
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

// SetClock sets the current time; it is called before each input. The time must come from a monotonic clock
// that keeps running while the process or the machine is suspended (see BootTime).
func (i *Instance) SetClock(now time.Duration) { i.now = max(i.now, now) }

// Tick advances the instance by one tick. It is called every Config.TickInterval.
func (i *Instance) Tick() {
	i.ticks++
	if i.node == nil || i.halted != nil {
		return
	}
	i.haltOnPanic(func() {
		i.tick()
		i.requests.evaluate()
	})
	i.sessions.evaluate()
}

// Identity returns the instance's number, its name and its group, which is empty if it belongs to none.
func (i *Instance) Identity() (number uint64, name, cluster string) {
	return i.identity.Id, i.identity.Name, i.identity.Cluster
}

// State returns the cluster state that this instance has applied, or nil if it has none yet. The caller must
// not modify it, and the next Advance may change it.
func (i *Instance) State() *clusterstate.State { return i.state }

// Applied returns the index of the last log entry that has been applied to the state.
func (i *Instance) Applied() uint64 { return i.applied }

// Kinds of records in an instance's store.
const (
	recIdentity  = 1 + iota // schema.Identity
	recHardState            // raftpb.HardState
	recEntry                // raftpb.Entry
	recSnapshot             // raftpb.Snapshot
)
