package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// Transport sends messages to other instances. It must not block: messages that can't be sent immediately are
// dropped, as Raft repeats the messages that it needs.
type Transport interface {
	Send(to clusterstate.Member, m *pb.Message)
	SendSession(to clusterstate.Member, m *schema.SessionMessage)
}

// RunnerConfig configures a Runner. The callbacks are called on the runner's goroutine and must not block.
// Each may be nil.
type RunnerConfig struct {
	Config
	Name      string
	Dir       string
	Transport Transport
	// OnRevision is called with each revision that comes into force, in order.
	OnRevision func(clusterstate.Revision)
	// OnPermit is called whenever the permission of the fronts to admit jobs changes. If the permit is closed
	// for a change, ReportAdmissionClosed must be called once the fronts have stopped admitting jobs.
	OnPermit func(rollout.Permit)
	// OnStage is called with a pending change that the fronts must stage. ReportStaged must be called with
	// the result.
	OnStage func(clusterstate.Revision)
	// OnClusterView is called whenever the placement views or the instance's session and its lease change.
	OnClusterView func(ClusterView)
	// OnNotification is called with each notification from a participant to the rest of the node. Each
	// participant defines its own types.
	OnNotification func(notification any)
}

// Sizes of the runner's queues and tables, and of the segments of its log.
const (
	callQueueLength = 64
	inboxLength     = 1024
	segmentBytes    = 16 << 20
	maxSenders      = 64
)

// Runner drives an Instance with a clock, a disk and a network, on one goroutine from Start to Stop. Its
// methods are safe for concurrent use.
type Runner struct {
	cfg      RunnerConfig
	instance *Instance
	store    *store.Store
	calls    chan func()
	inbox    chan *pb.Message
	done     chan struct{}
	cancel   context.CancelFunc
	status   atomic.Pointer[Status]
	failure  error // why the runner has ended without Stop; valid once done is closed

	// Only for the runner's goroutine.
	onResponse map[RequestID]func(Response)
	senders    map[uint64]clusterstate.Member // senders of messages that may not be known as members yet

	mu       sync.Mutex
	watchers map[chan struct{}]bool
	dropped  atomic.Uint64 // number of messages; see Counters
	rejected atomic.Uint64
}

// Open opens the instance's directory and recovers its state. The instance is not active before Start.
func Open(cfg RunnerConfig) (*Runner, error) {
	cfg.Config = cfg.withDefaults()
	if cfg.WallClock == nil {
		cfg.WallClock = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	r := &Runner{cfg: cfg, calls: make(chan func(), callQueueLength),
		inbox: make(chan *pb.Message, inboxLength), done: make(chan struct{}),
		onResponse: map[RequestID]func(Response){}, senders: map[uint64]clusterstate.Member{},
		watchers: map[chan struct{}]bool{}}
	recovered := NewRecoveredState()
	var err error
	r.store, err = store.Open(cfg.Dir, store.Options{SegmentBytes: segmentBytes}, recovered.RestoreSnapshot,
		recovered.ReplayRecord)
	if err != nil {
		return nil, err
	}
	if tail := r.store.TornTail(); tail != nil {
		cfg.Logger.WithField("reason", tail.String()).Warn("unacknowledged log tail truncated")
	}
	if r.instance, err = New(cfg.Config, recovered, rand.Uint64()>>1|1, cfg.Name); err != nil {
		r.store.Close()
		return nil, err
	}
	r.publishStatus()
	return r, nil
}

// CommittedRevision returns the configuration recovered from the directory. It must only be called before
// Start.
func (r *Runner) CommittedRevision() (clusterstate.Revision, bool) {
	if r.instance.State() == nil {
		return clusterstate.Revision{}, false
	}
	return r.instance.State().CurrentRevision(), true
}

// Start starts the runner's goroutine.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
}

// Stop stops the runner and closes its directory. It may be called before Start.
func (r *Runner) Stop() error {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
	return r.store.Close()
}

// Done returns a channel that is closed when the runner has ended. If it ended without Stop, Err returns the
// reason.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err returns why the runner has ended without Stop. It must only be called once Done is closed.
func (r *Runner) Err() error { return r.failure }

func (r *Runner) run(ctx context.Context) {
	defer func() {
		close(r.done)
		for _, respond := range r.onResponse {
			respond(Response{Err: ErrOutcomeUnknown})
		}
	}()
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		if err := ProcessReady(r.instance, r.store, BootTime, r.handleEffects); err != nil {
			r.failure = err
			r.cfg.Logger.WithError(err).Error("consensus halted: log write failed")
			return
		}
		r.publishStatus()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.instance.SetClock(BootTime())
			r.instance.Tick()
		case f := <-r.calls:
			r.instance.SetClock(BootTime())
			f()
		case m := <-r.inbox:
			r.instance.SetClock(BootTime())
			r.step(m)
			// Messages that have arrived in the meantime share the next sync.
			for range len(r.inbox) {
				r.step(<-r.inbox)
			}
		}
	}
}

func (r *Runner) step(m *pb.Message) {
	if err := r.instance.Step(m); err != nil {
		r.rejected.Add(1)
		r.cfg.Logger.WithError(err).WithField("member", fmt.Sprintf("%x", m.GetFrom())).
			Debug("message rejected")
	}
}

// Status returns the instance's status after its last input. It never blocks.
func (r *Runner) Status() Status { return *r.status.Load() }

// Counters returns the numbers of messages that were dropped or rejected, by metric name.
func (r *Runner) Counters() map[string]uint64 {
	return map[string]uint64{
		"messages_dropped_inbound": r.dropped.Load(),
		"messages_refused":         r.rejected.Load(),
	}
}

// BootTime returns the time since the machine was booted, which is the clock of leases. It keeps running
// while the process or the machine is suspended, and can't be set. All processes of a machine share it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("consensus: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
