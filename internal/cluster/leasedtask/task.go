package leasedtask

import "time"

// Session identifies an instance's session: its member number and the session's epoch. The zero value means
// no session. It is placement.Session with the field names of this package's snapshot.
type Session struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// LeaseRecord is an entry of a task's history: one lease. Its times are wall-clock times in Unix
// milliseconds, for display only.
type LeaseRecord struct {
	FencingToken uint64 `json:"number"`
	HolderName   string `json:"name"`
	AcquiredAtMS int64  `json:"at_ms,omitempty"`
	EndedAtMS    int64  `json:"end_ms,omitempty"`
	EndReason    string `json:"end,omitempty"` // empty: the lease has not ended
}

// Task is a piece of work that at most one instance does at a time.
type Task struct {
	Name string `json:"name"`
	// Holder is the session that holds the task; the zero Session if no session does.
	Holder     Session `json:"holder"`
	HolderName string  `json:"of,omitempty"`
	// FencingToken is the token of the newest lease. It only grows.
	FencingToken uint64 `json:"number,omitempty"`
	// Note records the task's progress, for the next holder.
	Note []byte `json:"note,omitempty"`
	// NoteRevision counts the updates of Note.
	NoteRevision uint64 `json:"turn,omitempty"`
	// ReleaseReason is why the holder must finish its current step and release the task; empty if it need
	// not.
	ReleaseReason string `json:"leaving,omitempty"`
	// TransferTo is the member that a transfer named as the next holder; 0: none.
	TransferTo uint64 `json:"to,omitempty"`
	PausedBy   string `json:"paused,omitempty"` // who paused the task; empty: it is not paused
	// CoolingDown maps each member that failed at the task to the fencing token under which it failed. Other
	// members are preferred to these.
	CoolingDown map[uint64]uint64 `json:"resting,omitempty"`
	History     []LeaseRecord     `json:"history,omitempty"` // oldest first
}

// IsHeld reports whether a session holds the task.
func (t *Task) IsHeld() bool { return t.Holder != Session{} }

// Lease is a task as its holder sees it.
type Lease struct {
	Task          string
	FencingToken  uint64
	ExpiresAt     time.Duration // on the holder's clock
	ReleaseReason string        // why the holder must finish its step and release the task, if it must
	Note          []byte
	NoteRevision  uint64
}

// Valid reports whether the holder may act at the time now. The clock must be read immediately before the
// action: the process may have stalled since an earlier reading. Every effect that leaves the process must
// also carry the fencing token, because the process may stall after the check as well.
func (l Lease) Valid(now time.Duration) bool { return l.FencingToken > 0 && now < l.ExpiresAt }
