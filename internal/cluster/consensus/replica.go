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

// replica is the Raft node of an instance: its durable identity, Raft's log, and the cluster state that the
// committed entries have produced.
type replica struct {
	cfg      Config
	identity *schema.Identity
	node     *raft.RawNode // nil until the instance belongs to a group
	storage  *raft.MemoryStorage
	state    *clusterstate.State // nil until the first snapshot has come
	members  memberTracker
	rng      *rand.Rand

	now         time.Duration // see Instance.SetClock
	ticks       uint64
	lastContact uint64 // tick of the last message of the leader; of a leader: now

	electionElapsed int // ticks since the last message of the leader, or since it campaigned
	electionTimeout int // after so many it campaigns

	applied         uint64
	appliedTerm     uint64 // of that entry
	snapshotIndex   uint64 // of the last snapshot
	membersChanged  bool   // since the last snapshot
	emittedRevision uint64 // the newest that Effects have held
	removed         bool   // another member reported that this one was removed
	halted          error
	onHalt          func(error)

	unsaved []store.Record // of the identity, before anything else
	out     Effects
}

// newReplica makes a replica from what its store recovered. Where that is nothing it gets the given number
// and name.
func newReplica(cfg Config, recovered *RecoveredState, number uint64, name string) (*replica, error) {
	r := &replica{cfg: cfg, identity: recovered.identity, storage: recovered.storage}
	if r.identity == nil {
		if number == 0 || raft.IsLocalMsgTarget(number) {
			return nil, fmt.Errorf("%d is no number for an instance", number)
		}
		r.identity = &schema.Identity{Id: number, Name: name}
		r.saveIdentity()
	}
	if name != "" && r.identity.Name != name {
		return nil, fmt.Errorf("the directory is of instance %q, the configuration names %q",
			r.identity.Name, name)
	}
	r.members = memberTracker{self: r.identity.Id, lastSeen: map[uint64]uint64{}}
	r.rng = rand.New(rand.NewPCG(cfg.Seed, r.identity.Id))
	if r.identity.Cluster == "" || recovered.hard == nil {
		return r, nil
	}
	last, _ := r.storage.LastIndex()
	if commit := recovered.hard.GetCommit(); commit > last {
		return nil, fmt.Errorf("the store says that entry %d was agreed on and ends at %d", commit, last)
	}
	return r, r.storage.SetHardState(recovered.hard)
}

func (r *replica) saveIdentity() {
	b, err := proto.Marshal(r.identity)
	if err != nil {
		panic(err) // there is nothing in it that can't be written
	}
	r.unsaved = append(r.unsaved, store.Record{Kind: recIdentity, Data: b})
}

// start makes the Raft node, from what the storage has.
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

// randomElectionTimeout draws the ticks without a leader until this instance campaigns.
func (r *replica) randomElectionTimeout() int {
	return r.cfg.ElectionTicks + r.rng.IntN(r.cfg.ElectionTicks)
}

// tick lets one unit of time pass for Raft.
func (r *replica) tick() {
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.lastContact, r.electionElapsed = r.ticks, 0
		r.node.Tick()
		return
	}
	// Raft's own Tick would campaign at a time that can't be reproduced.
	r.node.TickQuiesced()
	r.electionElapsed++
	if r.electionElapsed >= r.electionTimeout && r.members.electable() && !r.wasRemoved() {
		r.electionElapsed, r.electionTimeout = 0, r.randomElectionTimeout()
		_ = r.node.Campaign() // refused while a change of the members waits to be applied
	}
}

// propose proposes a command that its proposer makes again if Raft drops it.
func (r *replica) propose(data []byte) { _ = r.node.Propose(data) }

// available is why this instance can't take a request, or nil.
func (r *replica) available() error {
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

// memberActive reports whether a member sent a message lately.
func (r *replica) memberActive(id uint64) bool {
	return r.members.active(id, r.ticks, uint64(memberActiveElections*r.cfg.ElectionTicks))
}

// policy is the rollout policy in force.
func (r *replica) policy() rollout.Policy {
	return r.state.RolloutPolicy().WithDefaults(r.cfg.TickInterval)
}

// emitRevision puts the current revision into the effects, once.
func (r *replica) emitRevision() {
	if current := r.state.CurrentRevision(); current.Number > r.emittedRevision {
		r.emittedRevision = current.Number
		r.out.Revisions = append(r.out.Revisions, current)
	}
}

// guarded keeps a broken log or message from ending the process: the node serves on with the configuration
// that it has, and reports that it has halted.
func (r *replica) guarded(f func()) {
	defer func() {
		if p := recover(); p != nil {
			r.halt(fmt.Errorf("%w: %v", ErrHalted, p))
		}
	}()
	f()
}

func (r *replica) halt(err error) {
	if r.halted == nil {
		r.halted = err
		r.cfg.Logger.WithError(err).Error("consensus halted")
	}
	r.onHalt(r.halted)
}
