package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
)

const (
	// transferTimeout is how long a stopping instance waits for its leases to be transferred.
	transferTimeout = time.Second
	// releaseTimeout bounds one attempt to release a lease, and releaseBackoff is the time before the next
	// one.
	releaseTimeout = 2 * time.Second
	releaseBackoff = 50 * time.Millisecond
	// transferPollInterval is how often a stopping instance checks whether its leases are released.
	transferPollInterval = 2 * time.Millisecond
	// drillInterval is the time between two actions of a drill.
	drillInterval = 2 * time.Millisecond
)

// taskFunc does the work of a leased task until its context ends or it fails. It must check taskRun.Valid
// immediately before each effect that leaves the process.
type taskFunc func(ctx context.Context, run *taskRun) error

// taskDriver drives package leasedtask: it does the work of the tasks whose leases this instance holds, and
// releases the leases. The goroutine of run starts and stops the work. Each task runs on a separate
// goroutine, which ends with the lease or with close.
type taskDriver struct {
	env     *environment
	log     logrus.FieldLogger
	work    map[string]taskFunc // by task name
	changed chan struct{}       // signals that the leases may have changed
	closing chan struct{}
	closed  chan struct{} // closed once run has ended

	mu       sync.Mutex
	leases   []leasedtask.Lease  // as last received from the runner
	runs     map[string]*taskRun // by task name
	sequence uint64              // number of this process's last command

	standby   atomic.Bool // ordered by an operator
	standbyMu sync.Mutex  // held while standby is reported to the group
}

// taskRun is the work under one lease, from its start to the release.
type taskRun struct {
	driver *taskDriver
	task   string
	token  uint64 // the lease's fencing token
	stop   context.CancelFunc

	mu    sync.Mutex
	lease leasedtask.Lease // as last renewed
	ended bool             // no further effects are allowed
}

// Valid reports whether this instance may act under the lease at a time on the boot clock.
func (r *taskRun) Valid(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.lease.Valid(now)
}

// current returns the lease as last renewed.
func (r *taskRun) current() leasedtask.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

func (r *taskRun) renew(lease leasedtask.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
}

// end ends the run, and returns why the lease is to be released if the group has requested that.
//
// Nothing may be done under this fencing token afterwards, even if the lease is still valid.
func (r *taskRun) end() (releaseReason string) {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return r.lease.ReleaseReason
}

// updateNote proposes a new note of the task in place of the lease's. It returns false if the note was
// rejected or the outcome is unknown; the renewed lease then shows which note applies.
func (r *taskRun) updateNote(ctx context.Context, lease leasedtask.Lease, note []byte) bool {
	o, err := r.driver.propose(ctx, leasedtask.Command{Kind: leasedtask.UpdateNote, Task: r.task,
		FencingToken: r.token, NoteRevision: lease.NoteRevision, Note: note})
	return err == nil && o.Code == clusterstate.Accepted
}

func newTaskDriver(env *environment, work map[string]taskFunc) *taskDriver {
	return &taskDriver{env: env, log: env.component("leasedtasks"), work: work, runs: map[string]*taskRun{},
		changed: make(chan struct{}, 1), closing: make(chan struct{}), closed: make(chan struct{})}
}

// leasesChanged receives the leases that this instance holds. It is called on the runner's goroutine and
// never blocks.
func (d *taskDriver) leasesChanged(leases []leasedtask.Lease) {
	d.mu.Lock()
	d.leases = leases
	// A renewal applies to running work at once.
	for _, lease := range leases {
		if r := d.runs[lease.Task]; r != nil && r.token == lease.FencingToken {
			r.renew(lease)
		}
	}
	d.mu.Unlock()
	d.wake()
}

func (d *taskDriver) wake() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// heldLeases returns the leases that this instance holds.
func (d *taskDriver) heldLeases() []leasedtask.Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leases
}

func (d *taskDriver) run() {
	defer close(d.closed)
	for {
		select {
		case <-d.closing:
			return
		case <-d.changed:
			d.reconcile()
		}
	}
}

// reconcile starts and stops work according to the leases.
func (d *taskDriver) reconcile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	leases := map[string]leasedtask.Lease{}
	for _, lease := range d.leases {
		leases[lease.Task] = lease
	}
	for task, r := range d.runs {
		if lease := leases[task]; lease.FencingToken != r.token || lease.ReleaseReason != "" {
			r.stop()
		}
	}
	for task, lease := range leases {
		if d.runs[task] != nil {
			continue // the next run starts once this one has ended
		}
		ctx, stop := context.WithCancel(context.Background())
		r := &taskRun{driver: d, task: task, token: lease.FencingToken, lease: lease, stop: stop}
		if lease.ReleaseReason != "" {
			stop()
		}
		d.runs[task] = r
		go d.runTask(ctx, r)
	}
}

