// Package duty has some work be done by one instance of a group at a time.
//
// A duty is held by an instance's session (package rollout) and has a number that only grows: the
// fencing number. It is three parts without I/O, clock or goroutine. State is part of what a group
// agrees on: who holds what, under which number, and a note of where the work stands. Leader judges,
// at the instance that leads, who is to hold what. Holder is an instance's own side: whether it may
// act now, and under which number.
//
// The promises: no two hold a duty at the same time, by their own lights; and a receiver that has
// seen a number refuses every earlier one (Fence), so that what a holder sent before it stood still
// does nothing when it arrives.
package leasedtask

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Bounds of what is agreed on.
const (
	MaxNote    = 4096 // bytes of a note
	MaxHistory = 20   // holdings that are remembered of each duty
	MaxDuties  = 128
)

// Seat is an instance's session: its member number and the session's epoch.
type Seat struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// Holding is that an instance held a duty.
type Holding struct {
	Number uint64 `json:"number"`
	Name   string `json:"name"`
	AtMS   int64  `json:"at_ms,omitempty"` // told to people, used for nothing
	EndMS  int64  `json:"end_ms,omitempty"`
	End    string `json:"end,omitempty"` // how it ended; empty: it has not
}

// Duty is a piece of work that one instance does at a time.
type Duty struct {
	Name string `json:"name"`
	// Holder is whose it is; the zero Seat: nobody's.
	Holder Seat   `json:"holder"`
	Of     string `json:"of,omitempty"` // the holder's name
	// Number is that of the newest holding. It only grows.
	Number uint64 `json:"number,omitempty"`
	Note   []byte `json:"note,omitempty"`
	// Turn counts the notes.
	Turn uint64 `json:"turn,omitempty"`
	// Leaving: the holder is asked to end its step and give it back.
	Leaving string `json:"leaving,omitempty"` // why; empty: it is not
	To      uint64 `json:"to,omitempty"`      // the member who is to have it next, by an operator's wish
	Paused  string `json:"paused,omitempty"`  // by whom; empty: it is not
	// Resting: a member that has failed at it, and under which number. Others come first.
	Resting map[uint64]uint64 `json:"resting,omitempty"`
	History []Holding         `json:"history,omitempty"` // oldest first
}

// Held says whether anybody holds it.
func (d *Duty) Held() bool { return d.Holder != Seat{} }

// State is the agreed part.
type State struct {
	Duties map[string]*Duty
	// Number is the newest fencing number of all duties.
	Number uint64
}

// NewState is the state of a group without duties, whose numbers begin after the given one.
func NewState(after uint64) *State { return &State{Duties: map[string]*Duty{}, Number: after} }

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	None    Kind = iota
	Declare      // the duties of Names are there, and no others
	Assign       // Seat holds it from here on, under a new number
	Release      // the holder gives it back, with its last note
	Vacate       // the holder's lease has surely run out
	Note         // the holder's word on where its work stands
	HandOn       // an operator's wish, or its own: the holder is to give it back, to To if that is named
	Pause        // nobody is to hold it
	Resume
)

func (k Kind) String() string {
	return [...]string{"none", "declare", "assign", "release", "vacate", "note", "hand on", "pause",
		"resume"}[min(int(k), 8)]
}

// Judged says whether a command is the leader's judgement: void in another leader's log.
func (k Kind) Judged() bool { return k == Declare || k == Assign || k == Vacate }

// Command is a step in the agreed log.
type Command struct {
	Kind   Kind
	ID     string // an operator's, to be answered
	Term   uint64 // of the leader that judged
	Duty   string
	Names  []string
	Seat   Seat
	Name   string // of the seat's instance, or of who says it
	Number uint64
	Note   []byte
	Turn   uint64 // with Note: of the note that it takes the place of
	To     uint64
	Failed bool // with Release: it has failed at it, and rests
	Reason string
	AtMS   int64
}

