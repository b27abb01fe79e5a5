// Package conduct takes the instances of a group out one after another: a rolling restart.
//
// A Plan says which instances are to be taken out and how far that has come. It is the note of a duty
// (package duty): whoever holds that is the conductor, and another goes on from the note where one is lost.
// An instance goes by the agreed note itself: it ends once it reads that its process is to go. So nothing is
// said to it that could come late, or from a conductor that is none any more.
//
// Hazard: a conductor that noted that an instance is to go can't know whether that has read it. So a step is
// for one life of the instance (the number that its process drew), and never taken back: an instance that
// reads of its step late goes late, and the life after it does not go again.
//
// The package is free of I/O, clocks and goroutines.
package rollingrestart

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// maxWhy is how much of a reason is kept.
const maxWhy = 200

// MaxNote is how long a plan may be, in bytes: that of a duty's note.
const MaxNote = 4096

// Phase is how far an instance is.
type Phase uint8

// The phases of an instance.
const (
	Waits Phase = iota
	Out         // its process is to go, and another to come
	Back        // another process is there, and well
	Gone        // it belongs to the group no more
	Left        // it stays as it is: an undo came before it
)

func (p Phase) String() string {
	return [...]string{"waits", "out", "back", "no member any more", "left as it is"}[min(int(p), 4)]
}

// Step is an instance of a plan.
type Step struct {
	Member uint64 `json:"m"`
	Name   string `json:"n"`
	Zone   string `json:"z,omitempty"`
	Phase  Phase  `json:"p,omitempty"`
	Life   uint64 `json:"l,omitempty"` // of the process that is to go
	Again  bool   `json:"a,omitempty"` // once it is back it is to be taken out again: undone meanwhile
}

// Standing is how a plan stands.
type Standing string

// The standings of a plan.
const (
	Rolling Standing = "rolling"
	Stopped Standing = "stopped" // an operator's wish: nobody else is taken out
	Halted  Standing = "halted"  // something is in the way
	Done    Standing = "done"
)

// Plan is a rolling restart. The zero Plan is none.
type Plan struct {
	By       string        `json:"by,omitempty"`
	Out      int           `json:"out"`             // at the most, at once
	Within   time.Duration `json:"within"`          // in which an instance that is out has to be back
	Alone    bool          `json:"alone,omitempty"` // also the only instance of a zone
	Undo     bool          `json:"undo,omitempty"`
	Standing Standing      `json:"standing,omitempty"`
	Why      string        `json:"why,omitempty"` // it is halted
	Steps    []Step        `json:"steps,omitempty"`
}

// Read reads a note; an empty one is no plan.
func Read(note []byte) (p Plan, err error) {
	if len(note) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(note, &p); err != nil {
		return p, fmt.Errorf("the plan of the rolling restart can't be read: %w", err)
	}
	return p, nil
}

// Note is what is to be noted.
func (p Plan) Note() ([]byte, error) {
	b, err := json.Marshal(p)
	if err == nil && len(b) > MaxNote {
		err = fmt.Errorf("a plan of %d instances has %d bytes, and a note may have %d: name fewer of them",
			len(p.Steps), len(b), MaxNote)
	}
	return b, err
}

// Under says whether there is anything to be done yet.
func (p Plan) Under() bool { return p.Standing != "" && p.Standing != Done }

// Go says whether a process is to go: it is the life that an instance's step is for.
func (p Plan) Go(member, life uint64) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Member == member && s.Phase == Out && s.Life == life && life != 0
	})
}

// count is how many instances are in a phase.
func (p Plan) count(phase Phase) (n int) {
	for _, s := range p.Steps {
		if s.Phase == phase {
			n++
		}
	}
	return n
}

// Progress is how far it has come, in words.
func (p Plan) Progress() string {
	if p.Standing == "" {
		return "nothing is under way"
	}
	text := string(p.Standing)
	if p.Undo {
		text += " (undo)"
	}
	text += fmt.Sprintf(": %d back, %d out, %d to go", p.count(Back), p.count(Out), p.count(Waits))
	if p.Why != "" {
		text += "; " + p.Why
	}
	return text
}

