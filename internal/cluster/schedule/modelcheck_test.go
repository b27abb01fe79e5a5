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

// The model consists of two instances, one trigger with up to two occurrences, and the log. At any time an
// instance may apply the next entry, lose its lease, renew it (only if it has applied the whole log, as the
// leader has), crash, or get a new session. It may propose the commands that follow from its state, even if
// the state is outdated or it has no lease. Only with a lease may it start a job that belongs to it according
// to its state. A command may be lost, delayed or duplicated.

// modelEntry is an entry of the model's log: a command, or the opening or the end of a session.
type modelEntry struct {
	command Command
	opened  Session
	ended   Session
}

// modelInstance is an instance of the model. Its process may crash; the state and the position in the log
// survive.
type modelInstance struct {
	state    *State
	sessions [3]uint64 // epoch of the open session by member, according to state; 0: none
	applied  int       // number of log entries
	epoch    uint64    // of the process's session; 0: none
	lease    bool
	started  [4]bool // by firing number: the process has started the job
	finished [4]bool // by firing number: the job has ended
}

// modelCounts counts events of each kind, or limits their number.
type modelCounts struct {
	crashes, opens, expiries, duplicates, commands int
}

type modelLimits struct {
	modelCounts
	atMostOnce bool // the job may not be sent again
	minutes    int64
	// startsWithoutLease breaks the rule that a job is started only with a lease.
	startsWithoutLease bool
}

