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
	MaxNoteBytes = 4096 // bytes of a note
	MaxHistory   = 20   // holdings that are remembered of each duty
	MaxTasks     = 128
)

// Session is an instance's session: its member number and the session's epoch.
type Session struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// LeaseRecord is that an instance held a duty.
type LeaseRecord struct {
	FencingToken uint64 `json:"number"`
	HolderName   string `json:"name"`
	AcquiredAtMS int64  `json:"at_ms,omitempty"` // told to people, used for nothing
	EndedAtMS    int64  `json:"end_ms,omitempty"`
	EndReason    string `json:"end,omitempty"` // how it ended; empty: it has not
}

// Task is a piece of work that one instance does at a time.
type Task struct {
	Name string `json:"name"`
	// Holder is whose it is; the zero Seat: nobody's.
	Holder     Session `json:"holder"`
	HolderName string  `json:"of,omitempty"` // the holder's name
	// FencingToken is that of the newest holding. It only grows.
	FencingToken uint64 `json:"number,omitempty"`
	Note         []byte `json:"note,omitempty"`
	// NoteRevision counts the notes.
	NoteRevision uint64 `json:"turn,omitempty"`
	// ReleaseReason: the holder is asked to end its step and give it back.
	ReleaseReason string `json:"leaving,omitempty"` // why; empty: it is not
	// the member who is to have it next, by an operator's wish
	TransferTo uint64 `json:"to,omitempty"`
	PausedBy   string `json:"paused,omitempty"` // by whom; empty: it is not
	// CoolingDown: a member that has failed at it, and under which number. Others come first.
	CoolingDown map[uint64]uint64 `json:"resting,omitempty"`
	History     []LeaseRecord     `json:"history,omitempty"` // oldest first
}

// IsHeld says whether anybody holds it.
func (d *Task) IsHeld() bool { return d.Holder != Session{} }

// State is the agreed part.
type State struct {
	Tasks map[string]*Task
	// LastFencingToken is the newest fencing number of all duties.
	LastFencingToken uint64
}

// NewState is the state of a group without duties, whose numbers begin after the given one.
func NewState(after uint64) *State { return &State{Tasks: map[string]*Task{}, LastFencingToken: after} }

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	None         Kind = iota
	DeclareTasks      // the duties of Names are there, and no others
	Assign            // Seat holds it from here on, under a new number
	Release           // the holder gives it back, with its last note
	Expire            // the holder's lease has surely run out
	UpdateNote        // the holder's word on where its work stands
	Transfer          // an operator's wish, or its own: the holder is to give it back, to To if that is named
	Pause             // nobody is to hold it
	Resume
)

func (k Kind) String() string {
	return [...]string{"none", "declare", "assign", "release", "vacate", "note", "hand on", "pause",
		"resume"}[min(int(k), 8)]
}

// LeaderDecision says whether a command is the leader's judgement: void in another leader's log.
func (k Kind) LeaderDecision() bool { return k == DeclareTasks || k == Assign || k == Expire }

// Command is a step in the agreed log.
type Command struct {
	Kind         Kind
	ID           string // an operator's, to be answered
	Term         uint64 // of the leader that judged
	Task         string
	Tasks        []string
	Session      Session
	Name         string // of the seat's instance, or of who says it
	FencingToken uint64
	Note         []byte
	NoteRevision uint64 // with Note: of the note that it takes the place of
	TransferTo   uint64
	Failed       bool // with Release: it has failed at it, and rests
	Reason       string
	AtMS         int64
}

