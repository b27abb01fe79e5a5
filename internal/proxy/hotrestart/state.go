package hotrestart

import (
	"encoding/json"
	"time"

	"moorstack/balancer"
)

// minClockStep is the least difference between the clocks of two processes that is treated as a step of the
// wall clock between their starts. A smaller difference is treated as the time that the message was under
// way.
const minClockStep = 250 * time.Millisecond

// State is the state that a child inherits from its parent. Its times are by the sender's clock until
// RebaseTimes converts them.
type State struct {
	Generation          int64                 `json:"generation"` // of the endpoint list
	Instances           json.RawMessage       `json:"instances"`  // the endpoint list, in discovery's format
	DiscoveryAddress    string                `json:"discovery"`  // the address in use, after reloads
	ConfiguredDiscovery string                `json:"written"`    // the address last read from the file
	KnownEndpoints      []string              `json:"known"`      // names of all that were ever listed
	Maintenance         []Maintenance         `json:"bans"`
	Balancer            balancer.LearnedState `json:"module"`

	SentAt       time.Duration          `json:"now,omitempty"`    // 0: not sent, by an older process
	WorkerStarts map[string]WorkerStart `json:"starts,omitempty"` // by worker name
}

// WorkerStart is the start time of a worker.
type WorkerStart struct {
	Reported time.Duration `json:"said"` // by the wall clock, as reported by the worker
	At       time.Duration `json:"at"`
}

// RebaseTimes converts the times of the state to the receiver's clock, whose current time is now.
//
// A process's clock starts at the wall clock's time and then advances monotonically. If the wall clock is
// stepped between the starts of two processes, their clocks differ permanently.
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

// shiftLearnedTimes adds shift to all times that the balancer has learned. A time of 0 means never or long
// ago, so it is not shifted.
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
