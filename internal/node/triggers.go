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
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

// triggers fire what this instance has intended. All but the counters belongs to the node's loop: a job
// is begun in the turn in which the clock was looked at.
type triggers struct {
	i        *Instance
	log      logrus.FieldLogger
	policy   *schedule.Policy
	giveUp   map[string]time.Duration // by class
	standing consensus.ClusterView
	clock    schedule.ClusterClock
	known    map[uint64]*firing // by number, until the outcome is told
	waiting  []*firing          // to be begun, the first first
	results  []schedule.FiringResult
	timer    *eventloop.Timer
	begun    atomic.Uint64
	early    bool // a turn is asked for
	leaving  bool // the node is about to end: what has not been handed in is given back
	ended    func()
}

// firing is an occurrence that this instance is to fire, until it knows what became of it.
type firing struct {
	schedule.Firing
	t     *triggers
	open  bool          // the core has it
	again time.Duration // not before
	tries int
}

// How much is begun in one turn of the loop, and when what was refused without a word is tried again.
const (
	firingsATurn = 200
	firingAgain  = 200 * time.Millisecond
	firingTurn   = 5 * time.Millisecond
	drainMost    = 20 * time.Second
)

func newTriggers(i *Instance) *triggers {
	return &triggers{i: i, log: i.log.WithField("part", "triggers"), policy: &schedule.Policy{},
		known: map[uint64]*firing{}}
}

// triggersOf is what a document says of triggers. It has been validated.
func triggersOf(d *clusterstate.Document) schedule.Policy {
	p, _ := schedule.ParsePolicy(d.Sections[schedule.Section], schedule.KnownNames{Classes: classesOf(d),
		Tenants: tenantsOf(d)})
	return p
}

func tenantsOf(d *clusterstate.Document) []string {
	var names []string
	for _, t := range d.Tenants {
		names = append(names, t.Name)
	}
	return names
}

// configure takes over what the configuration in force says, in the turn in which the fronts run it.
func (t *triggers) configure(p *schedule.Policy, d *clusterstate.Document) {
	t.giveUp = map[string]time.Duration{}
	for _, c := range d.Classes {
		t.giveUp[c.Name] = time.Duration(c.Deadline)
	}
	if p.Version == t.policy.Version {
		return
	}
	t.policy = p
	t.i.gate.note("triggers %d", p.Version)
	t.log.WithFields(logrus.Fields{"triggers": len(p.Triggers),
		"zones": fmt.Sprintf("%016x", t.i.zones.RulesVersion(p.ZoneNames()))}).Info("triggers are kept")
}

// read implements follower.
func (t *triggers) read(d *clusterstate.Document, _ balancer.Settings) func() {
	p := triggersOf(d)
	return func() { t.configure(&p, d) }
}

// bears says why this instance can't keep the triggers of a document.
func (t *triggers) bears(d *clusterstate.Document) error {
	p := triggersOf(d)
	if _, err := p.Recurrences(t.i.zones); err != nil {
		return fmt.Errorf("section %q: %w", schedule.Section, err)
	}
	return nil
}

// stands implements follower.
func (t *triggers) stands(s consensus.ClusterView) {
	t.i.node.loop.Post(func() {
		t.standing = s
		t.soon(0)
	})
}

// dated takes the fleet's time. It is called on the runner's goroutine.
func (t *triggers) dated(c schedule.ClusterClock) {
	t.i.node.loop.Post(func() { t.clock = c })
}

// fire takes what this instance is to fire. It is called on the runner's goroutine.
func (t *triggers) fire(items []schedule.Firing) {
	t.i.node.loop.Post(func() {
		for _, item := range items {
			f := t.known[item.Number]
			if f != nil && f.open {
				// Hazard: this session has ended while the job was out, and the next one has taken it
				// over: the job that is out is the one.
				f.Firing = item
				continue
			}
			if f == nil {
				f = &firing{t: t}
				t.known[item.Number] = f
				t.waiting = append(t.waiting, f)
			}
			f.Firing = item
		}
		t.run()
	})
}

// soon has a turn come.
func (t *triggers) soon(after time.Duration) {
	if len(t.waiting) == 0 && len(t.results) == 0 || t.early {
		return
	}
	t.early = true
	t.timer = t.i.node.loop.After(after, func() {
		t.early = false
		t.run()
	})
}