// Apply applies a command, or says why it does nothing. seated says whether a session is open.
func (s *State) Apply(c Command, seated func(Seat) bool) error {
	if c.Kind == Declare {
		s.declare(c)
		return nil
	}
	d := s.Duties[c.Duty]
	if d == nil {
		return fmt.Errorf("there is no duty %q; %s", c.Duty, s.names())
	}
	held := func() error {
		if !d.Held() || d.Number != c.Number {
			// Hazard: a word under an old number is the word of one that stood still.
			return fmt.Errorf("%s is held under the number %d, not %d", d.Name, d.Number, c.Number)
		}
		return nil
	}
	switch c.Kind {
	case Assign:
		switch {
		case d.Held():
			return fmt.Errorf("%s is held by %s", d.Name, d.Of)
		case d.Paused != "":
			return fmt.Errorf("%s is paused by %s", d.Name, d.Paused)
		case !seated(c.Seat):
			// Hazard: its session may have ended between the leader's look and this entry.
			return fmt.Errorf("%s has no session that is open", c.Name)
		case c.Number != d.Number:
			return fmt.Errorf("%s has had another holder since", d.Name)
		}
		s.Number++
		d.Number, d.Holder, d.Of, d.Leaving, d.To = s.Number, c.Seat, c.Name, "", 0
		d.History = append(d.History, Holding{Number: s.Number, Name: c.Name, AtMS: c.AtMS})
		if n := len(d.History) - MaxHistory; n > 0 {
			d.History = slices.Delete(d.History, 0, n)
		}
	case Release:
		if err := held(); err != nil {
			return err
		}
		if len(c.Note) > MaxNote {
			return fmt.Errorf("a note may have %d bytes, this has %d", MaxNote, len(c.Note))
		}
		if c.Note != nil {
			d.Note, d.Turn = c.Note, d.Turn+1
		}
		if c.Failed {
			if d.Resting == nil {
				d.Resting = map[uint64]uint64{}
			}
			d.Resting[d.Holder.Member] = d.Number
		} else if len(d.Resting) > 0 {
			delete(d.Resting, d.Holder.Member)
		}
		s.end(d, c.Reason, c.AtMS)
	case Vacate:
		if err := held(); err != nil {
			return err
		}
		s.end(d, c.Reason, c.AtMS)
	case Note:
		if err := held(); err != nil {
			return err
		}
		if len(c.Note) > MaxNote {
			return fmt.Errorf("a note may have %d bytes, this has %d", MaxNote, len(c.Note))
		}
		// Hazard: a word that got no answer is put into the log again, and may stand there twice, with a
		// later one between the two.
		if c.Turn != d.Turn {
			return fmt.Errorf("the note of %s has changed since", d.Name)
		}
		d.Note, d.Turn = c.Note, d.Turn+1
	case HandOn:
		if d.Paused != "" {
			return fmt.Errorf("%s is paused by %s; resume it first", d.Name, d.Paused)
		}
		if !d.Held() && c.To == 0 {
			return fmt.Errorf("nobody holds %s", d.Name)
		}
		if c.Number > 0 && c.Number != d.Number {
			return fmt.Errorf("%s has had another holder since", d.Name)
		}
		if d.To = c.To; d.Held() {
			d.Leaving = c.Reason
		}
	case Pause:
		if d.Paused != "" {
			return fmt.Errorf("%s is paused by %s already", d.Name, d.Paused)
		}
		if d.Paused = c.Name; d.Held() {
			d.Leaving = "paused by " + c.Name
		}
	case Resume:
		if d.Paused == "" {
			return fmt.Errorf("%s is not paused", d.Name)
		}
		// One that has been told to leave leaves all the same: it may have begun to.
		d.Paused = ""
	default:
		return fmt.Errorf("a command of the kind %d is not known", c.Kind)
	}
	return nil
}

// end has nobody hold a duty.
func (s *State) end(d *Duty, why string, at int64) {
	if n := len(d.History); n > 0 {
		d.History[n-1].End, d.History[n-1].EndMS = why, at
	}
	d.Holder, d.Of, d.Leaving = Seat{}, "", ""
}

// declare sets which duties there are. One that is there no more and is held has to be given
// back first; its number is kept for as long as it is known.
func (s *State) declare(c Command) {
	for _, name := range c.Names {
		if s.Duties[name] == nil && len(s.Duties) < MaxDuties {
			// Hazard: were it to begin at 0, one that went and came again would reuse numbers. It begins
			// with the newest of all.
			s.Duties[name] = &Duty{Name: name, Number: s.Number}
		}
	}
	for name, d := range s.Duties {
		if slices.Contains(c.Names, name) {
			continue
		}
		if d.Held() {
			d.Leaving = "the configuration has it no more"
			continue
		}
		delete(s.Duties, name)
	}
}

// Vacated ends all holdings of a session that has surely ended.
func (s *State) Vacated(gone func(Seat) bool, why string, at int64) {
	for _, d := range s.Duties {
		if d.Held() && gone(d.Holder) {
			s.end(d, why, at)
		}
	}
}

// List gives the duties by name.
func (s *State) List() []*Duty {
	list := make([]*Duty, 0, len(s.Duties))
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		list = append(list, s.Duties[name])
	}
	return list
}

func (s *State) names() string {
	if len(s.Duties) == 0 {
		return "the configuration has none"
	}
	return strings.Join(slices.Sorted(maps.Keys(s.Duties)), ", ") + " are"
}

// Fence is a receiver's memory of the newest number of each duty. What comes under an earlier one
// was sent by an instance that holds the duty no more.
type Fence struct{ newest map[string]uint64 }

// StaleError is that an effect came under an old number.
type StaleError struct {
	Duty         string
	Number, Seen uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("%s: number %d is old, %d has acted here: the sender holds the duty no more", e.Duty,
		e.Number, e.Seen)
}

// NewFence begins with what a receiver has kept.
func NewFence(newest map[string]uint64) *Fence {
	f := &Fence{newest: map[string]uint64{}}
	maps.Copy(f.newest, newest)
	return f
}

// Admit says whether an effect may be carried out, and remembers its number.
func (f *Fence) Admit(duty string, number uint64) error {
	if seen := f.newest[duty]; number < seen || number == 0 {
		return &StaleError{duty, number, seen}
	}
	f.newest[duty] = number
	return nil
}

// Newest is what must be kept for the next life of a receiver.
func (f *Fence) Newest() map[string]uint64 { return maps.Clone(f.newest) }
