package consensus

import (
	"errors"
	"fmt"

	"moorstack/internal/cluster/clusterstate"
)

// Errors of requests that are not carried out.
var (
	ErrNoGroup  = errors.New("this instance belongs to no group yet")
	ErrNoLeader = errors.New(
		"no leader is known: this instance is cut off, or the group has no majority")
	ErrOutcomeUnknown = errors.New("it could not be decided in time; it may still come into force")
	ErrRemoved        = errors.New("this instance has been removed from its group")
	ErrHalted         = errors.New("this instance has stopped taking part in the agreement")
)

// NotLeaderError is returned by an instance that does not lead for an operation that only the leader can
// carry out.
type NotLeaderError struct{ Leader clusterstate.Member }

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("only the leader can, which is %s", e.Leader.Name)
}

// RejectedError is returned for an operation that would be harmful or is impossible in the current state.
type RejectedError struct{ Reason string }

// Error implements error.
func (e *RejectedError) Error() string { return e.Reason }

func rejectf(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }
