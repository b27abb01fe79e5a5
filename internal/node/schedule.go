package node

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

const (
	// maxFiringsPerTurn is how many occurrences are fired in one turn of the loop.
	maxFiringsPerTurn = 200
	// firingInterval is the time between two such turns.
	firingInterval = 5 * time.Millisecond
	// minFiringBackoff is the minimum time before a rejected occurrence is fired again.
	minFiringBackoff = 200 * time.Millisecond
	// maxScheduleDrain bounds the wait for open occurrences in a graceful shutdown.
	maxScheduleDrain = 20 * time.Second
)

// scheduleDriver drives package schedule: it fires the occurrences that this instance has recorded its intent
// to fire. All but the counter is confined to the node's loop: an occurrence is fired in the turn in which
// the clock was read.
type scheduleDriver struct {
	env           *environment
	log           logrus.FieldLogger
	names         routing.KnownNames // of classes and tenants, by index
	zones         *calendar.ZoneDB
	policy        *schedule.Policy
	classes       map[string]replicated.Class // by name
	view          consensus.ClusterView
	clock         schedule.ClusterClock
	pending       map[uint64]*occurrence  // by number, until the outcome is known
	queue         []*occurrence           // to be fired, in order
	outcomes      []schedule.FiringResult // to be passed to the runner
	submitted     atomic.Uint64
	turnScheduled bool   // a turn is scheduled
	draining      bool   // in graceful shutdown: occurrences that were not fired are released
	onDrained     func() // called once when nothing is pending; nil: nobody waits
}

// occurrence is an occurrence that this instance must fire, until its outcome is known. It is the broker's
// client for the job.
type occurrence struct {
	schedule.Firing
	driver    *scheduleDriver
	open      bool          // the broker has the job
	notBefore time.Duration // on the boot clock
	attempts  int

	submittedAt     time.Duration // when the broker last got the job, on the boot clock
	mayHaveRunSince time.Duration // when an attempt that may have run was submitted here; 0: there is none
}

func newScheduleDriver(env *environment, names routing.KnownNames, zones *calendar.ZoneDB) *scheduleDriver {
	return &scheduleDriver{env: env, log: env.component("schedule"), names: names, zones: zones,
		policy: &schedule.Policy{}, pending: map[uint64]*occurrence{}}
}

// schedulePolicy parses the section of a validated document.
func schedulePolicy(d *clusterstate.Document) schedule.Policy {
	p, _ := schedule.ParsePolicy(d.Sections[schedule.Section], schedule.KnownNames{Classes: classNames(d),
		Tenants: tenantNames(d)})
	return p
}

func tenantNames(d *clusterstate.Document) []string {
	names := make([]string, len(d.Tenants))
	for n, t := range d.Tenants {
		names[n] = t.Name
	}
	return names
}

// Supports implements driver: the machine's zone rules must include the zones of all triggers.
func (s *scheduleDriver) Supports(d *clusterstate.Document) error {
	p := schedulePolicy(d)
	if _, err := p.Recurrences(s.zones); err != nil {
		return fmt.Errorf("section %q: %w", schedule.Section, err)
	}
	return nil
}

// Prepare implements driver.
func (s *scheduleDriver) Prepare(d *clusterstate.Document, _ balancer.Settings) preparedChange {
	p := schedulePolicy(d)
	c := &scheduleChange{driver: s, policy: &p, classes: map[string]replicated.Class{}}
	for i := range d.Classes {
		class := d.Classes[i].Replicated()
		c.classes[class.Name] = class
	}
	return c
}

type scheduleChange struct {
	driver  *scheduleDriver
	policy  *schedule.Policy
	classes map[string]replicated.Class
}

// Apply implements preparedChange.
func (c *scheduleChange) Apply() {
	s, p := c.driver, c.policy
	s.classes = c.classes
	if p.Version == s.policy.Version {
		return
	}
	s.policy = p
	s.env.audit.write("triggers %d", p.Version)
	s.log.WithFields(logrus.Fields{"count": len(p.Triggers),
		"zones": fmt.Sprintf("%016x", s.zones.RulesVersion(p.ZoneNames()))}).Info("triggers are scheduled")
}

// ClusterChanged implements driver.
func (s *scheduleDriver) ClusterChanged(v consensus.ClusterView) {
	s.env.loop().Post(func() {
		s.view = v
		s.wake(0)
	})
}

// clockChanged sets the cluster's clock. It is called on the runner's goroutine.
func (s *scheduleDriver) clockChanged(c schedule.ClusterClock) {
	s.env.loop().Post(func() { s.clock = c })
}

