package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// replica is the Raft node of an instance: its durable identity, the Raft log, and the cluster state that
// results from the committed entries.
type replica struct {
	cfg      Config
	identity *schema.Identity
	node     *raft.RawNode // nil until the instance belongs to a group
	storage  *raft.MemoryStorage
	state    *clusterstate.State // nil until the first snapshot is installed
	members  memberTracker
	rng      *rand.Rand

	now         time.Duration // see Instance.SetClock
	ticks       uint64
	lastContact uint64 // tick of the leader's last message; the current tick on the leader itself

	electionElapsed int // ticks since the leader's last message or this instance's last campaign
	electionTimeout int // value of electionElapsed at which this instance campaigns

	applied         uint64 // index of the last applied entry
	appliedTerm     uint64 // term of the entry at applied
	snapshotIndex   uint64 // of the last snapshot
	membersChanged  bool   // since the last snapshot
	emittedRevision uint64 // the newest revision that was added to the effects
	removed         bool   // another member reported that this one was removed
	halted          error  // why the instance has halted; nil: it has not
	onHalt          func(error)

	unsaved []store.Record // records of the identity and a new group, persisted before all others
	out     Effects        // to be returned by the next Advance
}

// newReplica returns a replica with the state recovered from its store. If the store is empty, the replica
// gets the given number and name.
func newReplica(cfg Config, recovered *RecoveredState, number uint64, name string) (*replica, error) {
	r := &replica{cfg: cfg, identity: recovered.identity, storage: recovered.storage}
	if r.identity == nil {
		if number == 0 || raft.IsLocalMsgTarget(number) {
			return nil, fmt.Errorf("invalid instance number %d", number)
		}
		r.identity = &schema.Identity{Id: number, Name: name}
		r.saveIdentity()
	}
	if name != "" && r.identity.Name != name {
		return nil, fmt.Errorf("data directory belongs to instance %q, but the configured name is %q",
			r.identity.Name, name)
	}
	r.members = memberTracker{self: r.identity.Id, lastSeen: map[uint64]uint64{}}
	r.rng = rand.New(rand.NewPCG(cfg.Seed, r.identity.Id))
	if r.identity.Cluster == "" || recovered.hard == nil {
		return r, nil
	}
	last, _ := r.storage.LastIndex()
	if commit := recovered.hard.GetCommit(); commit > last {
		return nil, fmt.Errorf("commit index is %d, but the stored log ends at %d", commit, last)
	}
	return r, r.storage.SetHardState(recovered.hard)
}

// saveIdentity adds the identity to the records to be persisted.
func (r *replica) saveIdentity() {
	b, err := proto.Marshal(r.identity)
	if err != nil {
		panic(err) // can't happen: every identity can be encoded
	}
	r.unsaved = append(r.unsaved, store.Record{Kind: recIdentity, Data: b})
}

// start creates the Raft node from the contents of the storage.
func (r *replica) start() error {
	snap, err := r.storage.Snapshot()
	if err != nil {
		return err
	}
	if snap.GetMetadata().GetIndex() > 0 {
		if err := r.restore(snap); err != nil {
			return err
		}
		r.emitRevision()
	}
	r.electionTimeout = r.randomElectionTimeout()
	r.node, err = raft.NewRawNode(&raft.Config{
		ID: r.identity.Id, ElectionTick: r.cfg.ElectionTicks, HeartbeatTick: r.cfg.HeartbeatTicks,
		Storage: r.storage, Applied: r.applied, MaxSizePerMsg: maxMessageBytes,
		MaxCommittedSizePerReady: maxCommittedBytes, MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, Logger: raftLogger{r.cfg.Logger},
	})
	return err
}

// randomElectionTimeout draws the number of ticks without a leader after which this instance campaigns.
func (r *replica) randomElectionTimeout() int {
	return r.cfg.ElectionTicks + r.rng.IntN(r.cfg.ElectionTicks)
}

// tick advances Raft's clock by one tick, and campaigns when the election timeout expires.
func (r *replica) tick() {
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.lastContact, r.electionElapsed = r.ticks, 0
		r.node.Tick()
		return
	}
	// Raft's own Tick would campaign after a timeout that is not reproducible.
	r.node.TickQuiesced()
	r.electionElapsed++
	if r.electionElapsed >= r.electionTimeout && r.members.electable() && !r.wasRemoved() {
		r.electionElapsed, r.electionTimeout = 0, r.randomElectionTimeout()
		_ = r.node.Campaign() // rejected while a membership change is committed but not applied
	}
}

// propose proposes a command. If Raft drops it, the caller has to propose it again.
func (r *replica) propose(data []byte) { _ = r.node.Propose(data) }

// checkAvailable returns an error if this instance can't accept requests.
func (r *replica) checkAvailable() error {
	switch {
	case r.node == nil:
		return ErrNoGroup
	case r.halted != nil:
		return r.halted
	case r.wasRemoved():
		return ErrRemoved
	case r.state == nil || r.node.BasicStatus().Lead == raft.None:
		return ErrNoLeader
	}
	return nil
}

func (r *replica) wasRemoved() bool {
	return r.removed || r.state != nil && r.state.WasRemoved(r.identity.Id)
}

// memberActive reports whether a member is active: whether its last message is recent.
func (r *replica) memberActive(id uint64) bool {
	return r.members.active(id, r.ticks, uint64(memberActiveElections*r.cfg.ElectionTicks))
}

// policy returns the rollout policy in force.
func (r *replica) policy() rollout.Policy {
	return r.state.RolloutPolicy().WithDefaults(r.cfg.TickInterval)
}

// emitRevision adds the current revision to the effects, unless that was done before.
func (r *replica) emitRevision() {
	if current := r.state.CurrentRevision(); current.Number > r.emittedRevision {
		r.emittedRevision = current.Number
		r.out.Revisions = append(r.out.Revisions, current)
	}
}

// haltOnPanic calls f and halts the instance if it panics. An invalid log or message thus does not end the
// process: the node continues to serve with its current configuration, and reports that consensus has halted.
func (r *replica) haltOnPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			r.halt(fmt.Errorf("%w: %v", ErrHalted, p))
		}
	}()
	f()
}

// halt ends this instance's participation in the group, and fails the pending requests.
func (r *replica) halt(err error) {
	if r.halted == nil {
		r.halted = err
		r.cfg.Logger.WithError(err).Error("consensus halted")
	}
	r.onHalt(r.halted)
}
