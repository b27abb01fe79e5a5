package leasedtask

import (
	"fmt"
	"slices"
)

// Kind is the kind of a command. Its values are stored in the log.
type Kind uint8

// The kinds of command.
const (
	None         Kind = iota
	DeclareTasks      // from now on exactly the tasks of Command.Tasks exist
	Assign            // Session holds the task from now on, under a new fencing token
	Release           // the holder releases the task, with its last note if it has one
	Expire            // the holder's lease has certainly expired
	UpdateNote        // the holder or an operator replaces the note
	Transfer          // the holder must release the task, to TransferTo if that is set
	Pause             // no session may hold the task until Resume
	Resume
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"none", "declare", "assign", "release", "expire", "update note", "transfer", "pause",
		"resume"}[min(int(k), int(Resume))]
}

// LeaderDecision reports whether commands of this kind are decisions of the leader of a term. Such a command
// has no effect in the log of another leader.
func (k Kind) LeaderDecision() bool { return k == DeclareTasks || k == Assign || k == Expire }

// Command is an entry of the replicated log.
type Command struct {
	Kind         Kind
	ID           string // of the request that waits for the outcome; empty: none waits
	Term         uint64 // of the leader that decided; 0: not a leader's decision
	Task         string
	Tasks        []string // with DeclareTasks
	Session      Session  // with Assign
	Name         string   // of the session's instance, or of the operator
	FencingToken uint64   // the task's newest token, as the sender knows it
	Note         []byte   // nil: the note does not change
	NoteRevision uint64   // with UpdateNote: revision of the note to replace
	TransferTo   uint64   // with Transfer: the member that is to hold the task next; 0: any
	Failed       bool     // with Release: the holder failed, and is added to Task.CoolingDown
	Reason       string
	AtMS         int64 // wall-clock time in Unix milliseconds, for the history
}

// Apply applies a command, or returns why it has no effect. The function isOpen reports whether a session is
// open.
//
// Every instance must compute the same state, including instances that run an older program. The outcome of
// an operator's command is part of the state, with its error text, so texts that are returned or stored here
// must not change.
func (s *State) Apply(c Command, isOpen func(Session) bool) error {
	if c.Kind == DeclareTasks {
		s.applyDeclare(c)
		return nil
	}
	t := s.Tasks[c.Task]
	if t == nil {
		return fmt.Errorf("there is no duty %q; %s", c.Task, s.knownTasks())
	}
	switch c.Kind {
	case Assign:
		return s.applyAssign(t, c, isOpen)
	case Release:
		return t.applyRelease(c)
	case Expire:
		return t.applyExpire(c)
	case UpdateNote:
		return t.applyUpdateNote(c)
	case Transfer:
		return t.applyTransfer(c)
	case Pause:
		return t.applyPause(c)
	case Resume:
		return t.applyResume()
	default:
		return fmt.Errorf("a command of the kind %d is not known", c.Kind)
	}
}

// applyDeclare sets which tasks exist. A task that is no longer declared is deleted. While such a task is
// held it is kept, with its fencing token, and its holder is asked to release it first.
func (s *State) applyDeclare(c Command) {
	for _, name := range c.Tasks {
		if s.Tasks[name] == nil && len(s.Tasks) < maxTasks {
			// The task starts with the newest token of all tasks: if it started at 0, a task that is
			// removed and declared again would reuse fencing tokens.
			s.Tasks[name] = &Task{Name: name, FencingToken: s.LastFencingToken}
		}
	}
	for name, t := range s.Tasks {
		if slices.Contains(c.Tasks, name) {
			continue
		}
		if t.IsHeld() {
			t.ReleaseReason = "the configuration has it no more"
			continue
		}
		delete(s.Tasks, name)
	}
}

