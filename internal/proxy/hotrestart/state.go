package hotrestart

import (
	"encoding/json"
	"time"

	"moorstack/balancer"
)

// minClockStep is the least difference of two processes' clocks that is taken for a step of the wall clock
// between their starts, and not for the time that a message took.
const minClockStep = 250 * time.Millisecond

// State is what a child inherits from its parent. Its times are by the clock of the process that sent it,
// until RebaseTimes.
type State struct {
	Generation          int64                 `json:"generation"` // of the endpoint list
	Instances           json.RawMessage       `json:"instances"`  // the list, in discovery's form
	DiscoveryAddress    string                `json:"discovery"`  // as reloads have left it
	ConfiguredDiscovery string                `json:"written"`    // as the file gave it last
	KnownEndpoints      []string              `json:"known"`      // that were ever listed
	Maintenance         []Maintenance         `json:"bans"`
	Balancer            balancer.LearnedState `json:"module"`

	SentAt       time.Duration          `json:"now,omitempty"`    // 0: an older process did not state it
	WorkerStarts map[string]WorkerStart `json:"starts,omitempty"` // by the workers' names
}

// WorkerStart is when a worker started.
type WorkerStart struct {
	Reported time.Duration `json:"said"` // by the wall clock, as the worker reports it
	At       time.Duration `json:"at"`
}

// RebaseTimes converts the times of the state to times of the receiver's clock, which shows now.
//
// Hazard: a process's clock goes on by itself from what the wall clock showed at its start. Where that was
// stepped meanwhile, the two processes' clocks differ for good.
func (s *State) RebaseTimes(now time.Duration) {
	shift := now - s.SentAt
	if s.SentAt == 0 || shift.Abs() < minClockStep {
		return
	}
	for i := range s.Maintenance {
		m := &s.Maintenance[i]
		m.StartedAt += shift
		if m.EndedAt > 0 {
			m.EndedAt += shift
		}
	}
	for name, start := range s.WorkerStarts {
		s.WorkerStarts[name] = WorkerStart{start.Reported, start.At + shift}
	}
	shiftLearnedTimes(&s.Balancer, shift)
}

// shiftLearnedTimes adds to all times of what the balancer has learned. One that is not set means never, or
// long ago, and stays so.
func shiftLearnedTimes(l *balancer.LearnedState, shift time.Duration) {
	add := func(t *time.Duration) {
		if *t > 0 {
			*t += shift
		}
	}
	add(&l.RecentWaitAt)
	add(&l.AveragedAt)
	for i := range l.Quotas {
		add(&l.Quotas[i].UpdatedAt)
	}
	for id, w := range l.Workers {
		add(&w.LastWaitAt)
		add(&w.FailureScoreAt)
		add(&w.StartedAt)
		for i := range w.SlowStartSent {
			add(&w.SlowStartSent[i].At)
		}
		l.Workers[id] = w
	}
}
