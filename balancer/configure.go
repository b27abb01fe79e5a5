package balancer

// How a balancer is made, and which settings it takes.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// New makes the balancer of one dispatcher. The same seed and events give the same actions.
func New(set Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := check(&set, act); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	b := &Balancer{
		set: set, act: act, rng: rand.New(rand.NewPCG(seed, 0)),
		byID: map[WorkerID]*worker{}, open: map[RequestID]*request{},
		loads: make([]kindLoad, set.WorkerKinds), slots: make([]float64, set.WorkerKinds),
		usual: make([]float64, len(set.Classes)), tallies: make([]tally, len(set.Classes)),
		values:   make([]float64, len(set.Classes)),
		patience: set.Classes[0].Timeout, ratio: 1, tenants: make([]allowance, len(set.Tenants)),
	}
	for range set.WorkerKinds {
		b.paces = append(b.paces, 1)
	}
	for _, c := range set.Classes {
		b.patience = min(b.patience, c.Timeout)
	}
	return b, nil
}

// CanConfigure says whether Configure may be called with the settings: as many classes
// and tenants as before, under the same names, and the same word on what may run again.
func (b *Balancer) CanConfigure(set Settings) error {
	if err := check(&set, b.act); err != nil {
		return err
	}
	if len(set.Classes) != len(b.set.Classes) || len(set.Tenants) != len(b.set.Tenants) {
		return errors.New("classes and tenants can't come or go while the dispatcher runs")
	}
	for i, c := range set.Classes {
		was := &b.set.Classes[i]
		if c.Name != was.Name || c.Idempotency != was.Idempotency || c.KeyScope != was.KeyScope ||
			c.WorkerKind != was.WorkerKind ||
			c.Streaming != was.Streaming ||
			c.KeyWindow != was.KeyWindow {
			return fmt.Errorf("class %q: name, effect, scope, window, kind and stream can't change", was.Name)
		}
	}
	for i, t := range set.Tenants {
		if t.Name != b.set.Tenants[i].Name {
			return fmt.Errorf("tenant %q: its name can't change", b.set.Tenants[i].Name)
		}
	}
	return nil
}

// Configure takes over the classes and tenants of settings that CanConfigure approves.
// Requests that are open keep the class that they came with: what a client was promised
// when its job was taken must hold to the end.
func (b *Balancer) Configure(set Settings) {
	b.set.Classes = slices.Clone(set.Classes)
	b.set.Tenants = slices.Clone(set.Tenants)
	// Dispatchers that agree with each other come and go, and their parts with them.
	b.set.DispatcherIndex, b.set.DispatcherCount = set.DispatcherIndex, max(set.DispatcherCount, 1)
	b.set.Rules.OverloadFactor = set.Rules.OverloadFactor
	b.patience = b.set.Classes[0].Timeout
	for _, c := range b.set.Classes {
		b.patience = min(b.patience, c.Timeout)
	}
}

// check names the setting that can't be decided with, and fills in what may be absent.
func check(s *Settings, act Actions) error {
	if act == nil {
		return errors.New("no actions")
	}
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes: none given")
	}
	for i, c := range s.Classes {
		if c.Timeout <= 0 {
			return fmt.Errorf("settings: Classes[%d].Deadline: %v is not positive", i, c.Timeout)
		}
		if c.LatencyObjective < 0 || c.ObjectiveStretch < 0 || c.PriorityWeight < 0 || c.KeyWindow < 0 ||
			c.Idempotency > NonIdempotent || c.KeyScope > ScopeCell || c.MaxAttempts < 0 {
			return fmt.Errorf("settings: Classes[%d]: a value is out of range", i)
		}
		if c.WorkerKind < -1 || c.WorkerKind >= s.WorkerKinds && c.WorkerKind > 0 {
			return fmt.Errorf(
				"settings: Classes[%d].Kind: %d is not one of %d kinds",
				i,
				c.WorkerKind,
				s.WorkerKinds,
			)
		}
	}
	r := &s.Rules
	for _, v := range []struct {
		name string
		bad  bool
	}{
		{"Limits.Attempts", s.Limits.MaxAttempts < 0}, {"Limits.MaxRetryAfter", s.Limits.MaxRetryAfter < 0},
		{"Rules.AnswerSlack", r.ResponseSlack < 0}, {"Rules.AskEvery", r.ListPollInterval < 0},
		{"Rules.ColdShare", r.SlowStartMinShare < 0 || r.SlowStartMinShare > 1}, {"Rules.Cold",
			r.SlowStartWindow < 0},
		{"Rules.OverloadFactor", r.OverloadFactor < 0}, {"Rules.Fall", r.OverloadWindow < 0},
		{"Rules.Budget", r.RetryBudgetWindow < 0}, {"Rules.FreeFurther", r.RetryBudgetBase < 0},
		{"Rules.FurtherShare", r.RetryBudgetShare < 0},
		{"Fleet", s.DispatcherCount < 0}, {"Me", s.DispatcherIndex < 0 || s.DispatcherCount > 0 &&
			s.DispatcherIndex >= s.DispatcherCount},
		{"Zone", s.Zone < 0 || s.ZoneCount > 0 && s.Zone >= s.ZoneCount}, {"Kinds", s.WorkerKinds < 0},
	} {
		if v.bad {
			return fmt.Errorf("%s: out of range", v.name)
		}
	}
	s.DispatcherCount = max(s.DispatcherCount, 1)
	s.WorkerKinds = max(s.WorkerKinds, 1)
	s.Limits.MaxAttempts = max(s.Limits.MaxAttempts, 1)
	return nil
}
