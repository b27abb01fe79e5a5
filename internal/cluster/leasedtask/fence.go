package leasedtask

import (
	"fmt"
	"maps"
)

// Fence is a receiver's record of the newest fencing token of each task. An effect under an earlier token was
// sent by an instance that no longer holds the task.
type Fence struct{ newest map[string]uint64 }

// StaleTokenError is returned for an effect whose fencing token is older than the newest one received.
type StaleTokenError struct {
	Task               string
	Token, NewestToken uint64
}

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("duty %s: stale fencing token %d, newest is %d: the sender no longer holds the duty",
		e.Task, e.Token, e.NewestToken)
}

// NewFence returns a fence with the newest tokens, by task, that the receiver has stored.
func NewFence(newest map[string]uint64) *Fence {
	f := &Fence{newest: map[string]uint64{}}
	maps.Copy(f.newest, newest)
	return f
}

// Admit returns nil and records the token if an effect may be carried out; otherwise it returns a
// *StaleTokenError.
func (f *Fence) Admit(task string, token uint64) error {
	if newest := f.newest[task]; token < newest || token == 0 {
		return &StaleTokenError{task, token, newest}
	}
	f.newest[task] = token
	return nil
}

// NewestTokens returns the newest token of each task. The receiver must store them for its next process.
func (f *Fence) NewestTokens() map[string]uint64 { return maps.Clone(f.newest) }
