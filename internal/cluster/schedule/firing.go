package schedule

import (
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// Session identifies a session of an instance.
type Session = placement.Session

// Firing is an occurrence that was intended and has no result yet.
type Firing struct {
	Number     uint64             `json:"n"` // sequence number from 1, in the order of intents
	Trigger    string             `json:"t"`
	LocalTime  calendar.LocalTime `json:"name"`
	At         int64              `json:"at"`    // Unix seconds
	IntendedAt int64              `json:"since"` // cluster time of the intent, in Unix seconds
	Session    Session            `json:"seat"`  // the session that fires it
	// Orphaned is set if the session has certainly ended or has released the firing.
	Orphaned bool `json:"o,omitempty"`
	// NeverStarted is set for an orphaned firing whose session reported that it never started the job.
	NeverStarted bool `json:"u,omitempty"`
	// Redelivered is set if an earlier session may have started the job.
	Redelivered bool `json:"r,omitempty"`
}

// IdempotencyKey returns the key that identifies the occurrence and therefore the job.
func (f *Firing) IdempotencyKey() string { return f.Trigger + "@" + f.LocalTime.String() }

// Result is the outcome of a firing.
type Result uint8

// The results. The log and snapshots store their numeric values.
const (
	Succeeded Result = iota // the job was served
	Failed                  // the job failed: it may have run
	Rejected                // the job was rejected until its starting deadline had passed
	Unknown                 // its session ended and the job may not be sent again: it may have run
	Missed                  // the starting deadline had passed before an instance could fire it
	// Released is not final: the session releases the firing and certainly never started the job.
	Released
)

// resultCount is the number of final results.
const resultCount = 5

// resultNames are the results' names in status output, indexed by Result.
var resultNames = [...]string{"done", "failed", "refused", "may have run", "passed over", "given back"}

// String returns the result's name in status output.
func (r Result) String() string { return resultNames[min(int(r), len(resultNames)-1)] }

// FiringResult is the result of a firing, reported by the session that the firing belongs to.
type FiringResult struct {
	Number  uint64
	Session Session
	Result  Result
}

// Failure is a finished firing whose job was not certainly served. It is listed for operators.
type Failure struct {
	Key    string `json:"key"` // the idempotency key
	At     int64  `json:"at"`  // Unix seconds
	Result Result `json:"result"`
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event. They are written to an instance's audit log.
const (
	EventIntended EventKind = "intend" // an occurrence was intended
	EventMissed   EventKind = "pass"   // occurrences of a trigger were missed
	EventFinished EventKind = "settle" // a firing has a result
	EventAdopted  EventKind = "adopt"  // an orphaned firing was adopted by another session
)

// Event is an effect of a command on the replicated state. Events are recorded for audits.
type Event struct {
	Kind    EventKind
	Number  uint64 // of the firing; of EventMissed: 0
	Key     string // the idempotency key; of EventMissed: the trigger's name
	At      int64  // Unix seconds; of EventMissed: the number of occurrences
	Session Session
	Result  Result // of EventFinished
}
