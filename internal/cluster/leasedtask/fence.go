package leasedtask

import (
	"fmt"
	"maps"
)

// Fence is a receiver's record of the newest fencing token of each task. An effect under an earlier token was
// sent by an instance that no longer holds the task.
type Fence struct{ newest map[string]uint64 }

// StaleTokenError is returned for an effect that came under an earlier fencing token than the newest.
type StaleTokenError struct {
	Task               string
	Token, NewestToken uint64
}

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("%s: number %d is old, %d has acted here: the sender holds the duty no more", e.Task,
		e.Token, e.NewestToken)
}

// NewFence returns a fence with the tokens, by task, that a receiver has stored.
func NewFence(newest map[string]uint64) *Fence {
	f := &Fence{newest: map[string]uint64{}}
	maps.Copy(f.newest, newest)
	return f
}

// Admit records the token of an effect that may be carried out, or returns a *StaleTokenError.
func (f *Fence) Admit(task string, token uint64) error {
	if newest := f.newest[task]; token < newest || token == 0 {
		return &StaleTokenError{task, token, newest}
	}
	f.newest[task] = token
	return nil
}

// NewestTokens returns what a receiver must store for its next process: the newest token of each task.
func (f *Fence) NewestTokens() map[string]uint64 { return maps.Clone(f.newest) }
