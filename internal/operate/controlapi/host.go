package controlapi

import (
	"context"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// Host is the instance that the service speaks for. Its methods are called by several goroutines.
type Host interface {
	// Runner is the instance's side of the group.
	Runner() *consensus.Runner
	// Operate carries out an operation on the group, at the leader.
	Operate(context.Context, *schema.Operation) (*schema.Operated, error)
	// RunningRevision is the revision that the fronts run, and why that is not the agreed one.
	RunningRevision() (revision uint64, problem string)
	// InitialDocument is the configuration that a new group begins with, by this instance's own settings.
	InitialDocument() (*clusterstate.Document, error)
	// Address is where other instances reach this one.
	Address() string
	// Program is the version of the program.
	Program() string
	// Counters are the counts of events for operators, by name.
	Counters() map[string]uint64
	// TickInterval is the time between two ticks of consensus.
	TickInterval() time.Duration
	// ExplainRoute explains which rule and workers a job would get.
	ExplainRoute(*schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error)
	// PreviewTriggers returns a line on each trigger and limit of a document, as of a time.
	PreviewTriggers(*clusterstate.Document, time.Time) ([]string, error)
	// HeldTasks are the leased tasks that this instance holds, as far as it knows.
	HeldTasks() []leasedtask.Lease
	// MemberState is what the failure detector knows of a member, if instances probe each other.
	MemberState(member uint64) (MemberState, bool)
}

// MemberState is what the instance's failure detector estimates of another instance.
type MemberState struct {
	State          string
	Duration       time.Duration // since the state changed
	SuspectedBy    []uint64      // member numbers
	UnreachableFor time.Duration // since this instance's own probes are not answered; 0: they are
}
