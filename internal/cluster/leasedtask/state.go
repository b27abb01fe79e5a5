package leasedtask

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of the replicated state. All instances of a group must use the same values.
const (
	MaxNoteBytes = 4096 // maximum size of a task's note
	maxHistory   = 20   // leases kept in the history of each task
	maxTasks     = 128
)

// State is the replicated state: the tasks and their holders.
type State struct {
	Tasks map[string]*Task
	// LastFencingToken is the newest fencing token of all tasks.
	LastFencingToken uint64
}

// NewState returns the state of a group without tasks. The first fencing token is after+1.
func NewState(after uint64) *State { return &State{Tasks: map[string]*Task{}, LastFencingToken: after} }

// List returns the tasks, sorted by name.
func (s *State) List() []*Task {
	list := make([]*Task, 0, len(s.Tasks))
	for _, name := range slices.Sorted(maps.Keys(s.Tasks)) {
		list = append(list, s.Tasks[name])
	}
	return list
}

// HeldBy returns the tasks that a session holds, sorted by name, as leases that expire at expiresAt on the
// holder's clock. It returns none if the session's epoch is 0, as there is no such session.
func (s *State) HeldBy(session Session, expiresAt time.Duration) []Lease {
	if session.Epoch == 0 {
		return nil
	}
	var leases []Lease
	for _, t := range s.List() {
		if t.Holder == session {
			leases = append(leases, Lease{Task: t.Name, FencingToken: t.FencingToken, ExpiresAt: expiresAt,
				ReleaseReason: t.ReleaseReason, Note: t.Note, NoteRevision: t.NoteRevision})
		}
	}
	return leases
}

// SessionsExpired ends the leases of all sessions that have certainly expired. The reason and the time, in
// Unix milliseconds, are recorded in the tasks' histories.
func (s *State) SessionsExpired(expired func(Session) bool, reason string, atMS int64) {
	for _, t := range s.Tasks {
		if t.IsHeld() && expired(t.Holder) {
			t.endLease(reason, atMS)
		}
	}
}

// endLease ends the current lease and records the reason and the time in the history.
func (t *Task) endLease(reason string, atMS int64) {
	if n := len(t.History); n > 0 {
		t.History[n-1].EndReason, t.History[n-1].EndedAtMS = reason, atMS
	}
	t.Holder, t.HolderName, t.ReleaseReason = Session{}, "", ""
}

// knownTasks lists the existing tasks, as the second half of an error message.
func (s *State) knownTasks() string {
	if len(s.Tasks) == 0 {
		return "the configuration has none"
	}
	return strings.Join(slices.Sorted(maps.Keys(s.Tasks)), ", ") + " are"
}
