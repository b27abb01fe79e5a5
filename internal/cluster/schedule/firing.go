package schedule

import (
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// Session is an instance's session.
type Session = placement.Session

// Firing is an occurrence that is intended to be fired and has no result yet.
type Firing struct {
	Number     uint64             `json:"n"` // from 1, in the order of intents
	Trigger    string             `json:"t"`
	LocalTime  calendar.LocalTime `json:"name"`
	At         int64              `json:"at"`    // Unix seconds
	IntendedAt int64              `json:"since"` // cluster time, in Unix seconds, of the intent
	Session    Session            `json:"seat"`  // that fires it
	// Orphaned is set if the session has certainly ended, or has released the firing.
	Orphaned bool `json:"o,omitempty"`
	// NeverStarted is set for an orphaned firing whose session has reported that it never started the job.
	NeverStarted bool `json:"u,omitempty"`
	// Redelivered is set if another session may have started the job before.
	Redelivered bool `json:"r,omitempty"`
}

// IdempotencyKey identifies the occurrence, and so the job.
func (f *Firing) IdempotencyKey() string { return f.Trigger + "@" + f.LocalTime.String() }

// Result is the outcome of a firing.
type Result uint8

// The results. Their numbers are in the log and in snapshots.
const (
	Succeeded Result = iota // the job was served
	Failed                  // the job failed: it may have run
	Rejected                // the job was rejected until its deadline for starting had passed
	Unknown                 // its session ended, and the job may not be sent again: it may have run
	Missed                  // the deadline for starting had passed when an instance could fire it
	// Released is not final: the session gives the firing up, and certainly never started the job.
	Released
)

// resultCount is the number of final results.
const resultCount = 5

// resultNames are the results as operators read them.
var resultNames = [...]string{"done", "failed", "refused", "may have run", "passed over", "given back"}

// String names the result as operators read it.
func (r Result) String() string { return resultNames[min(int(r), len(resultNames)-1)] }

// FiringResult is the result of a firing, as the session reports it that had the firing.
type FiringResult struct {
	Number  uint64
	Session Session
	Result  Result
}

// Failure is a firing that operators should look into: its job was not certainly served.
type Failure struct {
	Key    string `json:"key"` // the idempotency key
	At     int64  `json:"at"`  // Unix seconds
	Result Result `json:"result"`
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event, as they stand in an instance's journal.
const (
	EventIntended EventKind = "intend" // an occurrence is to be fired
	EventMissed   EventKind = "pass"   // occurrences of a trigger were missed
	EventFinished EventKind = "settle" // a firing has a result
	EventAdopted  EventKind = "adopt"  // an orphaned firing was adopted by another session
)

// Event is an effect of a command on the replicated state, for audits.
type Event struct {
	Kind    EventKind
	Number  uint64 // of the firing; of EventMissed: 0
	Key     string // the idempotency key; of EventMissed: the trigger's name
	At      int64  // Unix seconds; of EventMissed: the number of occurrences
	Session Session
	Result  Result // of EventFinished
}
