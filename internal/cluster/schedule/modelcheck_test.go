package schedule

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/verify/modelcheck"
)

// The model has two instances, one trigger with up to two occurrences, and the log. At any time an instance
// may apply the next entry, lose its lease, renew it (from a leader that has applied everything, if it has,
// too), crash, and get a new session; may propose what follows from its state, however old that is and
// whether or not it has a lease; and start a job that is its own by its state, with a lease only. A command
// may be lost, delayed or doubled.

// modelEntry is an entry of the model's log: a command, the opening of a session, or its end.
type modelEntry struct {
	command Command
	opened  Session
	ended   Session
}

type modelInstance struct {
	state    *State
	sessions [3]uint64 // epochs by member, by its state
	applied  int
	epoch    uint64 // of its process's session; 0: none
	lease    bool
	started  [4]bool // by number of the firing, by this process
	finished [4]bool
}

// modelCounts are how often something has happened, or may.
type modelCounts struct {
	crashes, opens, expiries, doubles, commands int
}

type modelLimits struct {
	modelCounts
	once    bool // the job's class may not be repeated
	minutes int64
	// startsWithoutLease breaks the rule that a job is started with a lease only.
	startsWithoutLease bool
}

type model struct {
	limits     modelLimits
	policy     *Policy
	recurrence *calendar.Recurrence
	log        []modelEntry
	inFlight   []Command
	instances  [3]modelInstance // 0: a replica that has applied everything
	epochs     uint64
	now        int64
	starts     [4]int // by number of the firing, by all processes
	intents    map[string]int
	violation  string
	counts     modelCounts
}

const modelStart = 1_800_000_000

var (
	modelShard = placement.ShardOf("a")
	modelSeed  = maphash.MakeSeed()
)

