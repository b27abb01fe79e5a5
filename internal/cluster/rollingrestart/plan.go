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

// MaxPlanBytes is how long a plan may be, in bytes: that of a duty's note.
const MaxPlanBytes = 4096

// Phase is how far an instance is.
type Phase uint8

// The phases of an instance.
const (
	Waiting    Phase = iota
	Restarting       // its process is to go, and another to come
	Restarted        // another process is there, and well
	Removed          // it belongs to the group no more
	Skipped          // it stays as it is: an undo came before it
)

func (p Phase) String() string {
	return [...]string{"waits", "out", "back", "no member any more", "left as it is"}[min(int(p), 4)]
}

// Step is an instance of a plan.
type Step struct {
	Member       uint64 `json:"m"`
	Name         string `json:"n"`
	Zone         string `json:"z,omitempty"`
	Phase        Phase  `json:"p,omitempty"`
	Incarnation  uint64 `json:"l,omitempty"` // of the process that is to go
	RestartAgain bool   `json:"a,omitempty"` // once it is back it is to be taken out again: undone meanwhile
}

// Status is how a plan stands.
type Status string

// The standings of a plan.
const (
	Rolling Status = "rolling"
	Stopped Status = "stopped" // an operator's wish: nobody else is taken out
	Halted  Status = "halted"  // something is in the way
	Done    Status = "done"
)

// Plan is a rolling restart. The zero Plan is none.
type Plan struct {
	Author          string        `json:"by,omitempty"`
	MaxUnavailable  int           `json:"out"`             // at the most, at once
	Timeout         time.Duration `json:"within"`          // in which an instance that is out has to be back
	AllowLastInZone bool          `json:"alone,omitempty"` // also the only instance of a zone
	Undo            bool          `json:"undo,omitempty"`
	Status          Status        `json:"standing,omitempty"`
	HaltReason      string        `json:"why,omitempty"` // it is halted
	Steps           []Step        `json:"steps,omitempty"`
}

// DecodePlan reads a note; an empty one is no plan.
func DecodePlan(note []byte) (p Plan, err error) {
	if len(note) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(note, &p); err != nil {
		return p, fmt.Errorf("the plan of the rolling restart can't be read: %w", err)
	}
	return p, nil
}

// Encode is what is to be noted.
func (p Plan) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	if err == nil && len(b) > MaxPlanBytes {
		err = fmt.Errorf("a plan of %d instances has %d bytes, and a note may have %d: name fewer of them",
			len(p.Steps), len(b), MaxPlanBytes)
	}
	return b, err
}

// Active says whether there is anything to be done yet.
func (p Plan) Active() bool { return p.Status != "" && p.Status != Done }

// MustRestart says whether a process is to go: it is the life that an instance's step is for.
func (p Plan) MustRestart(member, life uint64) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Member == member && s.Phase == Restarting && s.Incarnation == life && life != 0
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
	if p.Status == "" {
		return "nothing is under way"
	}
	text := string(p.Status)
	if p.Undo {
		text += " (undo)"
	}
	text += fmt.Sprintf(
		": %d back, %d out, %d to go",
		p.count(Restarted),
		p.count(Restarting),
		p.count(Waiting),
	)
	if p.HaltReason != "" {
		text += "; " + p.HaltReason
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

// Options is what an operator wants.
type Options struct {
	Author          string
	MaxUnavailable  int
	Timeout         time.Duration
	AllowLastInZone bool
	Instances       []string // names; none: all
}

// Start begins a plan, or says why it can't be kept.
func Start(now Plan, w Options, members []Member) (Plan, error) {
	if now.Active() && (now.Status != Stopped || now.count(Restarting) > 0) {
		return now, fmt.Errorf("a rolling restart by %s is %s; undo or finish that first", now.Author,
			now.Progress())
	}
	if w.MaxUnavailable < 1 {
		return now, fmt.Errorf("%d at once is none: 1 or more are wanted", w.MaxUnavailable)
	}
	if w.Timeout < time.Second || w.Timeout > 24*time.Hour {
		return now, fmt.Errorf("%v is not a time from 1s to 24h in which an instance has to be back",
			w.Timeout)
	}
	p := Plan{
		Author:          w.Author,
		MaxUnavailable:  w.MaxUnavailable,
		Timeout:         w.Timeout,
		AllowLastInZone: w.AllowLastInZone,
		Status:          Rolling,
	}
	voters, zones, names := 0, map[string][]string{}, []string{}
	for _, m := range members {
		if m.Voter {
			voters++
		}
		zones[m.Zone] = append(zones[m.Zone], m.Name)
		names = append(names, m.Name)
	}
	slices.Sort(names)
	for _, n := range w.Instances {
		if !slices.Contains(names, n) {
			return now, fmt.Errorf("the group has no instance %q; %s are", n, strings.Join(names, ", "))
		}
	}
	for _, m := range members {
		if len(w.Instances) > 0 && !slices.Contains(w.Instances, m.Name) {
			continue
		}
		if m.Voter && voters-1 < majority(voters) {
			return now, fmt.Errorf("without %s there is no majority of %d voters: add instances first",
				m.Name, voters)
		}
		if !w.AllowLastInZone && len(zones) > 1 && len(zones[m.Zone]) == 1 {
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
		long.Steps[i].Phase, long.Steps[i].Incarnation, long.Steps[i].RestartAgain = Restarting,
			math.MaxUint64, true
	}
	long.Undo, long.HaltReason = true, strings.Repeat("-", maxWhy)
	_, err := long.Encode()
	return p, err
}

func majority(voters int) int { return voters/2 + 1 }

// Stop has nobody else be taken out. Who is out is awaited.
func Stop(p Plan) (Plan, error) {
	if p.Status != Rolling && p.Status != Halted {
		return p, fmt.Errorf("nothing is to be stopped: %s", p.Progress())
	}
	p.Status, p.HaltReason = Stopped, ""
	return p, nil
}

// Resume goes on with what was stopped or is halted.
func Resume(p Plan) (Plan, error) {
	if p.Status != Stopped && p.Status != Halted {
		return p, fmt.Errorf("nothing is to be resumed: %s", p.Progress())
	}
	p.Status, p.HaltReason = Rolling, ""
	return p, nil
}

// Undo has those that were taken out go once more, the last first, so that whoever starts them can start
// the program that they had; the others stay as they are.
func Undo(p Plan) (Plan, error) {
	if p.Status == "" || p.Undo {
		return p, fmt.Errorf("nothing is to be undone: %s", p.Progress())
	}
	p.Undo, p.Status, p.HaltReason = true, Rolling, ""
	p.Steps = slices.Clone(p.Steps)
	slices.Reverse(p.Steps)
	for i := range p.Steps {
		switch s := &p.Steps[i]; s.Phase {
		case Waiting:
			s.Phase = Skipped
		case Restarting:
			s.RestartAgain = true // Hazard: whether it has gone yet nobody knows
		case Restarted:
			s.Phase, s.Incarnation = Waiting, 0
		}
	}
	return p, nil
}
