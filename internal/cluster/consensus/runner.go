package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// Transport carries messages to other instances. It must not block: a message that can't
// be carried now is dropped, and Raft sends what matters again.
type Transport interface {
	Send(to clusterstate.Member, m *pb.Message)
	SendSession(to clusterstate.Member, m *schema.SessionMessage)
}

// RunnerConfig is how a Runner is run.
type RunnerConfig struct {
	Config
	Name      string
	Dir       string
	Tick      time.Duration // 100 ms, if 0
	Transport Transport
	// OnRevision is told each revision that comes into force, in order, from the runner's goroutine.
	OnRevision func(clusterstate.Revision)
	// OnPermit is told, on the same goroutine, whenever it changes whether the fronts may admit. It
	// must not wait; one that is closed for a change is answered by Closed.
	OnPermit func(rollout.Permit)
	// OnStage is told of a change that the fronts must be made ready for; Staged is the answer.
	OnStage func(clusterstate.Revision)
	// OnClusterView is told, on the same goroutine, how this instance stands where something is owned by
	// placement, whenever that changes. It must not wait.
	OnClusterView func(ClusterView)
	// OnNotification is told, on the same goroutine, what subjects have to say: whose a word is its type
	// says. It must not wait.
	OnNotification func(word any)
}

// Runner is an instance with a clock, a disk and a network. One goroutine drives it.
type Runner struct {
	cfg    RunnerConfig
	inst   *Instance
	store  *store.Store
	calls  chan func()
	inbox  chan *pb.Message
	ended  chan struct{}
	stop   context.CancelFunc
	answer map[RequestID]func(Response)
	reach  map[uint64]clusterstate.Member // who has sent something and isn't known as a member here
	status atomic.Pointer[Status]
	failed error // why it has ended; good once ended is closed

	mu       sync.Mutex
	watchers map[chan struct{}]bool
	dropped  atomic.Uint64
	refused  atomic.Uint64
}

// Open opens the instance's directory. Nothing happens before Start.
func Open(cfg RunnerConfig) (*Runner, error) {
	if cfg.Tick <= 0 {
		cfg.Tick = 100 * time.Millisecond
	}
	if cfg.TickInterval = cfg.Tick; cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	r := &Runner{cfg: cfg, calls: make(chan func(), 64), inbox: make(chan *pb.Message, 1024),
		ended: make(
			chan struct{},
		), answer: map[RequestID]func(Response){}, reach: map[uint64]clusterstate.Member{},
		watchers: map[chan struct{}]bool{}}
	saved := NewRecoveredState()
	var err error
	options := store.Options{SegmentBytes: 16 << 20}
	if r.store, err = store.Open(cfg.Dir, options, saved.RestoreSnapshot, saved.ReplayRecord); err != nil {
		return nil, err
	}
	if tear := r.store.TornTail(); tear != nil {
		cfg.Logger.WithField("torn", tear.String()).
			Warn("the end of the log was cut off: it was never acknowledged")
	}
	if r.inst, err = New(cfg.Config, saved, rand.Uint64()>>1|1, cfg.Name); err != nil {
		r.store.Close()
		return nil, err
	}
	r.publish()
	return r, nil
}

// CommittedRevision is the configuration that the directory has, for use before Start.
func (r *Runner) CommittedRevision() (clusterstate.Revision, bool) {
	if r.inst.State() == nil {
		return clusterstate.Revision{}, false
	}
	return r.inst.State().CurrentRevision(), true
}

// Start begins to take part.
func (r *Runner) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go r.run(ctx)
}

// Stop ends the instance and closes its directory. It may be called before Start.
func (r *Runner) Stop() error {
	if r.stop != nil {
		r.stop()
		<-r.ended
	}
	return r.store.Close()
}

// Done is closed when the runner has ended, also by itself: then Err says why.
func (r *Runner) Done() <-chan struct{} { return r.ended }

// Err says why the runner ended by itself, once Ended is closed.
func (r *Runner) Err() error { return r.failed }

func (r *Runner) run(ctx context.Context) {
	defer func() {
		close(r.ended)
		for _, f := range r.answer {
			f(Response{Err: ErrOutcomeUnknown})
		}
	}()
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	for {
		if err := ProcessReady(r.inst, r.store, BootTime, r.carry); err != nil {
			r.failed = err
			r.cfg.Logger.WithError(err).Error("the agreement has stopped here: its disk fails")
			return
		}
		r.publish()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.inst.SetClock(BootTime())
			r.inst.Tick()
		case f := <-r.calls:
			r.inst.SetClock(BootTime())
			f()
		case m := <-r.inbox:
			r.inst.SetClock(BootTime())
			r.step(m)
			// What came meanwhile shares the next sync.
			for range len(r.inbox) {
				r.step(<-r.inbox)
			}
		}
	}
}

func (r *Runner) step(m *pb.Message) {
	if err := r.inst.Step(m); err != nil {
		r.refused.Add(1)
		r.cfg.Logger.WithError(err).
			WithField("from", fmt.Sprintf("%x", m.GetFrom())).
			Debug("a message is refused")
	}
}