// fire queues occurrences for this instance to fire. It is called on the runner's goroutine.
func (s *scheduleDriver) fire(firings []schedule.Firing) {
	s.env.loop().Post(func() {
		for _, firing := range firings {
			s.enqueue(firing)
		}
		s.run()
	})
}

func (s *scheduleDriver) enqueue(firing schedule.Firing) {
	o := s.pending[firing.Number]
	if o == nil {
		o = &occurrence{driver: s}
		s.pending[firing.Number] = o
		s.queue = append(s.queue, o)
	}
	// If a session expired while the job was open, this instance's next session may have taken the occurrence
	// over. The open job then remains its only one.
	o.Firing = firing
}

// wake schedules a turn if there is work and no turn is scheduled.
func (s *scheduleDriver) wake(after time.Duration) {
	if len(s.queue) == 0 && len(s.outcomes) == 0 || s.turnScheduled {
		return
	}
	s.turnScheduled = true
	s.env.loop().After(after, func() {
		s.turnScheduled = false
		s.run()
	})
}

// run passes the outcomes to the runner, and fires the occurrences that may be fired.
func (s *scheduleDriver) run() {
	if len(s.outcomes) > 0 {
		s.env.runner.NotifyParticipant(schedule.Section, s.outcomes)
		s.outcomes = nil
	}
	s.submitQueued(consensus.BootTime())
	if s.onDrained != nil && len(s.pending) == 0 && len(s.outcomes) == 0 {
		s.onDrained()
		s.onDrained = nil
	}
	s.wake(firingInterval)
}

func (s *scheduleDriver) submitQueued(now time.Duration) {
	submitted := 0
	queue := s.queue
	s.queue = nil
	for _, o := range queue {
		switch {
		case o.Session != s.view.Session || s.draining:
			s.release(o)
		case submitted >= maxFiringsPerTurn || now < o.notBefore || now >= s.view.ExpiresAt:
			// Once the lease has expired, as in a stall of this process, the next owner may already have the
			// occurrence.
			s.queue = append(s.queue, o)
		default:
			submitted++
			s.submit(o, now)
		}
	}
}

// drain starts a graceful shutdown: nothing more is fired, and occurrences that were not fired are released.
func (s *scheduleDriver) drain() {
	s.draining = true
	s.run()
}

// awaitDrained calls done once no occurrence's job is open here and the outcomes have been passed to the
// runner, or after maxScheduleDrain.
func (s *scheduleDriver) awaitDrained(done func()) {
	called := false
	s.onDrained = func() {
		if !called {
			called = true
			done()
		}
	}
	s.env.loop().After(maxScheduleDrain, s.onDrained)
	s.run()
}

// clusterTime returns the cluster's time in Unix seconds, or 0 if it is unknown.
func (s *scheduleDriver) clusterTime(now time.Duration) int64 {
	return s.clock.TimeAt(now) / int64(time.Second)
}

// submit submits the job of an occurrence to the platform's front. It drops the occurrence if its trigger was
// removed, or if it was rejected before and is now too late.
func (s *scheduleDriver) submit(o *occurrence, now time.Duration) {
	trigger := findTrigger(s.policy, o.Trigger)
	if trigger == nil {
		s.log.WithField("occurrence", o.IdempotencyKey()).Warn("occurrence dropped: its trigger was removed")
		s.finish(o, schedule.Rejected)
		return
	}
	if !s.mayRepeat(o, s.classes[trigger.Class], now) {
		s.log.WithField("occurrence", o.IdempotencyKey()).
			Error("job of an occurrence not repeated: it may have run")
		s.finish(o, schedule.Failed)
		return
	}
	maxDelay := int64((trigger.StartingDeadline + trigger.MaxJitter) / time.Second)
	if o.attempts > 0 && s.clusterTime(now)-o.At > maxDelay {
		s.log.WithField("occurrence", o.IdempotencyKey()).
			Error("occurrence dropped: rejected until it was too late")
		if o.mayHaveRun() {
			s.finish(o, schedule.Failed)
		} else {
			s.finish(o, schedule.Rejected)
		}
		return
	}
	o.open, o.submittedAt = true, now
	o.attempts++
	s.submitted.Add(1)
	s.env.audit.write("fire %q %d %d %d %v", o.IdempotencyKey(), o.Number, o.Session.Epoch, o.At,
		o.Redelivered)
	if err := s.env.node.front.SubmitScheduled(s.buildRequest(o, trigger), o); err != nil {
		o.open = false
		if !errors.Is(err, broker.ErrDuplicateID) {
			s.log.WithError(err).WithField("occurrence", o.IdempotencyKey()).
				Error("occurrence can't be fired yet")
		}
		s.env.audit.write("answer %q %d busy", o.IdempotencyKey(), o.Number)
		s.retry(o, minFiringBackoff)
	}
}

