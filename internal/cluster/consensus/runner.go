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

// Transport carries messages to other instances. It must not block: a message that can't be carried now is
// dropped, and Raft sends what matters again.
type Transport interface {
	Send(to clusterstate.Member, m *pb.Message)
	SendSession(to clusterstate.Member, m *schema.SessionMessage)
}

// RunnerConfig is how a Runner is run. The callbacks run on the runner's goroutine and must not block; each
// may be nil.
type RunnerConfig struct {
	Config
	Name      string
	Dir       string
	Transport Transport
	// OnRevision gets each revision that comes into force, in order.
	OnRevision func(clusterstate.Revision)
	// OnPermit gets whether the fronts may admit jobs, whenever that changes. A permit that is closed for a
	// change is answered by ReportAdmissionClosed.
	OnPermit func(rollout.Permit)
	// OnStage gets a change that the fronts must be made ready for. It is answered by ReportStaged.
	OnStage func(clusterstate.Revision)
	// OnClusterView gets the placement views and the instance's session, whenever they change.
	OnClusterView func(ClusterView)
	// OnNotification gets what participants send to the rest of the node. Each has types of its
	// own.
	OnNotification func(notification any)
}

// Sizes of the runner's queues, and of its directory's segments.
const (
	callQueueLength = 64
	inboxLength     = 1024
	segmentBytes    = 16 << 20
	maxSenders      = 64
)

// Runner is an instance with a clock, a disk and a network. One goroutine drives it, from Start to Stop; its
// methods may be called from any goroutine.
type Runner struct {
	cfg      RunnerConfig
	instance *Instance
	store    *store.Store
	calls    chan func()
	inbox    chan *pb.Message
	done     chan struct{}
	cancel   context.CancelFunc
	status   atomic.Pointer[Status]
	failure  error // why it ended by itself; valid once done is closed

	// Of the runner's goroutine.
	onResponse map[RequestID]func(Response)
	senders    map[uint64]clusterstate.Member // who has sent something and isn't known as a member here

	mu       sync.Mutex
	watchers map[chan struct{}]bool
	dropped  atomic.Uint64
	rejected atomic.Uint64
}

// Open opens the instance's directory. Nothing happens before Start.
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
	r.publish()
	return r, nil
}

// CommittedRevision is the configuration that the directory holds, for use before Start.
func (r *Runner) CommittedRevision() (clusterstate.Revision, bool) {
	if r.instance.State() == nil {
		return clusterstate.Revision{}, false
	}
	return r.instance.State().CurrentRevision(), true
}

// Start begins to take part.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
}

// Stop ends the instance and closes its directory. It may be called before Start.
func (r *Runner) Stop() error {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
	return r.store.Close()
}

// Done is closed when the runner has ended, also by itself: then Err gives the reason.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Err is why the runner ended by itself, once Done is closed.
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
		if err := ProcessReady(r.instance, r.store, BootTime, r.carryOut); err != nil {
			r.failure = err
			r.cfg.Logger.WithError(err).Error("consensus halted: log write failed")
			return
		}
		r.publish()
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
			// What came meanwhile shares the next sync.
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

// Status is the instance's status after its last step. It never blocks.
func (r *Runner) Status() Status { return *r.status.Load() }

// Counters are the messages that were dropped or rejected, by the names of the metrics.
func (r *Runner) Counters() map[string]uint64 {
	return map[string]uint64{
		"messages_dropped_inbound": r.dropped.Load(),
		"messages_refused":         r.rejected.Load(),
	}
}

// BootTime is the clock of leases: it goes on while the process or the machine stands still, and nobody sets
// it. Processes of one machine share it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("consensus: no boottime clock: %v", err))
	}
	return time.Duration(t.Nano())
}
