package rollingrestart

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"slices"
	"time"

	"moorstack/internal/verify/modelcheck"
)

// The model has three voters and one or two controllers, of which the second takes itself for the task's
// holder as well. At any time a controller evaluates, and its note is committed later or never; an instance
// reads the plan, however late, and exits or stays; one that is down is started, or its session expires; one
// dies by itself; an operator stops, resumes or undoes the restart.
type model struct {
	remaining       limits
	plan            Plan   // the newest of the committed ones
	notes           []Plan // all that were committed, by note revision
	noteRevision    int
	instances       [3]modelInstance
	controllers     [2]modelController
	lastIncarnation uint64
	violation       string
}

// limits bound the model's events.
type limits struct{ controllers, evaluations, deaths, operations int }

type modelInstance struct {
	Incarnation, Session uint64 // Session is the incarnation that has the open session; 0: none
	Up                   bool
	Read                 int  // the note revision of the plan that it has read
	Restarting           bool // it exited by the plan, and is not back
	Exits                int  // by the plan
}

// modelController has a note in transit to the log.
type modelController struct {
	noting       bool
	noteRevision int // that the note replaces
	plan         Plan
}

var keySeed = maphash.MakeSeed()

// Violation implements modelcheck.State.
func (m *model) Violation() string { return m.violation }

// Key implements modelcheck.State.
func (m *model) Key() uint64 {
	plan, _ := json.Marshal(m.plan)
	text := fmt.Sprint(m.remaining, string(plan), m.noteRevision, m.instances, m.lastIncarnation)
	// Of older plans, those matter that an instance has yet to read.
	read := m.noteRevision
	for _, x := range m.instances {
		read = min(read, x.Read)
	}
	for _, p := range m.notes[read:] {
		steps, _ := json.Marshal(p.Steps)
		text += string(steps)
	}
	for _, c := range m.controllers {
		if c.noting {
			plan, _ := json.Marshal(c.plan)
			text += fmt.Sprint(c.noteRevision, string(plan))
		}
		text += ";"
	}
	return maphash.String(keySeed, text)
}

// statuses are the instances as a controller observes them.
func (m *model) statuses() (list []InstanceStatus) {
	for k, x := range m.instances {
		list = append(list, InstanceStatus{Member: uint64(k + 1), Name: fmt.Sprint("n", k+1), Voter: true,
			Incarnation: x.Session, Healthy: x.Up && x.Session == x.Incarnation, Reason: "down",
			RestartLast: k == 0})
	}
	return list
}

type transitions []modelcheck.Transition[*model]

// add adds the transition by an event, unless the count of such events that remain is 0.
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
		if m.controllers[k].noting {
			m.addNoteOutcomes(&t, k)
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

// addEvaluations adds what a controller may note: one that has waited for as long as the timeout, and one
// that has not waited at all.
func (m *model) addEvaluations(t *transitions, k int) {
	for _, waited := range []bool{true, false} {
		c := NewController()
		if c.wasRolling = true; !waited {
			c.Reconcile(0, m.plan, m.statuses())
		}
		p, changed := c.Reconcile(time.Hour, m.plan, m.statuses())
		if !changed {
			continue
		}
		event := fmt.Sprintf("controller %d notes: %s", k, p.Progress())
		t.add(m, event, m.remaining.evaluations, func(next *model) {
			next.remaining.evaluations--
			next.controllers[k] = modelController{true, m.noteRevision, p}
		})
	}
}

// addNoteOutcomes adds that a controller's note is committed, or lost.
func (m *model) addNoteOutcomes(t *transitions, k int) {
	note := m.controllers[k]
	t.add(m, fmt.Sprintf("the note of %d is committed", k), 1, func(next *model) {
		if next.controllers[k].noting = false; note.noteRevision == next.noteRevision {
			next.commit(note.plan)
		}
	})
	t.add(m, fmt.Sprintf("the note of %d is lost", k), 1, func(next *model) {
		next.controllers[k].noting = false
	})
}

func (m *model) addInstanceEvents(t *transitions, k int) {
	x, name := m.instances[k], fmt.Sprint("n", k+1)
	if !x.Up {
		t.add(m, name+" is started", 1, func(next *model) {
			next.lastIncarnation++
			// From its own disk it knows the plan that it had read.
			next.instances[k] = modelInstance{Incarnation: next.lastIncarnation,
				Session: next.lastIncarnation, Up: true, Exits: x.Exits, Read: x.Read}
		})
		t.add(m, name+"'s session expires", int(min(x.Session, 1)), func(next *model) {
			next.instances[k].Session = 0
		})
		return
	}
	// One that lags reads the next plan, and not yet the one after it.
	if x.Read < m.noteRevision {
		t.add(m, name+" reads the next plan", 1, func(next *model) { next.readPlan(k) })
	}
	t.add(m, name+" dies", m.remaining.deaths, func(next *model) {
		next.remaining.deaths--
		next.instances[k].Up = false
	})
}

func (m *model) readPlan(k int) {
	x := &m.instances[k]
	if x.Read++; m.notes[x.Read].MustRestart(uint64(k+1), x.Incarnation) {
		x.Up, x.Restarting, x.Exits = false, true, x.Exits+1
	}
}

func (m *model) commit(p Plan) {
	m.notes = append(slices.Clip(m.notes), p)
	m.plan, m.noteRevision = p, m.noteRevision+1
}

// check records what is wrong in this state.
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
			m.violation = fmt.Sprintf("done, and n%d is the process that it was", k+1)
		}
	}
	if restarting > m.plan.MaxUnavailable || m.plan.count(Restarting) > m.plan.MaxUnavailable {
		m.violation = fmt.Sprintf("%d are out, and %d to go", restarting, m.plan.count(Restarting))
	}
	if done && m.plan.count(Restarted) < len(m.instances) {
		m.violation = "done, and not all are back: " + m.plan.Progress()
	}
}
