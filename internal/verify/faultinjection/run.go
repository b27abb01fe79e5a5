package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/ratelimit"
)

const (
	// idleTime is how long messages between idle instances are counted.
	idleTime = time.Second
	// maxViolations is the most violations that a result lists.
	maxViolations = 20
)

// RunOptions configures a run.
type RunOptions struct {
	ClusterOptions
	Schedule   []Fault
	Duration   time.Duration // of changes, faults and jobs
	MaxChanges int           // 0: no limit within Duration
	Trace      io.Writer     // receives a line for each fault and change; nil: no trace
	// OnProgress is called after each change, on the goroutine that makes changes; nil: no calls.
	// The result is valid only during the call.
	OnProgress func(elapsed time.Duration, r *Result)
}

// Result holds the measurements of a run and the violations that its audits found. Operators read it
// as JSON.
type Result struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Faults    int     `json:"faults"`
	InForce   int     `json:"in_force"`  // changes
	Withdrawn int     `json:"withdrawn"` // changes
	Retries   int     `json:"repeats"`   // repeated attempts to propose a change under the same id
	// ProposeLatencies are the times from a proposal until the change is in force, for changes whose
	// first proposal got a response.
	ProposeLatencies []time.Duration `json:"took_ns"`
	// AdmissionPauses are the times for which an instance admitted no jobs because of a change.
	AdmissionPauses []time.Duration `json:"pauses_ns"`
	// RecoveryTime is the time from the end of the last fault until all instances admitted jobs.
	RecoveryTime time.Duration `json:"back_ns"`
	// MembershipRecoveryTime is the time from the end of the last fault until every instance saw
	// every other one alive.
	MembershipRecoveryTime time.Duration `json:"believed_ns"`
	// MessagesPerSecond counts the messages between all instances while they were idle.
	MessagesPerSecond float64 `json:"messages_a_s"`
	Admitted          int     `json:"admitted"` // jobs
	TaskActions       int     `json:"acts"`     // in leased tasks
	RatedAdmissions   int     `json:"rated"`    // of accounts with a rate limit
	// RateUtilization is the fraction of the admissions allowed by the accounts' rates that took place.
	RateUtilization float64 `json:"rate_use"`
	// MaxAdmissionGap is the longest time between two admissions of an account that has its own
	// limit in the section.
	MaxAdmissionGap    time.Duration `json:"rate_gap_ns"`
	Accounts           int           `json:"accounts"` // with at least one admission
	BudgetShares       int           `json:"parts"`    // times that an instance held a slow-start share
	Triggers           TriggerCounts `json:"fired"`
	RollingRestarts    int           `json:"rolls"` // that were completed
	RestartedInstances int           `json:"out"`   // restarted by rolling restarts
	// TaskGaps are the times without an action while a leased task passed to another holder.
	TaskGaps    []time.Duration `json:"gaps_ns"`
	Jobs        JobCounts       `json:"jobs"`
	Violations  []string        `json:"violations,omitempty"`
	LastEntries []string        `json:"last,omitempty"` // of the journals; empty without violations
}

// run is a run in progress.
type run struct {
	RunOptions
	*Cluster
	began time.Time
	rng   *rand.Rand // of the goroutine that makes changes

	acknowledged  map[string]uint64 // revisions of changes acknowledged as in force, by the change's id
	withdrawn     map[string]bool   // by the change's id
	proposedRates map[uint64]ratelimit.Policy

	// mu guards the fields below that several goroutines write: lastProposer and, of the result, the
	// jobs, the counts of faults and of rolling restarts, and the violations. The other fields of the
	// result belong to the goroutine that makes changes.
	mu           sync.Mutex
	result       Result
	lastProposer string // the instance that the client last sent a proposal to
}

// Run starts a cluster, runs the schedule against it and audits it. An error means that the run could
// not be started or completed; violations are in the result. All processes have ended when it returns.
func Run(ctx context.Context, o RunOptions) (*Result, error) {
	c, err := StartCluster(o.ClusterOptions)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &run{
		RunOptions:    o,
		Cluster:       c,
		rng:           rand.New(rand.NewPCG(o.Seed, 11)),
		acknowledged:  map[string]uint64{},
		withdrawn:     map[string]bool{},
		proposedRates: map[uint64]ratelimit.Policy{},
	}
	r.result.Instances = o.Instances
	if err := c.FormGroup(ctx); err != nil {
		return nil, err
	}
	if err := r.measureIdleMessages(ctx); err != nil {
		return nil, err
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	return &r.result, r.audit(ctx)
}

// measureIdleMessages counts the messages between idle instances, and sets their rate in the result.
func (r *run) measureIdleMessages(ctx context.Context) error {
	count := func() (n uint64, err error) {
		for _, p := range r.Processes {
			s := p.Status(ctx)
			if s == nil {
				return 0, fmt.Errorf("status of %s: no response from an idle instance", p.Name)
			}
			n += s.Counters["messages_sent"]
		}
		return n, nil
	}
	before, err := count()
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleTime):
	}
	after, err := count()
	r.result.MessagesPerSecond = float64(after-before) / time.Since(began).Seconds()
	return err
}

// trace writes a line that begins with the time since the run's start.
func (r *run) trace(format string, args ...any) {
	if r.Trace != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		fmt.Fprintf(r.Trace, "%8.3fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// violate adds a violation to the result, up to maxViolations.
func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
	}
}

// execute makes changes, injects faults and sends jobs, and then waits for the cluster to recover.
// Jobs are sent until it has recovered.
func (r *run) execute(ctx context.Context) error {
	r.began = time.Now()
	sending, stopJobs := context.WithCancel(ctx)
	var senders sync.WaitGroup
	if r.JobsPerSecond > 0 {
		for _, p := range r.Processes {
			senders.Go(func() { r.sendJobs(sending, p, &r.result.Jobs, &r.mu) })
		}
	}
	err := r.changeUnderFaults(ctx)
	healed, healedAt := time.Now(), consensus.BootTime()
	r.Links.Heal()
	for _, p := range r.Processes {
		r.SetStalled(p, false)
		err = errors.Join(err, r.StartProcess(p), r.SetClock(p, 0))
	}
	if err == nil {
		r.awaitRecovery(ctx, healed, healedAt)
	}
	stopJobs()
	senders.Wait()
	r.result.Seconds = time.Since(r.began).Seconds()
	return err
}

// changeUnderFaults makes the changes while it injects the faults and runs rolling restarts.
func (r *run) changeUnderFaults(ctx context.Context) error {
	injecting, stop := context.WithCancel(ctx)
	defer stop()
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(injecting) })
	if r.MaxRestarting > 0 {
		faults.Go(func() { r.restartRepeatedly(injecting) })
	}
	err := r.makeChanges(ctx)
	stop()
	faults.Wait()
	return err
}

// awaitRecovery waits until the cluster has recovered from the faults. Anything that has not
// recovered in time is a violation. The faults ended at healed, which is healedAt by CLOCK_BOOTTIME.
func (r *run) awaitRecovery(ctx context.Context, healed time.Time, healedAt time.Duration) {
	if err := r.WaitAdmitting(ctx); err != nil {
		r.violate("no recovery after the faults ended: %v", err)
	}
	r.result.RecoveryTime = time.Since(healed)
	if r.MaxRestarting > 0 {
		r.awaitRestartEnd(ctx)
	}
	if r.result.InForce > 0 && r.AllUpgraded() {
		r.awaitMembership(ctx, healed)
	}
	if r.Triggers > 0 {
		r.awaitOutcomes(ctx, healedAt)
	}
}
