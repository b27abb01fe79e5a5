package rollingrestart

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"slices"
	"time"

	"moorstack/internal/verify/modelcheck"
)

// The model consists of three voters and one or two controllers; the second one also believes that it holds
// the task. At any time a controller evaluates the plan, and its note is committed later or never; an
// instance reads the plan, with any delay, and exits or continues; an instance that is down is started, or
// its session expires; an instance dies by itself; an operator stops, resumes or undoes the rolling restart.
type model struct {
	remaining       limits
	plan            Plan   // the newest committed plan
	committed       []Plan // all committed plans, by note revision
	noteRevision    int
	instances       [3]modelInstance
	controllers     [2]modelController
	lastIncarnation uint64
	violation       string
}

// limits bounds the model's controllers and events.
type limits struct{ controllers, evaluations, deaths, operations int }

type modelInstance struct {
	Incarnation, Session uint64 // Session is the incarnation that has the open session; 0: none
	Up                   bool
	ReadRevision         int  // note revision of the plan that it has read
	Restarting           bool // it exited because of the plan, and is not back
	Exits                int  // number of exits because of the plan
}

// modelController is a controller, possibly with a note in transit to the log.
type modelController struct {
	pending      bool // a note is in transit
	noteRevision int  // of the note to replace
	plan         Plan
}

var keySeed = maphash.MakeSeed()

// Violation implements modelcheck.State.
func (m *model) Violation() string { return m.violation }

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	plan, _ := json.Marshal(m.plan)
	text := fmt.Sprint(m.remaining, string(plan), m.noteRevision, m.instances, m.lastIncarnation)
	// Older plans matter only if an instance has yet to read them.
	read := m.noteRevision
	for _, x := range m.instances {
		read = min(read, x.ReadRevision)
	}
	for _, p := range m.committed[read:] {
		steps, _ := json.Marshal(p.Steps)
		text += string(steps)
	}
	for _, c := range m.controllers {
		if c.pending {
			plan, _ := json.Marshal(c.plan)
			text += fmt.Sprint(c.noteRevision, string(plan))
		}
		text += ";"
	}
	return maphash.String(keySeed, text)
}

// statuses returns the instances as a controller observes them.
func (m *model) statuses() (list []InstanceStatus) {
	for k, x := range m.instances {
		list = append(list, InstanceStatus{Member: uint64(k + 1), Name: fmt.Sprint("n", k+1), Voter: true,
			Incarnation: x.Session, Healthy: x.Up && x.Session == x.Incarnation, Reason: "down",
			RestartLast: k == 0})
	}
	return list
}

type transitions []modelcheck.Transition[*model]

// add adds the transition for an event, unless none of its kind remains.
func (t *transitions) add(m *model, event string, remaining int, apply func(next *model)) {
	if remaining > 0 {
		next := *m
		apply(&next)
		next.check()
		*t = append(*t, modelcheck.Transition[*model]{Event: event, State: &next})
	}
}

// Transitions implements modelcheck.State.
func (m *model) Transitions() []modelcheck.Transition[*model] {
	var t transitions
	for k := range m.remaining.controllers {
		if m.controllers[k].pending {
			m.addCommitOutcomes(&t, k)
		} else {
			m.addEvaluations(&t, k)
		}
	}
	for k := range m.instances {
		m.addInstanceEvents(&t, k)
	}
	operations := map[string]func(Plan) (Plan, error){"stop": Stop, "resume": Resume, "undo": Undo}
	for name, operate := range operations {
		if p, err := operate(m.plan); err == nil {
			t.add(m, name, m.remaining.operations, func(next *model) {
				next.remaining.operations--
				next.commit(p)
			})
		}
	}
	return t
}

// addEvaluations adds the notes that a controller may propose: one that has just been created, and one that
// has observed the same state for longer than the timeout.
func (m *model) addEvaluations(t *transitions, k int) {
	for _, fresh := range []bool{true, false} {
		c := NewController()
		if c.wasRolling = true; !fresh {
			c.Reconcile(0, m.plan, m.statuses())
		}
		p, changed := c.Reconcile(time.Hour, m.plan, m.statuses())
		if !changed {
			continue
		}
		event := fmt.Sprintf("controller %d proposes: %s", k, p.Progress())
		t.add(m, event, m.remaining.evaluations, func(next *model) {
			next.remaining.evaluations--
			next.controllers[k] = modelController{true, m.noteRevision, p}
		})
	}
}

// addCommitOutcomes adds the commit and the loss of a controller's note.
func (m *model) addCommitOutcomes(t *transitions, k int) {
	note := m.controllers[k]
	t.add(m, fmt.Sprintf("the note of controller %d is committed", k), 1, func(next *model) {
		if next.controllers[k].pending = false; note.noteRevision == next.noteRevision {
			next.commit(note.plan)
		}
	})
	t.add(m, fmt.Sprintf("the note of controller %d is lost", k), 1, func(next *model) {
		next.controllers[k].pending = false
	})
}

func (m *model) addInstanceEvents(t *transitions, k int) {
	x, name := m.instances[k], fmt.Sprint("n", k+1)
	if !x.Up {
		t.add(m, name+" is started", 1, func(next *model) {
			next.lastIncarnation++
			// Its disk still has the plan that it read before it went down.
			next.instances[k] = modelInstance{Incarnation: next.lastIncarnation,
				Session: next.lastIncarnation, Up: true, Exits: x.Exits, ReadRevision: x.ReadRevision}
		})
		t.add(m, name+"'s session expires", int(min(x.Session, 1)), func(next *model) {
			next.instances[k].Session = 0
		})
		return
	}
	// An instance that lags reads the plans one after another.
	if x.ReadRevision < m.noteRevision {
		t.add(m, name+" reads the next plan", 1, func(next *model) { next.readPlan(k) })
	}
	t.add(m, name+" dies", m.remaining.deaths, func(next *model) {
		next.remaining.deaths--
		next.instances[k].Up = false
	})
}

func (m *model) readPlan(k int) {
	x := &m.instances[k]
	if x.ReadRevision++; m.committed[x.ReadRevision].MustRestart(uint64(k+1), x.Incarnation) {
		x.Up, x.Restarting, x.Exits = false, true, x.Exits+1
	}
}

func (m *model) commit(p Plan) {
	m.committed = append(slices.Clip(m.committed), p)
	m.plan, m.noteRevision = p, m.noteRevision+1
}

// check records a violation if there is one in this state.
func (m *model) check() {
	restarting, maxExits := 0, 1
	if m.plan.Undo {
		maxExits = 2
	}
	done := m.plan.Status == Done && !m.plan.Undo
	for k, x := range m.instances {
		if x.Restarting {
			restarting++
		}
		if x.Exits > maxExits {
			m.violation = fmt.Sprintf("n%d exited %d times", k+1, x.Exits)
		}
		if done && x.Incarnation == uint64(k+1) {
			m.violation = fmt.Sprintf("the plan is done, but n%d has not been restarted", k+1)
		}
	}
	if restarting > m.plan.MaxUnavailable || m.plan.count(Restarting) > m.plan.MaxUnavailable {
		m.violation = fmt.Sprintf("more restarts at once than allowed: %d instances, %d steps of the plan",
			restarting, m.plan.count(Restarting))
	}
	if done && m.plan.count(Restarted) < len(m.instances) {
		m.violation = "the plan is done, but not all instances are back: " + m.plan.Progress()
	}
}