func (s *State) applyAssign(t *Task, c Command, isOpen func(Session) bool) error {
	switch {
	case t.IsHeld():
		return fmt.Errorf("%s is held by %s", t.Name, t.HolderName)
	case t.PausedBy != "":
		return fmt.Errorf("%s is paused by %s", t.Name, t.PausedBy)
	case !isOpen(c.Session):
		// The session may have ended between the leader's decision and this entry.
		return fmt.Errorf("%s has no session that is open", c.Name)
	case c.FencingToken != t.FencingToken:
		return fmt.Errorf("%s has had another holder since", t.Name)
	}
	s.LastFencingToken++
	t.FencingToken, t.Holder, t.HolderName = s.LastFencingToken, c.Session, c.Name
	t.ReleaseReason, t.TransferTo = "", 0
	t.History = append(t.History, LeaseRecord{FencingToken: t.FencingToken, HolderName: c.Name,
		AcquiredAtMS: c.AtMS})
	if n := len(t.History) - maxHistory; n > 0 {
		t.History = slices.Delete(t.History, 0, n)
	}
	return nil
}

// checkHolder returns an error unless the task is held under the given fencing token.
func (t *Task) checkHolder(fencingToken uint64) error {
	if !t.IsHeld() || t.FencingToken != fencingToken {
		// A command under an earlier fencing token was sent by a former holder that had stalled.
		return fmt.Errorf("%s is held under the number %d, not %d", t.Name, t.FencingToken, fencingToken)
	}
	return nil
}

func checkNote(note []byte) error {
	if len(note) > MaxNoteBytes {
		return fmt.Errorf("a note may have %d bytes, this has %d", MaxNoteBytes, len(note))
	}
	return nil
}

func (t *Task) applyRelease(c Command) error {
	if err := t.checkHolder(c.FencingToken); err != nil {
		return err
	}
	if err := checkNote(c.Note); err != nil {
		return err
	}
	if c.Note != nil {
		t.Note, t.NoteRevision = c.Note, t.NoteRevision+1
	}
	if c.Failed {
		if t.CoolingDown == nil {
			t.CoolingDown = map[uint64]uint64{}
		}
		t.CoolingDown[t.Holder.Member] = t.FencingToken
	} else if len(t.CoolingDown) > 0 {
		delete(t.CoolingDown, t.Holder.Member)
	}
	t.endLease(c.Reason, c.AtMS)
	return nil
}

func (t *Task) applyExpire(c Command) error {
	if err := t.checkHolder(c.FencingToken); err != nil {
		return err
	}
	t.endLease(c.Reason, c.AtMS)
	return nil
}

func (t *Task) applyUpdateNote(c Command) error {
	if err := t.checkHolder(c.FencingToken); err != nil {
		return err
	}
	if err := checkNote(c.Note); err != nil {
		return err
	}
	// A command whose outcome is unknown is proposed again, so it may be in the log twice, with a later
	// update in between. Without this check, the second copy would undo the later update.
	if c.NoteRevision != t.NoteRevision {
		return fmt.Errorf("the note of %s has changed since", t.Name)
	}
	t.Note, t.NoteRevision = c.Note, t.NoteRevision+1
	return nil
}

func (t *Task) applyTransfer(c Command) error {
	switch {
	case t.PausedBy != "":
		return fmt.Errorf("%s is paused by %s; resume it first", t.Name, t.PausedBy)
	case !t.IsHeld() && c.TransferTo == 0:
		return fmt.Errorf("nobody holds %s", t.Name)
	case c.FencingToken > 0 && c.FencingToken != t.FencingToken:
		return fmt.Errorf("%s has had another holder since", t.Name)
	}
	if t.TransferTo = c.TransferTo; t.IsHeld() {
		t.ReleaseReason = c.Reason
	}
	return nil
}

func (t *Task) applyPause(c Command) error {
	if t.PausedBy != "" {
		return fmt.Errorf("%s is paused by %s already", t.Name, t.PausedBy)
	}
	if t.PausedBy = c.Name; t.IsHeld() {
		t.ReleaseReason = "paused by " + c.Name
	}
	return nil
}

// applyResume keeps ReleaseReason: the holder may already have begun to release the task.
func (t *Task) applyResume() error {
	if t.PausedBy == "" {
		return fmt.Errorf("%s is not paused", t.Name)
	}
	t.PausedBy = ""
	return nil
}
