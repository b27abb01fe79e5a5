// Package consensus brings the changes of package agreement into one order at all
// instances of a group, by the Raft protocol (go.etcd.io/raft).
//
// An Instance is a state machine: ticks, messages and requests go in; what must be
// written, sent and answered comes out, and it does none of that itself. It has no clock,
// no goroutine and no random source but its seed, so that the same inputs give the same
// outputs: a day of failures is simulated in a second and can be played again.
//
// The contract with whoever drives it:
//
//	for {
//		work, ok := i.Next()
//		if !ok { break }
//		store.Append(work.Records...)   // in this order
//		if work.Sync { store.Sync() }   // before anything of Finish is carried out
//		effects := i.Finish()
//		if effects.Image != nil { store.Snapshot(effects.Image) }
//		// send effects.Messages, give effects.Answers, tell effects.Revisions
//	}
//
// after every input. If writing fails, the instance is not used any more: it is made anew
// from what the store has.
//
// Raft's own election time-out is drawn from the system's random source. An Instance
// draws it from its seed, tells Raft when to campaign, and lets Raft's clock run by
// TickQuiesced otherwise (see Tick).
package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// Config is how an instance is run. Times are counted in ticks.
type Config struct {
	Rules                  clusterstate.Rules
	ElectionTicks          int // without word of the leader, and up to twice as many: 10, if 0
	HeartbeatTicks         int // 1, if 0
	RequestTimeoutTicks    int // a request that can't be decided by then is answered so: 50, if 0
	SnapshotCount          uint64
	SnapshotCatchUpEntries uint64 // behind a snapshot, for those who lag a little
	Seed                   uint64
	Logger                 logrus.FieldLogger
	TickInterval           time.Duration    // 100 ms, if 0
	WallClock              func() time.Time // told to people, and the fleet's time is made of it; may be nil
	Zones                  *calendar.ZoneDB // the rules for triggers; nil: those that are here
	Labels                 []string         // what this instance has that duties ask for
}

func (c Config) filled() Config {
	fill := func(v *int, to int) {
		if *v <= 0 {
			*v = to
		}
	}
	fill(&c.ElectionTicks, 10)
	fill(&c.HeartbeatTicks, 1)
	fill(&c.RequestTimeoutTicks, 50)
	if c.TickInterval <= 0 {
		c.TickInterval = 100 * time.Millisecond
	}
	if c.SnapshotCount == 0 {
		c.SnapshotCount = 200
	}
	if c.SnapshotCatchUpEntries == 0 {
		c.SnapshotCatchUpEntries = 50
	}
	return c
}

// Why a request is not carried out.
var (
	ErrNoGroup  = errors.New("this instance belongs to no group yet")
	ErrNoLeader = errors.New(
		"no leader is known: this instance is cut off, or the group has no majority",
	)
	ErrOutcomeUnknown = errors.New("it could not be decided in time; it may still come into force")
	ErrRemoved        = errors.New("this instance has been removed from its group")
	ErrHalted         = errors.New("this instance has stopped taking part in the agreement")
)

// NotLeaderError says that only the leader can do it, and who that is.
type NotLeaderError struct{ Leader clusterstate.Member }

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("only the leader can, which is %s", e.Leader.Name)
}

// RejectedError is a membership operation that would do harm or makes no sense.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

// RequestID names a request until its Answer.
type RequestID uint64

// Response ends a request, once.
type Response struct {
	RequestID RequestID
	Err       error
	Outcome   clusterstate.Outcome // of a proposal
}

// Ready is what must be written before Finish.
type Ready struct {
	Records []store.Record
	Sync    bool
}

// Effects are what follows from the inputs.
type Effects struct {
	Messages  []*pb.Message
	Responses []Response
	Revisions []clusterstate.Revision // newly in force, in order
	Snapshot  []byte                  // for store.Snapshot: the store's records can go

	SessionMessages []SessionMessage       // to other instances
	Permit          *rollout.Permit        // whether the fronts may admit jobs, where that has changed
	Stage           *clusterstate.Revision // the fronts must be made ready for this change; see Staged
	ClusterView     *ClusterView           // how it stands where something is owned by placement, likewise
	// Notifications is what subjects have to say to the rest of the node, in order, after the standing.
	// Whose a word is its type says.
	Notifications []any
}

// SessionMessage is a word on sessions to another instance.
type SessionMessage struct {
	To      uint64
	Message *schema.SessionMessage
}

// Instance is one member of a group.
type Instance struct {
	cfg      Config
	identity *schema.Identity
	rn       *raft.RawNode // nil until it belongs to a group
	storage  *raft.MemoryStorage
	state    *clusterstate.State // nil until the first snapshot has come
	rng      *rand.Rand

	ticks    uint64
	quiet    int // ticks since the leader was heard of, or this one campaigned
	patience int // that it campaigns after
	contact  uint64
	heard    map[uint64]uint64 // when each member was, in ticks

	applied     uint64
	appliedTerm uint64 // of that entry
	ses         sessions
	imaged      uint64 // the index of the last snapshot
	conf        *pb.ConfState
	// reshaped: the members have changed since the last snapshot.
	reshaped     bool
	told         uint64 // the revision told last
	pendingReady *raft.Ready
	unsaved      []store.Record // of the identity, before anything else
	out          Effects
	outcome      []outcome // of this Ready, until it is finished
	waiting      []*request
	ticket       RequestID
	removed      bool
	halted       error
}

