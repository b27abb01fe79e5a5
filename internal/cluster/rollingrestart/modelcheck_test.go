package rollingrestart

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/verify/modelcheck"
)

// The model: three instances with votes, and two conductors, of which the second holds the duty as well, as
// it seems to it. At any time a conductor looks, and what it would note is agreed on later, or never; an
// instance reads the plan, however late, and goes or stays; one that is down is started, or its session
// lapses; one dies by itself; an operator stops, resumes or undoes.
type model struct {
	left  limits
	plan  Plan // the newest of those that were noted
	notes []Plan
	turn  int
	nodes [3]instance
	minds [2]mind
	lives uint64
	wrong string
}

type limits struct{ minds, looks, deaths, wishes int }

type instance struct {
	Life, Session uint64
	Up            bool
	Read          int  // the turn of the plan that it knows
	Rolled        bool // it went by the plan, and is not back
	Goes          int  // how often
}

// mind is a conductor: what it would have noted, over the plan of a turn.
type mind struct {
	waits bool
	turn  int
	plan  Plan
}

var seed = maphash.MakeSeed()

func (m *model) Violation() string { return m.wrong }

func (m *model) Key() uint64 {
	b, _ := json.Marshal(m.plan)
	text := fmt.Sprint(m.left, string(b), m.turn, m.nodes, m.lives)
	// Of older plans counts what some instance has yet to read.
	read := m.turn
	for _, n := range m.nodes {
		read = min(read, n.Read)
	}
	for _, p := range m.notes[read:] {
		b, _ := json.Marshal(p.Steps)
		text += string(b)
	}
	for _, x := range m.minds {
		if x.waits {
			b, _ := json.Marshal(x.plan)
			text += fmt.Sprint(x.turn, string(b))
		}
		text += ";"
	}
	return maphash.String(seed, text)
}

func (m *model) seen() (list []InstanceStatus) {
	for k, n := range m.nodes {
		list = append(list, InstanceStatus{Member: uint64(k + 1), Name: fmt.Sprint("n", k+1), Voter: true,
			Incarnation: n.Session, Healthy: n.Up && n.Session == n.Life, Reason: "down",
			RestartLast: k == 0})
	}
	return list
}

func (m *model) Transitions() (steps []modelcheck.Transition[*model]) {
	event := func(what string, left int, do func(c *model)) {
		if left > 0 {
			c := *m
			do(&c)
			c.look()
			steps = append(steps, modelcheck.Transition[*model]{Event: what, State: &c})
		}
	}
	for k := range m.left.minds {
		x := m.minds[k]
		if !x.waits {
			// It has waited for as long as an instance has, or not at all.
			for _, patient := range []bool{true, false} {
				c := NewController()
				if c.rolling = true; !patient {
					c.Reconcile(0, m.plan, m.seen())
				}
				if p, changed := c.Reconcile(time.Hour, m.plan, m.seen()); changed {
					what := fmt.Sprint("conductor ", k, " looks: ", p.Progress())
					event(what, m.left.looks, func(c *model) {
						c.left.looks--
						c.minds[k] = mind{true, m.turn, p}
					})
				}
			}
			continue
		}
		event(fmt.Sprint("the note of ", k, " is in the log"), 1, func(c *model) {
			if c.minds[k].waits = false; x.turn == c.turn {
				c.note(x.plan)
			}
		})
		event(fmt.Sprint("the note of ", k, " is lost"), 1, func(c *model) { c.minds[k].waits = false })
	}
	for k, n := range m.nodes {
		name := fmt.Sprint("n", k+1)
		// One that lags reads the next plan, and not yet the one after it.
		if n.Up && n.Read < m.turn {
			event(name+" reads the next plan", 1, func(c *model) {
				x := &c.nodes[k]
				if x.Read++; c.notes[x.Read].MustRestart(uint64(k+1), x.Life) {
					x.Up, x.Rolled, x.Goes = false, true, x.Goes+1
				}
			})
		}
		if n.Up {
			event(name+" dies", m.left.deaths, func(c *model) { c.left.deaths--; c.nodes[k].Up = false })
		}
		if !n.Up {
			event(name+" is started", 1, func(c *model) {
				c.lives++
				// From its own disk it knows of the plan what it knew.
				c.nodes[k] = instance{Life: c.lives, Session: c.lives, Up: true, Goes: n.Goes, Read: n.Read}
			})
			event(name+"'s session lapses", int(min(n.Session, 1)), func(c *model) { c.nodes[k].Session = 0 })
		}
	}
	wishes := map[string]func(Plan) (Plan, error){"stop": Stop, "resume": Resume, "undo": Undo}
	for what, wish := range wishes {
		if p, err := wish(m.plan); err == nil {
			event(what, m.left.wishes, func(c *model) { c.left.wishes--; c.note(p) })
		}
	}
	return steps
}

func (m *model) note(p Plan) {
	m.notes = append(slices.Clip(m.notes), p)
	m.plan, m.turn = p, m.turn+1
}

