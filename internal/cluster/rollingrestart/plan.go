package rollingrestart

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	// maxPlanBytes is the maximum size of an encoded plan: that of a leased task's note.
	maxPlanBytes = 4096
	// maxReasonBytes is the size to which halt reasons are truncated.
	maxReasonBytes = 200
)

// Phase is the progress of an instance's restart. Its values are stored in the encoded plan.
type Phase uint8

// The phases of an instance.
const (
	Waiting    Phase = iota
	Restarting       // its process must exit, and another one start
	Restarted        // another process has a session and is healthy
	Removed          // the instance is no longer a member of the group
	Skipped          // it is not restarted, because the rolling restart was undone before
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"waiting", "restarting", "restarted", "removed",
		"skipped"}[min(int(p), int(Skipped))]
}

// Step is the part of a plan for one instance.
type Step struct {
	Member      uint64 `json:"m"`
	Name        string `json:"n"`
	Zone        string `json:"z,omitempty"`
	Phase       Phase  `json:"p,omitempty"`
	Incarnation uint64 `json:"l,omitempty"` // of the process that must exit
	// RestartAgain: the instance must be restarted once more when it is back, because the rolling restart was
	// undone while it was restarting.
	RestartAgain bool `json:"a,omitempty"`
}

// Status is the status of a plan. Its values are stored in the encoded plan.
type Status string

// The statuses of a plan.
const (
	Rolling Status = "rolling"
	Stopped Status = "stopped" // by an operator: no further instance is restarted
	Halted  Status = "halted"  // by the controller; Plan.HaltReason has the reason
	Done    Status = "done"
)

// Plan is a rolling restart. The zero Plan means that there is none.
type Plan struct {
	Author          string        `json:"by,omitempty"`
	MaxUnavailable  int           `json:"out"`             // maximum number of unavailable instances
	Timeout         time.Duration `json:"within"`          // within which a restarting instance must be back
	AllowLastInZone bool          `json:"alone,omitempty"` // also restart the only instance of a zone
	Undo            bool          `json:"undo,omitempty"`
	Status          Status        `json:"standing,omitempty"`
	HaltReason      string        `json:"why,omitempty"`
	Steps           []Step        `json:"steps,omitempty"`
}

// DecodePlan decodes a note; an empty note is the zero Plan.
func DecodePlan(note []byte) (p Plan, err error) {
	if len(note) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(note, &p); err != nil {
		return p, fmt.Errorf("the plan of the rolling restart can't be read: %w", err)
	}
	return p, nil
}

// Encode returns the plan as a note, with an error if it is longer than maxPlanBytes.
func (p Plan) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	if err == nil && len(b) > maxPlanBytes {
		err = fmt.Errorf("a plan of %d instances has %d bytes, and a note may have %d: name fewer of them",
			len(p.Steps), len(b), maxPlanBytes)
	}
	return b, err
}

// Active reports whether there is a plan that is not done.
func (p Plan) Active() bool { return p.Status != "" && p.Status != Done }

// MustRestart reports whether a process must exit, because a member's step is for its incarnation.
func (p Plan) MustRestart(member, incarnation uint64) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Member == member && s.Phase == Restarting && s.Incarnation == incarnation &&
			incarnation != 0
	})
}

// count returns the number of instances in a phase.
func (p Plan) count(phase Phase) (n int) {
	for _, s := range p.Steps {
		if s.Phase == phase {
			n++
		}
	}
	return n
}

// isRestarting reports whether a member's step is in the phase Restarting.
func (p Plan) isRestarting(member uint64) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Member == member && s.Phase == Restarting
	})
}

// Progress describes the plan's progress to operators.
func (p Plan) Progress() string {
	if p.Status == "" {
		return "no rolling restart"
	}
	text := string(p.Status)
	if p.Undo {
		text += " (undo)"
	}
	text += fmt.Sprintf(": %d restarted, %d restarting, %d waiting", p.count(Restarted), p.count(Restarting),
		p.count(Waiting))
	if p.HaltReason != "" {
		text += "; " + p.HaltReason
	}
	return text
}