// Member is an instance as whoever begins a plan sees it.
type Member struct {
	ID    uint64
	Name  string
	Zone  string
	Voter bool
}

// Wish is what an operator wants.
type Wish struct {
	By     string
	Out    int
	Within time.Duration
	Alone  bool
	Only   []string // names; none: all
}

// Start begins a plan, or says why it can't be kept.
func Start(now Plan, w Wish, members []Member) (Plan, error) {
	if now.Under() && (now.Standing != Stopped || now.count(Out) > 0) {
		return now, fmt.Errorf("a rolling restart by %s is %s; undo or finish that first", now.By,
			now.Progress())
	}
	if w.Out < 1 {
		return now, fmt.Errorf("%d at once is none: 1 or more are wanted", w.Out)
	}
	if w.Within < time.Second || w.Within > 24*time.Hour {
		return now, fmt.Errorf("%v is not a time from 1s to 24h in which an instance has to be back",
			w.Within)
	}
	p := Plan{By: w.By, Out: w.Out, Within: w.Within, Alone: w.Alone, Standing: Rolling}
	voters, zones, names := 0, map[string][]string{}, []string{}
	for _, m := range members {
		if m.Voter {
			voters++
		}
		zones[m.Zone] = append(zones[m.Zone], m.Name)
		names = append(names, m.Name)
	}
	slices.Sort(names)
	for _, n := range w.Only {
		if !slices.Contains(names, n) {
			return now, fmt.Errorf("the group has no instance %q; %s are", n, strings.Join(names, ", "))
		}
	}
	for _, m := range members {
		if len(w.Only) > 0 && !slices.Contains(w.Only, m.Name) {
			continue
		}
		if m.Voter && voters-1 < majority(voters) {
			return now, fmt.Errorf("without %s there is no majority of %d voters: add instances first",
				m.Name, voters)
		}
		if !w.Alone && len(zones) > 1 && len(zones[m.Zone]) == 1 {
			return now, fmt.Errorf("%s is the only instance of zone %s: leave it out, or say that this may "+
				"be (--alone)", m.Name, m.Zone)
		}
		p.Steps = append(p.Steps, Step{Member: m.ID, Name: m.Name, Zone: m.Zone})
	}
	slices.SortFunc(p.Steps, func(a, b Step) int { return strings.Compare(a.Name, b.Name) })
	// Hazard: the plan grows on its way. What it may come to has to fit.
	long := p
	long.Steps = slices.Clone(p.Steps)
	for i := range long.Steps {
		long.Steps[i].Phase, long.Steps[i].Life, long.Steps[i].Again = Out, math.MaxUint64, true
	}
	long.Undo, long.Why = true, strings.Repeat("-", maxWhy)
	_, err := long.Note()
	return p, err
}

func majority(voters int) int { return voters/2 + 1 }

// Stop has nobody else be taken out. Who is out is awaited.
func Stop(p Plan) (Plan, error) {
	if p.Standing != Rolling && p.Standing != Halted {
		return p, fmt.Errorf("nothing is to be stopped: %s", p.Progress())
	}
	p.Standing, p.Why = Stopped, ""
	return p, nil
}

// Resume goes on with what was stopped or is halted.
func Resume(p Plan) (Plan, error) {
	if p.Standing != Stopped && p.Standing != Halted {
		return p, fmt.Errorf("nothing is to be resumed: %s", p.Progress())
	}
	p.Standing, p.Why = Rolling, ""
	return p, nil
}

// Undo has those that were taken out go once more, the last first, so that whoever starts them can start
// the program that they had; the others stay as they are.
func Undo(p Plan) (Plan, error) {
	if p.Standing == "" || p.Undo {
		return p, fmt.Errorf("nothing is to be undone: %s", p.Progress())
	}
	p.Undo, p.Standing, p.Why = true, Rolling, ""
	p.Steps = slices.Clone(p.Steps)
	slices.Reverse(p.Steps)
	for i := range p.Steps {
		switch s := &p.Steps[i]; s.Phase {
		case Waits:
			s.Phase = Left
		case Out:
			s.Again = true // Hazard: whether it has gone yet nobody knows
		case Back:
			s.Phase, s.Life = Waits, 0
		}
	}
	return p, nil
}