// look says what is wrong.
func (m *model) look() {
	down := 0
	for k, n := range m.nodes {
		most := 1
		if m.plan.Undo {
			most = 2
		}
		if n.Rolled {
			down++
		}
		if n.Goes > most {
			m.wrong = fmt.Sprintf("n%d went %d times", k+1, n.Goes)
		}
		if m.plan.Status == Done && !m.plan.Undo && n.Life == uint64(k+1) {
			m.wrong = fmt.Sprintf("done, and n%d is the process that it was", k+1)
		}
	}
	if down > m.plan.MaxUnavailable || m.plan.count(Restarting) > m.plan.MaxUnavailable {
		m.wrong = fmt.Sprintf("%d are out, and %d to go", down, m.plan.count(Restarting))
	}
	if m.plan.Status == Done && !m.plan.Undo && m.plan.count(Restarted) < 3 {
		m.wrong = "done, and not all are back: " + m.plan.Progress()
	}
}

var states = flag.Int64("states", 200_000, "how many states of the model are visited")

// Whatever the order of events: no more than the stated number are out, none goes twice, and it is done when
// all are back.
func TestEveryOrder(t *testing.T) {
	for name, l := range map[string]limits{
		"a roll":                 {minds: 1, looks: 7},
		"a death":                {minds: 1, looks: 8, deaths: 1},
		"a wish":                 {minds: 1, looks: 8, wishes: 1},
		"two conduct":            {minds: 2, looks: 7},
		"a death and two wishes": {minds: 2, looks: 12, deaths: 1, wishes: 2},
	} {
		m := &model{left: l, lives: 3}
		var members []Member
		for k := range m.nodes {
			m.nodes[k] = instance{Life: uint64(k + 1), Session: uint64(k + 1), Up: true}
			members = append(members, Member{ID: uint64(k + 1), Name: fmt.Sprint("n", k+1), Voter: true})
		}
		var err error
		if m.plan, err = Start(Plan{}, Options{MaxUnavailable: 1, Timeout: time.Minute},
			members); err != nil {
			t.Fatal(err)
		}
		m.notes = []Plan{m.plan}
		r := modelcheck.Check(m, *states)
		t.Logf("%s: %d states, whole: %v", name, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s: %s:\n%s", name, r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}

// With nothing in the way it comes to its end, whoever leads last; with an instance that does not come back
// it halts and says why, and a resume goes on.
func TestARollOfFive(t *testing.T) {
	var members []Member
	var seen []InstanceStatus
	for k := range uint64(5) {
		name, zone := fmt.Sprint("n", k+1), fmt.Sprint("z", k%2)
		members = append(members, Member{k + 1, name, zone, true})
		seen = append(
			seen,
			InstanceStatus{
				Member:      k + 1,
				Name:        name,
				Zone:        zone,
				Voter:       true,
				Incarnation: k + 1,
				Healthy:     true,
				RestartLast: k == 0,
			},
		)
	}
	p, err := Start(Plan{}, Options{MaxUnavailable: 2, Timeout: time.Minute}, members)
	if err != nil {
		t.Fatal(err)
	}
	c, order := NewController(), []string{}
	for now := time.Duration(0); p.Status == Rolling; now += time.Second {
		p, _ = c.Reconcile(now, p, seen)
		if n := p.count(Restarting); n > 2 {
			t.Fatalf("%d are out", n)
		}
		for i, s := range p.Steps {
			k := slices.IndexFunc(seen, func(x InstanceStatus) bool { return x.Member == s.Member })
			switch x := &seen[k]; {
			case s.Phase == Restarting && x.Incarnation == s.Incarnation && s.Name != "n4":
				order = append(order, s.Name)
				x.Incarnation += 100
			case s.Phase == Restarting && s.Name == "n4":
				x.Healthy, x.Incarnation, x.Reason = false, 0, "it has no session"
				_ = i
			}
		}
	}
	if p.Status != Halted || p.HaltReason != "n4 is not back within 1m0s: it has no session" {
		t.Fatalf("it is %s", p.Progress())
	}
	if p, err = Resume(p); err != nil {
		t.Fatal(err)
	}
	if p, _ = c.Reconcile(30*time.Minute, p, seen); p.Status != Rolling {
		t.Fatalf("as soon as it goes on it is %s", p.Progress())
	}
	seen[3].Healthy, seen[3].Incarnation = true, 104
	for now := time.Hour; p.Status == Rolling && now < 2*time.Hour; now += time.Second {
		p, _ = c.Reconcile(now, p, seen)
		for k := range seen {
			if p.MustRestart(seen[k].Member, seen[k].Incarnation) {
				order = append(order, seen[k].Name)
				seen[k].Incarnation += 100
			}
		}
	}
	if p.Status != Done || order[len(order)-1] != "n1" || len(order) != 4 {
		t.Errorf("%s, in the order of %v", p.Progress(), order)
	}
}

// Who may be taken out, and why not, by what is seen of the others.
func TestWhoMayBeTakenOut(t *testing.T) {
	down := func(who ...int) func([]InstanceStatus) {
		return func(s []InstanceStatus) {
			for _, k := range who {
				s[k].Healthy, s[k].Incarnation, s[k].Reason = false, 0, "silent"
			}
		}
	}
	for name, x := range map[string]struct {
		out  int
		seen func(s []InstanceStatus) // of n1 to n5, in the zones a, a, b, b, b
		want string                   // who goes, or why nobody does
	}{
		"all are well":    {1, func([]InstanceStatus) {}, "n1"},
		"the leader last": {1, func(s []InstanceStatus) { s[0].RestartLast = true }, "n2"},
		"another is down": {1, down(4), "n5 is not well: silent"},
		"two may be out":  {2, down(4), "n1"},
		"two are down":    {2, down(3, 4), "n5 is not well: silent"},
		"its fronts hang": {1, func(s []InstanceStatus) { s[3].Healthy = false }, "n4"},
		"no majority":     {4, down(3, 4), "without n1 only 2 of 5 voters"},
		"one without a vote": {4, func(s []InstanceStatus) {
			down(3, 4)(s)
			s[0].Voter = false
		}, "n1"},
		"the last of its zone": {2, down(1), "n3"},
		"the lasts of zones": {3, func(s []InstanceStatus) {
			down(1, 3)(s)
			s[2].Zone, s[4].Zone, s[0].Voter = "c", "d", false
		}, "n1 is the last of zone a that is well"},
	} {
		var members []Member
		var seen []InstanceStatus
		for k := range uint64(5) {
			n, zone := fmt.Sprint("n", k+1), []string{"a", "a", "b", "b", "b"}[k]
			members = append(members, Member{k + 1, n, zone, true})
			seen = append(
				seen,
				InstanceStatus{Member: k + 1, Name: n, Zone: zone, Voter: true, Incarnation: k + 1,
					Healthy: true},
			)
		}
		p, err := Start(Plan{}, Options{MaxUnavailable: x.out, Timeout: time.Second}, members)
		if err != nil {
			t.Fatal(err)
		}
		x.seen(seen)
		c, got := NewController(), ""
		for now := time.Duration(0); got == "" && now < time.Minute; now += time.Second {
			p, _ = c.Reconcile(now, p, seen)
			for _, s := range p.Steps {
				if s.Phase == Restarting {
					got = s.Name
				}
			}
			got = cmp.Or(got, p.HaltReason)
		}
		for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
			if p, _ = c.Reconcile(now, p, seen); p.count(Restarting) > x.out {
				t.Errorf("%s: %d are out", name, p.count(Restarting))
			}
		}
		if !strings.HasPrefix(got, x.want) {
			t.Errorf("%s: %q, wanted was %q", name, got, x.want)
		}
	}
}

func TestWishesThatCanNotBeMet(t *testing.T) {
	three := []Member{{1, "n1", "a", true}, {2, "n2", "a", true}, {3, "n3", "b", true}}
	good := Options{MaxUnavailable: 1, Timeout: time.Minute, AllowLastInZone: true}
	under, err := Start(Plan{}, good, three)
	if err != nil {
		t.Fatal(err)
	}
	with := func(do func(*Options)) Options {
		w := good
		do(&w)
		return w
	}
	begin := func(do func(*Options)) func() (Plan, error) {
		return func() (Plan, error) { return Start(Plan{}, with(do), three) }
	}
	for want, try := range map[string]func() (Plan, error){
		"is the only instance of zone b": begin(func(w *Options) { w.AllowLastInZone = false }),
		"without n1 there is no majority of 2": func() (Plan, error) {
			return Start(Plan{}, good, three[:2])
		},
		`no instance "n9"; n1, n2, n3 are`:         begin(func(w *Options) { w.Instances = []string{"n9"} }),
		"0 at once is none":                        begin(func(w *Options) { w.MaxUnavailable = 0 }),
		"not a time from 1s to 24h":                begin(func(w *Options) { w.Timeout = 0 }),
		"is rolling: 0 back, 0 out, 3 to go":       func() (Plan, error) { return Start(under, good, three) },
		"nothing is to be resumed":                 func() (Plan, error) { return Resume(under) },
		"nothing is to be stopped: nothing is und": func() (Plan, error) { return Stop(Plan{}) },
		"nothing is to be undone":                  func() (Plan, error) { return Undo(Plan{}) },
	} {
		if _, err := try(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, wanted was %q", err, want)
		}
	}
	many := make([]Member, 200)
	for k := range many {
		many[k] = Member{uint64(k) << 50, fmt.Sprint("n", k), "a", true}
	}
	if _, err := Start(Plan{}, good, many); err == nil || !strings.Contains(err.Error(), "name fewer") {
		t.Errorf("a plan that no note holds: %v", err)
	}
}