// runTask does the work under a lease, and then releases the lease.
func (d *taskDriver) runTask(ctx context.Context, r *taskRun) {
	log := d.log.WithFields(logrus.Fields{"task": r.task, "fencing_token": r.token})
	log.Info("lease acquired")
	d.env.audit.write("hold %s %d", r.task, r.token)
	err := d.taskFuncFor(r.task)(ctx, r)
	reason := r.end()
	d.env.audit.write("leave %s %d", r.task, r.token)
	if err != nil {
		reason = err.Error()
		log.WithError(err).Error("leased task failed")
	}
	if reason == "" {
		reason = "it ends"
	}
	d.release(leasedtask.Command{Kind: leasedtask.Release, Task: r.task, FencingToken: r.token,
		Reason: reason, Failed: err != nil})
	d.mu.Lock()
	delete(d.runs, r.task)
	d.mu.Unlock()
	log.WithField("reason", reason).Info("lease released")
	d.wake()
}

// release proposes the release of a lease until the group has decided on it or the lease is no longer held.
func (d *taskDriver) release(c leasedtask.Command) {
	for d.holds(c.Task, c.FencingToken) {
		ctx, stop := context.WithTimeout(context.Background(), releaseTimeout)
		_, err := d.propose(ctx, c)
		if stop(); err == nil {
			return
		}
		select {
		case <-d.closing:
			return // the lease expires without a release
		case <-time.After(releaseBackoff):
		}
	}
}

func (d *taskDriver) holds(task string, token uint64) bool {
	for _, lease := range d.heldLeases() {
		if lease.Task == task && lease.FencingToken == token {
			return true
		}
	}
	return false
}

// propose proposes a lease holder's command to the group.
func (d *taskDriver) propose(ctx context.Context, c leasedtask.Command) (clusterstate.Outcome, error) {
	d.mu.Lock()
	d.sequence++
	c.ID = fmt.Sprintf("duty/%s/%d/%d", d.env.name, c.FencingToken, d.sequence)
	d.mu.Unlock()
	c.AtMS = time.Now().UnixMilli()
	return d.env.runner.ProposeCommand(ctx, leasedtask.Section, leasedtask.EncodeCommand(c), c.ID)
}

// setStandby starts or ends standby on an operator's order. The group grants no leases to an instance on
// standby, and transfers those that it holds if another instance can hold them. It does not block.
func (d *taskDriver) setStandby(standby bool) {
	d.standby.Store(standby)
	go d.reportStandby()
}

func (d *taskDriver) reportStandby() {
	// Concurrent calls may arrive here in a different order, so each reports the newest state.
	d.standbyMu.Lock()
	defer d.standbyMu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	if err := d.env.runner.SetDeparting(ctx, d.standby.Load()); err != nil {
		d.log.WithError(err).Warn("standby not reported to the group")
	}
}

// drain releases all leases of an instance that shuts down, and prevents new ones. Open jobs may still take
// long, and the tasks need not wait for them.
func (d *taskDriver) drain() {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	if err := d.env.runner.SetDeparting(ctx, true); err != nil {
		return // the runner has stopped: the leases expire
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		r.stop()
	}
}

// close releases the leases, waiting for at most transferTimeout, and stops the driver.
func (d *taskDriver) close() error {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	d.drain()
	for len(d.heldLeases()) > 0 && ctx.Err() == nil {
		time.Sleep(transferPollInterval)
	}
	close(d.closing)
	<-d.closed
	return nil
}

// taskFuncFor returns the work of a task.
func (d *taskDriver) taskFuncFor(task string) taskFunc {
	var n int
	if _, err := fmt.Sscanf(task, leasedtask.DrillTaskFormat, &n); err == nil {
		return d.drill
	}
	if work := d.work[task]; work != nil {
		return work
	}
	return func(context.Context, *taskRun) error {
		return fmt.Errorf("this program knows no leased task %q", task)
	}
}

// drill only writes to the audit log, which shows which instance acted when.
func (d *taskDriver) drill(ctx context.Context, r *taskRun) error {
	tick := time.NewTicker(drillInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if now := consensus.BootTime(); d.env.audit.enabled() && r.Valid(now) {
			d.env.audit.writeAt(now, "act %s %d", r.task, r.token)
		}
	}
}

// repeat calls step immediately and then at an interval, until the context ends or step fails.
func repeat(ctx context.Context, interval time.Duration, step func() error) error {
	for {
		if err := step(); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}