// run begins what may be begun, and tells what has ended.
func (t *triggers) run() {
	if len(t.results) > 0 {
		t.i.runner.NotifyParticipant(schedule.Section, t.results)
		t.results = nil
	}
	now := consensus.BootTime()
	begun := 0
	waiting := t.waiting
	t.waiting = nil
	for _, f := range waiting {
		switch {
		case f.Session != t.standing.Session || t.leaving:
			// It surely never ran, and whoever has it next should know.
			t.end(f, schedule.Released)
		case begun >= firingsATurn || now < f.again || now >= t.standing.ExpiresAt:
			// Hazard: the process may have stood still, and the next owner have it already.
			t.waiting = append(t.waiting, f)
		default:
			begun++
			t.begin(f, now)
		}
	}
	if t.ended != nil && len(t.known) == 0 && len(t.results) == 0 {
		t.ended()
		t.ended = nil
	}
	t.soon(firingTurn)
}

// leave has nothing more be begun, and what is waiting be given back.
func (t *triggers) leave() {
	t.leaving = true
	t.run()
}

// drained calls done once no job of a trigger is open here, and what became of them is told; or after a time.
func (t *triggers) drained(done func()) {
	over := false
	t.ended = func() {
		if !over {
			over = true
			done()
		}
	}
	t.i.node.loop.After(drainMost, t.ended)
	t.run()
}

// fleet is the fleet's time, Unix seconds; 0: it is not known.
func (t *triggers) fleet(now time.Duration) int64 {
	return t.clock.TimeAt(now) / int64(time.Second)
}

func (t *triggers) begin(f *firing, now time.Duration) {
	n, ok := slices.BinarySearchFunc(t.policy.Triggers, f.Trigger, func(a schedule.Trigger, name string) int {
		return strings.Compare(a.Name, name)
	})
	if !ok {
		t.log.WithField(
			"occurrence",
			f.IdempotencyKey(),
		).Warn(
			"it is not fired: its trigger was removed meanwhile",
		)
		t.end(f, schedule.Rejected)
		return
	}
	tr := &t.policy.Triggers[n]
	if f.tries > 0 && t.fleet(now)-f.At > int64((tr.StartingDeadline+tr.MaxJitter)/time.Second) {
		t.log.WithField("occurrence", f.IdempotencyKey()).Error("it was refused until it was too late")
		t.end(f, schedule.Rejected)
		return
	}
	class := slices.Index(t.i.names.Classes, tr.Class)
	tenant := max(slices.Index(t.i.names.Tenants, tr.Tenant), 0)
	f.open = true
	f.tries++
	t.begun.Add(1)
	t.i.gate.note("fire %q %d %d %d %v", f.IdempotencyKey(), f.Number, f.Session.Epoch, f.At, f.Redelivered)
	err := t.i.node.front.SubmitScheduled(
		platform.ScheduledRequest{ID: f.IdempotencyKey(), Class: class, Tenant: tenant,
			Account: tr.Account, Path: tr.Path, Body: tr.Body, ExpectedWork: tr.ExpectedCost,
			Timeout: t.giveUp[tr.Class],
			IsRetry: f.Redelivered || f.tries > 1},
		f,
	)
	if err != nil {
		f.open = false
		if !errors.Is(err, broker.ErrDuplicateID) {
			t.log.WithError(err).Error("an occurrence can't be fired")
		}
		t.i.gate.note("answer %q %d busy", f.IdempotencyKey(), f.Number)
		t.later(f, firingAgain)
	}
}

func (t *triggers) later(f *firing, after time.Duration) {
	f.again = consensus.BootTime() + max(after, firingAgain)
	t.waiting = append(t.waiting, f)
	t.soon(firingTurn)
}

func (t *triggers) end(f *firing, r schedule.Result) {
	delete(t.known, f.Number)
	t.results = append(t.results, schedule.FiringResult{Number: f.Number, Session: f.Session, Result: r})
	t.soon(firingTurn)
}

// Respond implements core.Client: what became of the job.
func (f *firing) Respond(a broker.Response) {
	f.open = false
	word := map[broker.ResponseKind]string{broker.Served: "served", broker.Rejected: "busy",
		broker.Failed: "failed"}[a.Kind]
	f.t.i.gate.note("answer %q %d %s", f.IdempotencyKey(), f.Number, word)
	switch a.Kind {
	case broker.Served:
		f.t.end(f, schedule.Succeeded)
	case broker.Rejected:
		// It surely never ran.
		f.t.later(f, a.RetryAfter)
	default:
		f.t.log.WithField(
			"occurrence",
			f.IdempotencyKey(),
		).Error(
			"the job of an occurrence has failed: it may have run",
		)
		f.t.end(f, schedule.Failed)
	}
}

// audited writes what was agreed on into the journal. It is called on the runner's goroutine.
func (t *triggers) audited(events []schedule.Event) {
	if t.i.gate.journal == nil {
		return
	}
	for _, e := range events {
		t.i.gate.note("agreed %s %q %d %d %d %d", e.Kind, e.Key, e.Number, e.At, e.Session.Epoch, e.Result)
	}
}