type outcome struct {
	id  string
	res clusterstate.Outcome
}

// The kinds of records in an instance's store.
const (
	recIdentity = 1 + iota // schema.Identity
	recHardState
	recEntry
	recSnapshot
)

// New makes an instance from what its store gave back. One whose store is empty is a new
// instance under the given number, which must have been drawn at random: a number is
// never used again, so that an instance whose disk was wiped has no vote under the old one.
func New(cfg Config, saved *RecoveredState, number uint64, name string) (*Instance, error) {
	cfg = cfg.filled()
	i := &Instance{cfg: cfg, identity: saved.identity, storage: saved.storage, heard: map[uint64]uint64{}}
	if i.identity == nil {
		if number == 0 || raft.IsLocalMsgTarget(number) {
			return nil, fmt.Errorf("%d is no number for an instance", number)
		}
		i.identity = &schema.Identity{Id: number, Name: name}
		i.saveIdentity()
	}
	if name != "" && i.identity.Name != name {
		return nil, fmt.Errorf(
			"the directory is of instance %q, the configuration names %q",
			i.identity.Name,
			name,
		)
	}
	i.rng = rand.New(rand.NewPCG(cfg.Seed, i.identity.Id))
	i.ses.holder = rollout.NewLeaseHolder(i.identity.Id, i.rng.Uint64()|1)
	i.ses.waiting, i.ses.formats = map[uint64]rollout.Report{}, map[uint64]uint32{}
	i.ses.parts, i.ses.aways = partsOf(cfg), map[uint64]bool{}
	if i.identity.Cluster == "" {
		return i, nil
	}
	if saved.hard != nil {
		last, _ := i.storage.LastIndex()
		if saved.hard.GetCommit() > last {
			return nil, fmt.Errorf(
				"the store says that entry %d was agreed on and ends at %d",
				saved.hard.GetCommit(),
				last,
			)
		}
		if err := i.storage.SetHardState(saved.hard); err != nil {
			return nil, err
		}
	}
	return i, i.start()
}

func (i *Instance) saveIdentity() {
	b, err := proto.Marshal(i.identity)
	if err != nil {
		panic(err) // there is nothing in it that can't be written
	}
	i.unsaved = append(i.unsaved, store.Record{Kind: recIdentity, Data: b})
}

// start begins to take part, from what the storage has.
func (i *Instance) start() error {
	snap, err := i.storage.Snapshot()
	if err != nil {
		return err
	}
	if meta := snap.GetMetadata(); meta.GetIndex() > 0 {
		if i.state, err = clusterstate.Restore(i.cfg.Rules, snap.GetData()); err != nil {
			return err
		}
		i.conf, i.applied, i.imaged = meta.GetConfState(), meta.GetIndex(), meta.GetIndex()
		i.appliedTerm = meta.GetTerm()
		i.tell()
	}
	i.patience = i.draw()
	i.rn, err = raft.NewRawNode(&raft.Config{
		ID: i.identity.Id, ElectionTick: i.cfg.ElectionTicks, HeartbeatTick: i.cfg.HeartbeatTicks,
		Storage: i.storage, Applied: i.applied, MaxSizePerMsg: 1 << 20, MaxCommittedSizePerReady: 4 << 20,
		MaxUncommittedEntriesSize: 8 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, Logger: raftLog{i.cfg.Logger},
	})
	if err == nil {
		i.sessions() // the fronts are told why they may not admit yet
	}
	return err
}

// draw is how many quiet ticks it takes until this instance campaigns.
func (i *Instance) draw() int { return i.cfg.ElectionTicks + i.rng.IntN(i.cfg.ElectionTicks) }

// Bootstrap makes a group of this instance alone, with a document. A group made from a
// backup counts its revisions on from the backup's.
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
	s, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	h, err := proto.Marshal(hard)
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
	// Hazard: the identity comes last, so that a group exists whole or not at all.
	i.unsaved = append(
		i.unsaved,
		store.Record{Kind: recSnapshot, Data: s},
		store.Record{Kind: recHardState, Data: h},
	)
	i.saveIdentity()
	if err := i.start(); err != nil {
		return err
	}
	return i.rn.Campaign()
}

// Join has this instance belong to a group from now on. It has no vote, and nothing to
// agree on, until the group has taken it in.
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

// Tick is the passing of one unit of time.
func (i *Instance) Tick() {
	i.ticks++
	if i.rn == nil || i.halted != nil {
		return
	}
	i.guarded(func() {
		if s := i.rn.BasicStatus(); s.RaftState == raft.StateLeader {
			i.contact, i.quiet = i.ticks, 0
			i.rn.Tick()
		} else {
			// Raft's own Tick would campaign at a time that nobody can repeat.
			i.rn.TickQuiesced()
			if i.quiet++; i.quiet >= i.patience && i.votes() && !i.gone() {
				i.quiet, i.patience = 0, i.draw()
				_ = i.rn.Campaign() // refused while a change of members waits to be applied
			}
		}
		i.look()
	})
	i.sessions()
}

