package controlapi

import (
	"context"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// Host is the instance that the service belongs to. Its methods are called by several goroutines.
type Host interface {
	// Runner returns the instance's consensus runner.
	Runner() *consensus.Runner
	// Operate executes an operation on the group at the leader.
	Operate(context.Context, *schema.Operation) (*schema.Operated, error)
	// RunningRevision returns the revision that the fronts run, and why it is not the agreed one, if so.
	RunningRevision() (revision uint64, problem string)
	// InitialDocument returns the first configuration of a new group, built from this instance's settings.
	InitialDocument() (*clusterstate.Document, error)
	// Address returns the address at which other instances reach this one.
	Address() string
	// Program returns the version of the program.
	Program() string
	// Counters returns the event counts shown to operators, by name.
	Counters() map[string]uint64
	// TickInterval returns the time between two ticks of consensus.
	TickInterval() time.Duration
	// ExplainRoute returns which rule would match a job and which workers it could use.
	ExplainRoute(*schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error)
	// PreviewTriggers returns a line about each trigger and limit of a document, as of the given time.
	PreviewTriggers(*clusterstate.Document, time.Time) ([]string, error)
	// HeldTasks returns the leased tasks that this instance believes it holds. Another one may hold them by
	// now.
	HeldTasks() []leasedtask.Lease
	// MemberState returns the failure detector's estimate of a member. It returns false if there is none,
	// for example because instances do not probe each other.
	MemberState(member uint64) (MemberState, bool)
}

// MemberState is the failure detector's estimate of the state of another instance.
type MemberState struct {
	State          string
	Duration       time.Duration // time since the state changed
	SuspectedBy    []uint64      // IDs of the members that suspect it
	UnreachableFor time.Duration // for how long its probes were not answered; 0: the last one was
}