// mayRepeat reports whether the job of an occurrence may be submitted now. A job that may have run, here or
// under an earlier session, is submitted again only for as long as its class allows.
func (s *scheduleDriver) mayRepeat(o *occurrence, class replicated.Class, now time.Duration) bool {
	if o.mayHaveRunSince > 0 && !class.MayRepeat(now-o.mayHaveRunSince) {
		return false
	}
	// Both times are whole seconds, so up to one more second may have passed.
	age := time.Duration(s.clusterTime(now)-o.IntendedAt+1) * time.Second
	return !o.Redelivered || class.MayRepeat(age)
}

// mayHaveRun reports whether the job of an occurrence that is not open may have run, here or under an earlier
// session.
func (o *occurrence) mayHaveRun() bool { return o.mayHaveRunSince > 0 || o.Redelivered }

// release ends an occurrence that this session must not submit any more. If its job never ran, the next owner
// must learn that: it submits the job whatever its class.
func (s *scheduleDriver) release(o *occurrence) {
	if trigger := findTrigger(s.policy, o.Trigger); !o.mayHaveRun() ||
		trigger != nil && s.classes[trigger.Class].AlwaysRepeatable() {
		s.finish(o, schedule.Released)
		return
	}
	s.finish(o, schedule.Failed)
}

// findTrigger returns the trigger with a name, or nil. A policy's triggers are sorted by name.
func findTrigger(p *schedule.Policy, name string) *schedule.Trigger {
	n, ok := slices.BinarySearchFunc(p.Triggers, name, func(t schedule.Trigger, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return nil
	}
	return &p.Triggers[n]
}

func (s *scheduleDriver) buildRequest(o *occurrence, t *schedule.Trigger) platform.ScheduledRequest {
	return platform.ScheduledRequest{ID: o.IdempotencyKey(), Class: slices.Index(s.names.Classes, t.Class),
		Tenant: max(slices.Index(s.names.Tenants, t.Tenant), 0), Account: t.Account, Path: t.Path,
		Body: t.Body, ExpectedWork: t.ExpectedWork, Timeout: s.classes[t.Class].Timeout,
		IsRetry: o.Redelivered || o.attempts > 1}
}

func (s *scheduleDriver) retry(o *occurrence, after time.Duration) {
	o.notBefore = consensus.BootTime() + max(after, minFiringBackoff)
	s.queue = append(s.queue, o)
	s.wake(firingInterval)
}

func (s *scheduleDriver) finish(o *occurrence, r schedule.Result) {
	delete(s.pending, o.Number)
	s.outcomes = append(s.outcomes, schedule.FiringResult{Number: o.Number, Session: o.Session, Result: r})
	s.wake(firingInterval)
}

// Respond implements broker.Client: it handles the outcome of the job.
func (o *occurrence) Respond(a broker.Response) {
	s := o.driver
	o.open = false
	s.env.audit.write("answer %q %d %s", o.IdempotencyKey(), o.Number, auditOutcomes[a.Kind])
	switch a.Kind {
	case broker.Served:
		s.finish(o, schedule.Succeeded)
	case broker.Rejected:
		if a.MayHaveRun && o.mayHaveRunSince == 0 {
			o.mayHaveRunSince = o.submittedAt
		}
		s.retry(o, a.RetryAfter)
	default:
		s.log.WithField("occurrence", o.IdempotencyKey()).
			Error("job of an occurrence failed: it may have run")
		s.finish(o, schedule.Failed)
	}
}

// auditOutcomes are the names of outcomes in the audit log.
var auditOutcomes = map[broker.ResponseKind]string{broker.Served: "served", broker.Rejected: "busy",
	broker.Failed: "failed"}

// writeAudit writes committed events of the schedule to the audit log. It is called on the runner's
// goroutine.
func (s *scheduleDriver) writeAudit(events []schedule.Event) {
	for _, e := range events {
		s.env.audit.write("agreed %s %q %d %d %d %d", e.Kind, e.Key, e.Number, e.At, e.Session.Epoch,
			e.Result)
	}
}