// votes says whether this instance may be elected.
func (i *Instance) votes() bool {
	for _, set := range [][]uint64{i.conf.GetVoters(), i.conf.GetVotersOutgoing()} {
		for _, id := range set {
			if id == i.identity.Id {
				return true
			}
		}
	}
	return false
}

func (i *Instance) gone() bool {
	return i.removed || i.state != nil && i.state.WasRemoved(i.identity.Id)
}

// ReportRemoved is the word of another member that this one has been removed, for one that
// was cut off when it happened and would ask for votes for ever.
func (i *Instance) ReportRemoved() { i.removed = true }

// guarded keeps a broken log or message from ending the process: the node serves on with
// the configuration that it has, and says that it takes no part any more.
func (i *Instance) guarded(f func()) {
	defer func() {
		if p := recover(); p != nil {
			i.halt(fmt.Errorf("%w: %v", ErrHalted, p))
		}
	}()
	f()
}

func (i *Instance) halt(err error) {
	if i.halted == nil {
		i.halted = err
		i.cfg.Logger.WithError(err).Error("the agreement has stopped here")
	}
	for _, r := range i.waiting {
		i.out.Responses = append(i.out.Responses, Response{RequestID: r.ticket, Err: i.halted})
	}
	i.waiting = nil
}

// Step takes a message of another instance. One that makes no sense is an error, and
// changes nothing.
func (i *Instance) Step(m *pb.Message) error {
	if i.rn == nil {
		return ErrNoGroup
	}
	if i.halted != nil {
		return i.halted
	}
	if err := i.sane(m); err != nil {
		return err
	}
	i.heard[m.GetFrom()] = i.ticks
	var err error
	i.guarded(func() {
		err = i.rn.Step(m)
		s := i.rn.BasicStatus()
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
			if s.Lead == m.GetFrom() && s.GetTerm() == m.GetTerm() {
				i.quiet, i.contact = 0, i.ticks
			}
		}
	})
	i.sessions()
	if errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil // an answer of one that has been removed meanwhile
	}
	return err
}

// sane checks what a message must hold. Raft takes its peers' word for the rest.
func (i *Instance) sane(m *pb.Message) error {
	if m.GetTo() != i.identity.Id {
		return fmt.Errorf("the message is for instance %x, this is %x", m.GetTo(), i.identity.Id)
	}
	if m.GetFrom() == i.identity.Id || m.GetFrom() == raft.None || raft.IsLocalMsgTarget(m.GetFrom()) {
		return fmt.Errorf("the message is from %x", m.GetFrom())
	}
	if i.state != nil && i.state.WasRemoved(m.GetFrom()) {
		return ErrRemoved
	}
	switch m.GetType() {
	case pb.MsgProp:
		if len(m.GetEntries()) == 0 {
			return errors.New("a proposal of nothing")
		}
		// Hazard: what is in the log and can't be read stops every instance. Changes of the
		// members are only proposed by the leader itself.
		for _, e := range m.GetEntries() {
			if e.GetType() != pb.EntryNormal {
				return errors.New("a proposal of another kind than a change")
			}
			if _, _, err := i.decode(e.GetData()); err != nil {
				return err
			}
		}
		return nil
	case pb.MsgApp:
		for n, e := range m.GetEntries() {
			if e == nil || e.GetIndex() != m.GetIndex()+1+uint64(n) || e.GetTerm() > m.GetTerm() {
				return errors.New("the entries are not in order")
			}
		}
		return nil
	case pb.MsgSnap:
		meta := m.GetSnapshot().GetMetadata()
		if meta.GetIndex() == 0 || meta.GetTerm() == 0 || meta.GetConfState() == nil {
			return errors.New("the snapshot is of nothing")
		}
		if _, err := clusterstate.Restore(i.cfg.Rules, m.GetSnapshot().GetData()); err != nil {
			return err
		}
		return nil
	case pb.MsgReadIndex, pb.MsgReadIndexResp:
		if len(m.GetEntries()) != 1 || m.GetEntries()[0] == nil {
			return errors.New("a read without its number")
		}
		return nil
	case pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat,
		pb.MsgHeartbeatResp, pb.MsgTransferLeader, pb.MsgTimeoutNow:
		return nil
	}
	return fmt.Errorf("a message of the kind %v does not come from another instance", m.GetType())
}

// ReportSnapshot says whether a snapshot reached the one it was for.
func (i *Instance) ReportSnapshot(to uint64, ok bool) {
	if i.rn == nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	i.guarded(func() { i.rn.ReportSnapshot(to, status) })
}

// ReportUnreachable says that messages to an instance do not get through.
func (i *Instance) ReportUnreachable(id uint64) {
	if i.rn != nil {
		i.guarded(func() { i.rn.ReportUnreachable(id) })
	}
}