func newModel(t testing.TB, limits modelLimits) *model {
	t.Helper()
	class := "any"
	if limits.once {
		class = "once"
	}
	p := mustParsePolicy(t, map[string]string{"zone": "UTC",
		"trigger.a": "* * * * * late=100h class=" + class}, KnownNames{Classes: []string{"any", "once"}})
	recurrence, err := calendar.Parse("* * * * *", calendar.UTC(), calendar.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{limits: limits, policy: &p, recurrence: recurrence, now: modelStart,
		intents: map[string]int{}}
	for k := range m.instances {
		m.instances[k].state = NewState()
		m.instances[k].state.Configure(&p)
		m.instances[k].state.SetOwners(nil)
	}
	m.appendEntry(modelEntry{command: Command{Kind: DeclarePolicy, PolicyVersion: p.Version,
		ZoneRulesVersion: 1, ClusterTime: modelStart}})
	for k := uint64(1); k <= 2; k++ {
		m.epochs++
		m.appendEntry(modelEntry{opened: Session{Member: k, Epoch: m.epochs}})
		m.instances[k].epoch, m.instances[k].lease = m.epochs, true
	}
	for k := range m.instances {
		for m.instances[k].applied < len(m.log) {
			m.apply(k)
		}
	}
	return m
}

func cloneState(s *State) *State {
	c := *s
	c.Shards = maps.Clone(s.Shards)
	c.ActiveSince, c.LastWallClock = maps.Clone(s.ActiveSince), maps.Clone(s.LastWallClock)
	c.open = map[uint64]*Firing{}
	for n, f := range s.open {
		firing := *f
		c.open[n] = &firing
	}
	c.newFirings, c.events, c.Failures = nil, nil, nil
	return &c
}

func (m *model) clone() *model {
	c := *m
	c.log, c.inFlight = slices.Clone(m.log), slices.Clone(m.inFlight)
	c.intents = maps.Clone(m.intents)
	for k := range c.instances {
		c.instances[k].state = cloneState(m.instances[k].state)
	}
	return &c
}

// modelKey collects what distinguishes two states.
type modelKey []byte

func (b *modelKey) numbers(list ...uint64) {
	for _, n := range list {
		*b = binary.AppendUvarint(*b, n)
	}
}

func (b *modelKey) flags(list ...bool) {
	for _, x := range list {
		if x {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}

func (b *modelKey) command(c Command) {
	b.numbers(uint64(c.Kind), c.Session.Member, c.Session.Epoch, uint64(c.ClusterTime-modelStart),
		uint64(len(c.Occurrences)))
	for _, a := range c.Advances {
		b.numbers(a.FromVersion)
	}
	b.numbers(c.Numbers...)
}

func (b *modelKey) instance(n *modelInstance, logLength int) {
	b.numbers(uint64(logLength-n.applied), n.epoch)
	b.numbers(n.sessions[:]...)
	b.flags(n.lease)
	b.flags(n.started[:]...)
	b.flags(n.finished[:]...)
	b.numbers(uint64(len(n.state.open)))
	for number := range uint64(5) {
		if f := n.state.open[number]; f != nil {
			b.numbers(number, f.Session.Member, f.Session.Epoch)
			b.flags(f.Orphaned, f.Redelivered)
		}
	}
	x := n.state.Shards[modelShard]
	b.numbers(x.Version, uint64(max(x.Watermark-modelStart, 0)))
}

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	b := make(modelKey, 0, 512)
	b.numbers(uint64(m.now-modelStart), uint64(m.counts.crashes), uint64(m.counts.opens),
		uint64(m.counts.expiries), uint64(m.counts.doubles), uint64(m.counts.commands), m.epochs)
	for _, n := range m.starts {
		b.numbers(uint64(n))
	}
	for k := range m.instances {
		b.instance(&m.instances[k], len(m.log))
	}
	for _, c := range m.inFlight {
		b = append(b, '+')
		b.command(c)
	}
	for _, e := range m.log[min(m.instances[1].applied, m.instances[2].applied):] {
		b = append(b, '!')
		b.command(e.command)
		b.numbers(e.opened.Member, e.opened.Epoch, e.ended.Member, e.ended.Epoch)
	}
	return maphash.Bytes(modelSeed, b)
}

// Violation implements modelcheck.State.
func (m *model) Violation() string { return m.violation }

func (m *model) appendEntry(e modelEntry) {
	m.log = append(m.log, e)
	m.apply(0)
}

// apply has an instance apply the next entry.
func (m *model) apply(k int) {
	n := &m.instances[k]
	e := m.log[n.applied]
	n.applied++
	switch {
	case e.command.Kind != NoCommand:
		_ = n.state.Apply(e.command)
	case e.ended != Session{}:
		n.state.OrphanFirings(func(s Session) bool { return s == e.ended })
		if n.sessions[e.ended.Member] == e.ended.Epoch {
			n.sessions[e.ended.Member] = 0
		}
	default:
		n.state.OrphanFirings(func(s Session) bool {
			return s.Member == e.opened.Member && s.Epoch != e.opened.Epoch
		})
		n.sessions[e.opened.Member] = e.opened.Epoch
	}
	var members []placement.Member
	for member, epoch := range n.sessions {
		if epoch != 0 {
			session := Session{Member: uint64(member), Epoch: epoch}
			members = append(members, placement.Member{Session: session})
		}
	}
	n.state.SetOwners(members)
	if k == 0 {
		m.audit(n.state.PopEvents())
	}
}

func (m *model) audit(events []Event) {
	for _, e := range events {
		if e.Kind == EventIntended {
			if m.intents[e.Key]++; m.intents[e.Key] > 1 {
				m.violation = e.Key + " was intended twice"
			}
		}
		if e.Kind == EventFinished && e.Result == Succeeded && m.starts[e.Number] == 0 {
			m.violation = e.Key + " has ended as done, and nobody started it"
		}
	}
}

// proposals are the commands that an instance may propose by its state.
func (m *model) proposals(k int) (out []Command) {
	n := &m.instances[k]
	session := Session{Member: uint64(k), Epoch: n.epoch}
	firings := n.state.OpenFirings()
	if owner, ok := n.state.Owner(modelShard); ok && owner == session {
		if c := m.intent(n.state, session); len(c.Occurrences) > 0 {
			out = append(out, c)
		}
		result := Succeeded
		if m.limits.once {
			result = Unknown
		}
		for _, f := range firings {
			if f.Orphaned {
				out = append(out, Command{Kind: ResolveOrphans, Session: session,
					Numbers: []uint64{f.Number}, Results: []Result{result}})
			}
		}
	}
	for _, f := range firings {
		if f.Session == session && n.finished[f.Number] {
			out = append(out, Command{Kind: RecordResults, Session: session, Numbers: []uint64{f.Number},
				Results: []Result{Succeeded}})
		}
	}
	return out
}

func (m *model) intent(s *State, session Session) Command {
	c := Command{Kind: IntendFirings, Session: session, PolicyVersion: m.policy.Version, ZoneRulesVersion: 1,
		ClusterTime: m.now, Advances: []ShardAdvance{{modelShard, s.Shards[modelShard].Version}}}
	o, _ := m.recurrence.Next(s.intendedThrough(&m.policy.Triggers[0]))
	for ; o.At <= m.now; o, _ = m.recurrence.Next(o.At) {
		c.Occurrences = append(c.Occurrences, DueOccurrence{LocalTime: o.LocalTime, At: o.At,
			WallClock: o.WallClock})
	}
	return c
}

type modelTransitions []modelcheck.Transition[*model]

// add adds the state after a change of a model.
func (x *modelTransitions) add(m *model, event string, change func(*model)) {
	c := m.clone()
	change(c)
	*x = append(*x, modelcheck.Transition[*model]{Event: event, State: c})
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	var out modelTransitions
	if m.now < modelStart+60*m.limits.minutes {
		out.add(m, "a minute passes", func(c *model) { c.now += 60 })
	}
	for k := 1; k <= 2; k++ {
		m.addSessionTransitions(&out, k)
		if m.instances[k].epoch != 0 && m.counts.commands < m.limits.commands && len(m.inFlight) < 2 {
			for _, command := range m.proposals(k) {
				out.add(m, fmt.Sprint(k, " proposes ", command.Kind), func(c *model) {
					c.counts.commands++
					c.inFlight = append(c.inFlight, command)
				})
			}
		}
		m.addJobTransitions(&out, k)
	}
	for k, command := range m.inFlight {
		remove := func(c *model) { c.inFlight = append(c.inFlight[:k:k], c.inFlight[k+1:]...) }
		out.add(m, "a command is appended", func(c *model) {
			remove(c)
			c.appendEntry(modelEntry{command: command})
		})
		out.add(m, "a command is lost", remove)
		if m.counts.doubles < m.limits.doubles {
			out.add(m, "a command is appended, and comes again", func(c *model) {
				c.counts.doubles++
				c.appendEntry(modelEntry{command: command})
			})
		}
	}
	return out
}

// addSessionTransitions adds what may happen to an instance's process, session and lease.
func (m *model) addSessionTransitions(out *modelTransitions, k int) {
	n := &m.instances[k]
	session := m.instances[0].sessions[k] // by the log
	caughtUp := n.applied == len(m.log)
	if !caughtUp {
		out.add(m, fmt.Sprint(k, " applies"), func(c *model) { c.apply(k) })
	}
	if n.lease {
		out.add(m, fmt.Sprint(k, "'s lease ends"), func(c *model) { c.instances[k].lease = false })
	} else if n.epoch != 0 && session == n.epoch && caughtUp {
		out.add(m, fmt.Sprint(k, "'s lease is renewed"), func(c *model) { c.instances[k].lease = true })
	}
	if session != 0 && !(n.lease && session == n.epoch) && m.counts.expiries < m.limits.expiries {
		out.add(m, fmt.Sprint(k, "'s session expires"), func(c *model) {
			c.counts.expiries++
			c.appendEntry(modelEntry{ended: Session{Member: uint64(k), Epoch: session}})
		})
	}
	if m.counts.crashes < m.limits.crashes && n.epoch != 0 {
		out.add(m, fmt.Sprint(k, " crashes"), func(c *model) {
			c.counts.crashes++
			x := &c.instances[k]
			x.epoch, x.lease, x.started, x.finished = 0, false, [4]bool{}, [4]bool{}
		})
	}
	// A process without a session, or one whose session has ended, gets a new one.
	if (n.epoch == 0 || session != n.epoch) && caughtUp && m.counts.opens < m.limits.opens {
		out.add(m, fmt.Sprint(k, " gets a session"), func(c *model) {
			c.counts.opens++
			c.epochs++
			c.instances[k].epoch = c.epochs
			c.appendEntry(modelEntry{opened: Session{Member: uint64(k), Epoch: c.epochs}})
		})
	}
}

// addJobTransitions adds the starts and ends of an instance's jobs.
func (m *model) addJobTransitions(out *modelTransitions, k int) {
	n := &m.instances[k]
	for _, f := range n.state.OpenFirings() {
		own := f.Session == (Session{Member: uint64(k), Epoch: n.epoch}) && !f.Orphaned
		if own && !n.started[f.Number] && (n.lease || m.limits.startsWithoutLease) {
			out.add(m, fmt.Sprint(k, " starts ", f.Number), func(c *model) {
				c.instances[k].started[f.Number] = true
				if c.starts[f.Number]++; c.limits.once && c.starts[f.Number] > 1 {
					c.violation = "started twice, and may not be repeated"
				}
				if c.starts[f.Number] > 1 && !f.Redelivered {
					c.violation = "started by two, and nobody has adopted it"
				}
			})
		}
		if n.started[f.Number] && !n.finished[f.Number] {
			out.add(m, fmt.Sprint(k, " finishes ", f.Number),
				func(c *model) { c.instances[k].finished[f.Number] = true })
		}
	}
}

var maxStates = flag.Int64("states", 15_000, "how many states the model checker visits at the most")

// In no order of events is an occurrence intended twice, started twice where it may not be, or started by a
// session that it was taken from.
func TestNoOrderOfEventsFiresTwice(t *testing.T) {
	for _, limits := range []modelLimits{
		{minutes: 1, modelCounts: modelCounts{crashes: 1, opens: 1, expiries: 1, commands: 3}, once: true},
		{minutes: 1, modelCounts: modelCounts{crashes: 1, opens: 1, expiries: 1, commands: 3}},
		{minutes: 1, modelCounts: modelCounts{opens: 1, expiries: 1, doubles: 1, commands: 3}, once: true},
		{minutes: 2, modelCounts: modelCounts{expiries: 1, commands: 4}, once: true},
	} {
		r := modelcheck.Check(newModel(t, limits), *maxStates)
		t.Logf("%+v: %d states, complete %v", limits, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}

// Starting a job without a lease is found: it is started by two.
func TestModelCheckerFindsAStartWithoutLease(t *testing.T) {
	limits := modelLimits{minutes: 1, modelCounts: modelCounts{expiries: 1, commands: 3},
		startsWithoutLease: true}
	r := modelcheck.Check(newModel(t, limits), *maxStates)
	if r.Violation == "" {
		t.Errorf("%d states, complete %v, no violation", r.States, r.Complete)
	}
	t.Logf("%s, by %d events", r.Violation, len(r.Trace))
}