func (r *Runner) carry(e Effects) {
	for _, rev := range e.Revisions {
		r.cfg.Logger.WithFields(
			logrus.Fields{"revision": rev.Number, "author": rev.Author, "change": rev.ChangeID},
		).
			Info(
				"a configuration is agreed on",
			)
		if r.cfg.OnRevision != nil {
			r.cfg.OnRevision(rev)
		}
	}
	if e.Stage != nil && r.cfg.OnStage != nil {
		r.cfg.OnStage(*e.Stage)
	}
	if e.ClusterView != nil && r.cfg.OnClusterView != nil {
		r.cfg.OnClusterView(*e.ClusterView)
	}
	for _, word := range e.Notifications {
		if r.cfg.OnNotification != nil {
			r.cfg.OnNotification(word)
		}
	}
	if e.Permit != nil && r.cfg.OnPermit != nil {
		r.cfg.OnPermit(*e.Permit)
	}
	for _, m := range e.Messages {
		if to, ok := r.memberAt(m.GetTo()); ok {
			r.cfg.Transport.Send(to, m)
		}
	}
	for _, m := range e.SessionMessages {
		if to, ok := r.memberAt(m.To); ok {
			r.cfg.Transport.SendSession(to, m.Message)
		}
	}
	for _, a := range e.Responses {
		if f := r.answer[a.RequestID]; f != nil {
			delete(r.answer, a.RequestID)
			f(a)
		}
	}
}

// memberAt is the instance of a number. One that has none is counted as a dropped message.
func (r *Runner) memberAt(id uint64) (to clusterstate.Member, ok bool) {
	if s := r.inst.State(); s != nil {
		to, ok = s.Member(id)
	}
	if !ok {
		to, ok = r.reach[id]
	}
	if !ok {
		r.dropped.Add(1)
	}
	return to, ok
}

// publish makes the status known and wakes those who watch, when it has changed.
func (r *Runner) publish() {
	s := r.inst.Status()
	was := r.status.Swap(&s)
	if was != nil && (was.Role != s.Role || was.Leader != s.Leader) && r.inst.rn != nil {
		r.cfg.Logger.WithFields(logrus.Fields{"role": s.Role, "leader": r.nameOf(s.Leader), "term": s.Term}).
			Info("the roles have changed")
	}
	if was == nil || was.Revision != s.Revision || was.Applied != s.Applied {
		r.mu.Lock()
		for c := range r.watchers {
			select {
			case c <- struct{}{}:
			default:
			}
		}
		r.mu.Unlock()
	}
}

func (r *Runner) nameOf(id uint64) string {
	if s := r.inst.State(); s != nil {
		if m, ok := s.Member(id); ok {
			return m.Name
		}
	}
	return ""
}

// Status says how the instance stood after its last step. It never waits.
func (r *Runner) Status() Status { return *r.status.Load() }

// Counters are what has been dropped or refused.
func (r *Runner) Counters() map[string]uint64 {
	return map[string]uint64{
		"messages_dropped_inbound": r.dropped.Load(),
		"messages_refused":         r.refused.Load(),
	}
}

// Deliver takes a message of another instance. It never waits: where more has come than
// can be taken, the message is dropped and counted.
func (r *Runner) Deliver(from clusterstate.Member, m *pb.Message) {
	if s := r.Status(); s.Revision == 0 {
		r.post(func() {
			if len(r.reach) < 64 {
				r.reach[from.ID] = from
			}
		})
	}
	select {
	case r.inbox <- m:
	default:
		r.dropped.Add(1)
	}
}

// DeliverSession takes another instance's word on sessions, and which format it reads. Like
// Deliver it never waits.
func (r *Runner) DeliverSession(from clusterstate.Member, m *schema.SessionMessage, format uint32) {
	r.post(func() {
		if r.inst.ObserveFormat(from.ID, format); m == nil {
			return
		}
		if err := r.inst.StepSession(from.ID, m); err != nil {
			r.refused.Add(1)
			r.cfg.Logger.WithError(err).WithField("from", from.Name).Debug("a word on sessions is refused")
		}
	})
}

// ReportStaged says that the fronts are ready for a change, or why they can't be.
func (r *Runner) ReportStaged(change string, problems []string) {
	go r.do(context.Background(), func() { r.inst.ReportStaged(change, problems) })
}

// ReportAdmissionClosed says that the fronts have ceased to admit for a change.
func (r *Runner) ReportAdmissionClosed(change string, attempt int) {
	go r.do(context.Background(), func() { r.inst.ReportAdmissionClosed(change, attempt) })
}

// ReportRunningRevision says which revision the fronts run.
func (r *Runner) ReportRunningRevision(revision uint64) {
	go r.do(context.Background(), func() { r.inst.ReportRunningRevision(revision) })
}

// ProposeRolloutCommand puts an operator's word into the log and waits for what becomes of it.
func (r *Runner) ProposeRolloutCommand(ctx context.Context, c rollout.Command) (clusterstate.Outcome, error) {
	a, err := r.ask(ctx, func() RequestID { return r.inst.ProposeRolloutCommand(c) })
	if err != nil {
		return clusterstate.Outcome{}, err
	}
	return a.Outcome, a.Err
}

// ProposeCommand puts a subject's word into the log, with its id in it, and waits for what becomes of it.
func (r *Runner) ProposeCommand(
	ctx context.Context,
	section string,
	e *schema.Change,
	id string,
) (clusterstate.Outcome,
	error) {
	a, err := r.ask(ctx, func() RequestID { return r.inst.ProposeCommand(section, e, id) })
	if err != nil {
		return clusterstate.Outcome{}, err
	}
	return a.Outcome, a.Err
}

// NotifyParticipant gives a subject what the rest of the node has to say. It does not wait.
func (r *Runner) NotifyParticipant(section string, word any) {
	go r.do(context.Background(), func() { r.inst.NotifyParticipant(section, word) })
}

// SetDeparting says whether this instance is about to end, and so hands on what it holds.
func (r *Runner) SetDeparting(ctx context.Context, away bool) error {
	return r.do(ctx, func() { r.inst.SetDeparting(away) })
}

// BootTime is the clock of leases: it goes on while the process or the machine stands still,
// and nobody sets it. Processes of one machine share it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("consensus: no boottime clock: %v", err))
	}
	return time.Duration(t.Nano())
}