// Apply applies a command, or says why it does nothing. seated says whether a session is open.
func (s *State) Apply(c Command, seated func(Session) bool) error {
	if c.Kind == DeclareTasks {
		s.declare(c)
		return nil
	}
	d := s.Tasks[c.Task]
	if d == nil {
		return fmt.Errorf("there is no duty %q; %s", c.Task, s.names())
	}
	held := func() error {
		if !d.IsHeld() || d.FencingToken != c.FencingToken {
			// Hazard: a word under an old number is the word of one that stood still.
			return fmt.Errorf(
				"%s is held under the number %d, not %d",
				d.Name,
				d.FencingToken,
				c.FencingToken,
			)
		}
		return nil
	}
	switch c.Kind {
	case Assign:
		switch {
		case d.IsHeld():
			return fmt.Errorf("%s is held by %s", d.Name, d.HolderName)
		case d.PausedBy != "":
			return fmt.Errorf("%s is paused by %s", d.Name, d.PausedBy)
		case !seated(c.Session):
			// Hazard: its session may have ended between the leader's look and this entry.
			return fmt.Errorf("%s has no session that is open", c.Name)
		case c.FencingToken != d.FencingToken:
			return fmt.Errorf("%s has had another holder since", d.Name)
		}
		s.LastFencingToken++
		d.FencingToken, d.Holder, d.HolderName, d.ReleaseReason, d.TransferTo = s.LastFencingToken,
			c.Session, c.Name, "", 0
		d.History = append(
			d.History,
			LeaseRecord{FencingToken: s.LastFencingToken, HolderName: c.Name, AcquiredAtMS: c.AtMS},
		)
		if n := len(d.History) - MaxHistory; n > 0 {
			d.History = slices.Delete(d.History, 0, n)
		}
	case Release:
		if err := held(); err != nil {
			return err
		}
		if len(c.Note) > MaxNoteBytes {
			return fmt.Errorf("a note may have %d bytes, this has %d", MaxNoteBytes, len(c.Note))
		}
		if c.Note != nil {
			d.Note, d.NoteRevision = c.Note, d.NoteRevision+1
		}
		if c.Failed {
			if d.CoolingDown == nil {
				d.CoolingDown = map[uint64]uint64{}
			}
			d.CoolingDown[d.Holder.Member] = d.FencingToken
		} else if len(d.CoolingDown) > 0 {
			delete(d.CoolingDown, d.Holder.Member)
		}
		s.end(d, c.Reason, c.AtMS)
	case Expire:
		if err := held(); err != nil {
			return err
		}
		s.end(d, c.Reason, c.AtMS)
	case UpdateNote:
		if err := held(); err != nil {
			return err
		}
		if len(c.Note) > MaxNoteBytes {
			return fmt.Errorf("a note may have %d bytes, this has %d", MaxNoteBytes, len(c.Note))
		}
		// Hazard: a word that got no answer is put into the log again, and may stand there twice, with a
		// later one between the two.
		if c.NoteRevision != d.NoteRevision {
			return fmt.Errorf("the note of %s has changed since", d.Name)
		}
		d.Note, d.NoteRevision = c.Note, d.NoteRevision+1
	case Transfer:
		if d.PausedBy != "" {
			return fmt.Errorf("%s is paused by %s; resume it first", d.Name, d.PausedBy)
		}
		if !d.IsHeld() && c.TransferTo == 0 {
			return fmt.Errorf("nobody holds %s", d.Name)
		}
		if c.FencingToken > 0 && c.FencingToken != d.FencingToken {
			return fmt.Errorf("%s has had another holder since", d.Name)
		}
		if d.TransferTo = c.TransferTo; d.IsHeld() {
			d.ReleaseReason = c.Reason
		}
	case Pause:
		if d.PausedBy != "" {
			return fmt.Errorf("%s is paused by %s already", d.Name, d.PausedBy)
		}
		if d.PausedBy = c.Name; d.IsHeld() {
			d.ReleaseReason = "paused by " + c.Name
		}
	case Resume:
		if d.PausedBy == "" {
			return fmt.Errorf("%s is not paused", d.Name)
		}
		// One that has been told to leave leaves all the same: it may have begun to.
		d.PausedBy = ""
	default:
		return fmt.Errorf("a command of the kind %d is not known", c.Kind)
	}
	return nil
}

// end has nobody hold a duty.
func (s *State) end(d *Task, why string, at int64) {
	if n := len(d.History); n > 0 {
		d.History[n-1].EndReason, d.History[n-1].EndedAtMS = why, at
	}
	d.Holder, d.HolderName, d.ReleaseReason = Session{}, "", ""
}

// declare sets which duties there are. One that is there no more and is held has to be given
// back first; its number is kept for as long as it is known.
func (s *State) declare(c Command) {
	for _, name := range c.Tasks {
		if s.Tasks[name] == nil && len(s.Tasks) < MaxTasks {
			// Hazard: were it to begin at 0, one that went and came again would reuse numbers. It begins
			// with the newest of all.
			s.Tasks[name] = &Task{Name: name, FencingToken: s.LastFencingToken}
		}
	}
	for name, d := range s.Tasks {
		if slices.Contains(c.Tasks, name) {
			continue
		}
		if d.IsHeld() {
			d.ReleaseReason = "the configuration has it no more"
			continue
		}
		delete(s.Tasks, name)
	}
}

// SessionsExpired ends all holdings of a session that has surely ended.
func (s *State) SessionsExpired(gone func(Session) bool, why string, at int64) {
	for _, d := range s.Tasks {
		if d.IsHeld() && gone(d.Holder) {
			s.end(d, why, at)
		}
	}
}

// List gives the duties by name.
func (s *State) List() []*Task {
	list := make([]*Task, 0, len(s.Tasks))
	for _, name := range slices.Sorted(maps.Keys(s.Tasks)) {
		list = append(list, s.Tasks[name])
	}
	return list
}

func (s *State) names() string {
	if len(s.Tasks) == 0 {
		return "the configuration has none"
	}
	return strings.Join(slices.Sorted(maps.Keys(s.Tasks)), ", ") + " are"
}

// Fence is a receiver's memory of the newest number of each duty. What comes under an earlier one
// was sent by an instance that holds the duty no more.
type Fence struct{ newest map[string]uint64 }

// StaleTokenError is that an effect came under an old number.
type StaleTokenError struct {
	Task               string
	Token, NewestToken uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("%s: number %d is old, %d has acted here: the sender holds the duty no more", e.Task,
		e.Token, e.NewestToken)
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
		return &StaleTokenError{duty, number, seen}
	}
	f.newest[duty] = number
	return nil
}

// NewestTokens is what must be kept for the next life of a receiver.
func (f *Fence) NewestTokens() map[string]uint64 { return maps.Clone(f.newest) }
