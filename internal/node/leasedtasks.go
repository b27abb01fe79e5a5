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
	// transferTimeout is how long an instance that ends waits for its leases to be transferred.
	transferTimeout = time.Second
	// releaseTimeout is how long one attempt to release a lease may take, and releaseBackoff the time before
	// the next.
	releaseTimeout = 2 * time.Second
	releaseBackoff = 50 * time.Millisecond
	// transferPollInterval is how often an instance that ends checks whether its leases are released.
	transferPollInterval = 2 * time.Millisecond
	// drillInterval is the time between two actions of a drill.
	drillInterval = 2 * time.Millisecond
)

// taskFunc is the work of a leased task: until its context ends, or it fails. It checks taskRun.Valid before
// each effect that leaves the process, in the turn that acts.
type taskFunc func(ctx context.Context, run *taskRun) error

// taskDriver drives package leasedtask: it does the work of the tasks whose leases this instance holds, and
// releases the leases. One goroutine, run, starts and stops the work; each task's work has one of its own,
// which ends with the lease or with close.
type taskDriver struct {
	env     *environment
	log     logrus.FieldLogger
	work    map[string]taskFunc // by the task's name
	changed chan struct{}       // the leases may have changed
	closing chan struct{}
	closed  chan struct{} // closed once run has ended

	mu       sync.Mutex
	leases   []leasedtask.Lease  // as the runner gave them last
	runs     map[string]*taskRun // by the task's name
	sequence uint64              // of this process's commands

	standby       atomic.Bool // an operator's order
	standbyReport sync.Mutex  // held while the group is given it
}

// taskRun is the work under one lease, from its first step to the release.
type taskRun struct {
	driver *taskDriver
	task   string
	token  uint64 // the lease's fencing token
	stop   context.CancelFunc

	mu    sync.Mutex
	lease leasedtask.Lease // renewed while it lasts
	ended bool             // it acts no more
}

// Valid reports whether this instance may act under the lease at this moment of the boot clock.
func (r *taskRun) Valid(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.lease.Valid(now)
}

// current is the lease as it is known now.
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

// end has the run act no more, and returns why the lease is to be released, if the group has requested it.
//
// Hazard: from here on nothing is done under this fencing token, whatever lease there still is.
func (r *taskRun) end() (releaseReason string) {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return r.lease.ReleaseReason
}

// updateNote proposes another note of the task, in place of that of a lease. It is false where the note was
// rejected or the outcome is not known: the lease, once renewed, shows it.
func (r *taskRun) updateNote(ctx context.Context, lease leasedtask.Lease, note []byte) bool {
	o, err := r.driver.propose(ctx, leasedtask.Command{Kind: leasedtask.UpdateNote, Task: r.task,
		FencingToken: r.token, NoteRevision: lease.NoteRevision, Note: note})
	return err == nil && o.Code == clusterstate.Accepted
}

func newTaskDriver(env *environment, work map[string]taskFunc) *taskDriver {
	return &taskDriver{env: env, log: env.component("leasedtasks"), work: work, runs: map[string]*taskRun{},
		changed: make(chan struct{}, 1), closing: make(chan struct{}), closed: make(chan struct{})}
}

// leasesChanged takes the leases that this instance holds. It is called on the runner's goroutine, and never
// waits.
func (d *taskDriver) leasesChanged(leases []leasedtask.Lease) {
	d.mu.Lock()
	d.leases = leases
	// A renewed lease counts at once, for the work under way.
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

// held is the leases that this instance holds.
func (d *taskDriver) held() []leasedtask.Lease {
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

// reconcile starts and stops work by the leases.
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
			continue // the next run starts when that one has ended
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

// runTask does the work under a lease, and releases it.
func (d *taskDriver) runTask(ctx context.Context, r *taskRun) {
	log := d.log.WithFields(logrus.Fields{"task": r.task, "fencing_token": r.token})
	log.Info("lease acquired")
	d.env.audit.write("hold %s %d", r.task, r.token)
	err := d.workOf(r.task)(ctx, r)
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

// release proposes the release of a lease until the group has agreed to it.
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
	for _, lease := range d.held() {
		if lease.Task == task && lease.FencingToken == token {
			return true
		}
	}
	return false
}

// propose puts a lease holder's command into the log.
func (d *taskDriver) propose(ctx context.Context, c leasedtask.Command) (clusterstate.Outcome, error) {
	d.mu.Lock()
	d.sequence++
	c.ID = fmt.Sprintf("duty/%s/%d/%d", d.env.name, c.FencingToken, d.sequence)
	d.mu.Unlock()
	c.AtMS = time.Now().UnixMilli()
	return d.env.runner.ProposeCommand(ctx, leasedtask.Section, leasedtask.EncodeCommand(c), c.ID)
}

// setStandby takes an operator's order to stand by, or its end: the group gives an instance that stands by no
// leases, and transfers those that it holds, where others can hold them. It does not wait.
func (d *taskDriver) setStandby(on bool) {
	d.standby.Store(on)
	go d.reportStandby()
}

func (d *taskDriver) reportStandby() {
	// Hazard: two calls may get here in another order. What counts is the newest order.
	d.standbyReport.Lock()
	defer d.standbyReport.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	if err := d.env.runner.SetDeparting(ctx, d.standby.Load()); err != nil {
		d.log.WithError(err).Warn("standby not reported to the group")
	}
}

// drain has every lease be released, and none be granted to this instance: it is about to end. Open jobs may
// take long yet, and the tasks need not wait for them.
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

// close releases the leases, as far as that succeeds in time, and ends the driver.
func (d *taskDriver) close() error {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	d.drain()
	for len(d.held()) > 0 && ctx.Err() == nil {
		time.Sleep(transferPollInterval)
	}
	close(d.closing)
	<-d.closed
	return nil
}

// workOf is the work of the task of a name.
func (d *taskDriver) workOf(task string) taskFunc {
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

// drill does nothing but write to the audit log, which shows who acted when.
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

// repeat calls step at an interval, the first time at once, until the context ends or step fails.
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