type model struct {
	limits     modelLimits
	policy     *Policy
	recurrence *calendar.Recurrence
	log        []modelEntry
	inFlight   []Command
	instances  [3]modelInstance // index 0: a replica that has always applied the whole log
	epochs     uint64
	now        int64
	starts     [4]int // by firing number, of all processes
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
	if limits.atMostOnce {
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

// modelKey encodes everything that distinguishes two states of the model.
type modelKey []byte

func (b *modelKey) appendNumbers(list ...uint64) {
	for _, n := range list {
		*b = binary.AppendUvarint(*b, n)
	}
}

func (b *modelKey) appendFlags(list ...bool) {
	for _, x := range list {
		if x {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}

func (b *modelKey) appendCommand(c Command) {
	b.appendNumbers(uint64(c.Kind), c.Session.Member, c.Session.Epoch, uint64(c.ClusterTime-modelStart),
		uint64(len(c.Occurrences)))
	for _, a := range c.Advances {
		b.appendNumbers(a.FromVersion)
	}
	b.appendNumbers(c.Numbers...)
}

func (b *modelKey) appendInstance(n *modelInstance, logLength int) {
	b.appendNumbers(uint64(logLength-n.applied), n.epoch)
	b.appendNumbers(n.sessions[:]...)
	b.appendFlags(n.lease)
	b.appendFlags(n.started[:]...)
	b.appendFlags(n.finished[:]...)
	b.appendNumbers(uint64(len(n.state.open)))
	for number := range uint64(5) {
		if f := n.state.open[number]; f != nil {
			b.appendNumbers(number, f.Session.Member, f.Session.Epoch)
			b.appendFlags(f.Orphaned, f.Redelivered)
		}
	}
	x := n.state.Shards[modelShard]
	b.appendNumbers(x.Version, uint64(max(x.Watermark-modelStart, 0)))
}

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	b := make(modelKey, 0, 512)
	b.appendNumbers(uint64(m.now-modelStart), uint64(m.counts.crashes), uint64(m.counts.opens),
		uint64(m.counts.expiries), uint64(m.counts.duplicates), uint64(m.counts.commands), m.epochs)
	for _, n := range m.starts {
		b.appendNumbers(uint64(n))
	}
	for k := range m.instances {
		b.appendInstance(&m.instances[k], len(m.log))
	}
	for _, c := range m.inFlight {
		b = append(b, '+')
		b.appendCommand(c)
	}
	for _, e := range m.log[min(m.instances[1].applied, m.instances[2].applied):] {
		b = append(b, '!')
		b.appendCommand(e.command)
		b.appendNumbers(e.opened.Member, e.opened.Epoch, e.ended.Member, e.ended.Epoch)
	}
	return maphash.Bytes(modelSeed, b)
}

// Violation implements modelcheck.State.
func (m *model) Violation() string { return m.violation }

func (m *model) appendEntry(e modelEntry) {
	m.log = append(m.log, e)
	m.apply(0)
}

// apply applies the next log entry at an instance.
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

// audit checks the events that the replica at index 0 has recorded.
func (m *model) audit(events []Event) {
	for _, e := range events {
		if e.Kind == EventIntended {
			if m.intents[e.Key]++; m.intents[e.Key] > 1 {
				m.violation = e.Key + " was intended twice"
			}
		}
		if e.Kind == EventFinished && e.Result == Succeeded && m.starts[e.Number] == 0 {
			m.violation = e.Key + " has succeeded but was never started"
		}
	}
}

// proposals returns the commands that an instance may propose according to its state.
func (m *model) proposals(k int) (out []Command) {
	n := &m.instances[k]
	session := Session{Member: uint64(k), Epoch: n.epoch}
	firings := n.state.OpenFirings()
	if owner, ok := n.state.Owner(modelShard); ok && owner == session {
		if c := m.intendCommand(n.state, session); len(c.Occurrences) > 0 {
			out = append(out, c)
		}
		result := Succeeded
		if m.limits.atMostOnce {
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

// intendCommand returns the command that intends all due occurrences, according to a state.
func (m *model) intendCommand(s *State, session Session) Command {
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

// add adds a transition to the state that results from applying a change to a clone of m.
func (x *modelTransitions) add(m *model, event string, change func(*model)) {
	c := m.clone()
	change(c)
	*x = append(*x, modelcheck.Transition[*model]{Event: event, State: c})
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	var out modelTransitions
	if m.now < modelStart+60*m.limits.minutes {
		out.add(m, "time advances by a minute", func(c *model) { c.now += 60 })
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
		if m.counts.duplicates < m.limits.duplicates {
			out.add(m, "a command is appended and remains in flight", func(c *model) {
				c.counts.duplicates++
				c.appendEntry(modelEntry{command: command})
			})
		}
	}
	return out
}

// addSessionTransitions adds what may happen to an instance's process, session and lease.
func (m *model) addSessionTransitions(out *modelTransitions, k int) {
	n := &m.instances[k]
	session := m.instances[0].sessions[k] // according to the whole log
	caughtUp := n.applied == len(m.log)
	if !caughtUp {
		out.add(m, fmt.Sprint(k, " applies an entry"), func(c *model) { c.apply(k) })
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
	// A process that has no session, or whose session has ended, gets a new one.
	if (n.epoch == 0 || session != n.epoch) && caughtUp && m.counts.opens < m.limits.opens {
		out.add(m, fmt.Sprint(k, " gets a session"), func(c *model) {
			c.counts.opens++
			c.epochs++
			c.instances[k].epoch = c.epochs
			c.appendEntry(modelEntry{opened: Session{Member: uint64(k), Epoch: c.epochs}})
		})
	}
}

// addJobTransitions adds the starts and ends of jobs at an instance.
func (m *model) addJobTransitions(out *modelTransitions, k int) {
	n := &m.instances[k]
	for _, f := range n.state.OpenFirings() {
		ownsFiring := f.Session == (Session{Member: uint64(k), Epoch: n.epoch}) && !f.Orphaned
		if ownsFiring && !n.started[f.Number] && (n.lease || m.limits.startsWithoutLease) {
			out.add(m, fmt.Sprint(k, " starts ", f.Number), func(c *model) {
				c.instances[k].started[f.Number] = true
				if c.starts[f.Number]++; c.limits.atMostOnce && c.starts[f.Number] > 1 {
					c.violation = "a job that may not be sent again was started twice"
				}
				if c.starts[f.Number] > 1 && !f.Redelivered {
					c.violation = "a job was started twice, and its firing was not adopted in between"
				}
			})
		}
		if n.started[f.Number] && !n.finished[f.Number] {
			out.add(m, fmt.Sprint(k, " finishes ", f.Number),
				func(c *model) { c.instances[k].finished[f.Number] = true })
		}
	}
}

var maxStates = flag.Int64("states", 15_000, "maximum number of states that the model checker visits")

// In no order of events is an occurrence intended twice, a job started twice that may not be sent again, or a
// job started again without the adoption of its firing.
func TestNoOrderOfEventsFiresTwice(t *testing.T) {
	for _, limits := range []modelLimits{
		{minutes: 1, modelCounts: modelCounts{crashes: 1, opens: 1, expiries: 1, commands: 3},
			atMostOnce: true},
		{minutes: 1, modelCounts: modelCounts{crashes: 1, opens: 1, expiries: 1, commands: 3}},
		{minutes: 1, modelCounts: modelCounts{opens: 1, expiries: 1, duplicates: 1, commands: 3},
			atMostOnce: true},
		{minutes: 2, modelCounts: modelCounts{expiries: 1, commands: 4}, atMostOnce: true},
	} {
		r := modelcheck.Check(newModel(t, limits), *maxStates)
		t.Logf("%+v: %d states, complete %v", limits, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s:\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}

// If jobs may be started without a lease, the model checker finds a job that two sessions start.
func TestModelCheckerFindsAStartWithoutLease(t *testing.T) {
	limits := modelLimits{minutes: 1, modelCounts: modelCounts{expiries: 1, commands: 3},
		startsWithoutLease: true}
	r := modelcheck.Check(newModel(t, limits), *maxStates)
	if r.Violation == "" {
		t.Errorf("no violation was found in %d states, complete %v", r.States, r.Complete)
	}
	t.Logf("%s, after %d events", r.Violation, len(r.Trace))
}
