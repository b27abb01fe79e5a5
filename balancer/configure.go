package balancer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns the balancer of one dispatcher. The same seed and events always give the same actions. It
// returns an error that names the setting that is out of range.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := validate(&settings, actions); err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	classes, kinds := len(settings.Classes), settings.WorkerKinds
	b := &Balancer{
		settings: settings, actions: actions, rng: rand.New(rand.NewPCG(seed, 0)),
		workerByID: map[WorkerID]*worker{}, requestByID: map[RequestID]*request{},
		kindLoads: make([]kindLoad, kinds), kindSlots: make([]float64, kinds),
		classRunTimes: make([]float64, classes), classTallies: make([]tally, classes),
		valueRateBuffer: make([]float64, classes), hintRatio: 1,
		quotas:     make([]quotaBucket, len(settings.Tenants)),
		minTimeout: minTimeout(settings.Classes),
	}
	for range kinds {
		b.kindRunTimeFactors = append(b.kindRunTimeFactors, 1)
	}
	return b, nil
}

// minTimeout returns the least timeout of the classes.
func minTimeout(classes []Class) time.Duration {
	least := classes[0].Timeout
	for i := range classes {
		least = min(least, classes[i].Timeout)
	}
	return least
}

// CanConfigure returns an error if Configure must not be called with the settings. They must have the same
// classes and tenants, with the same names, and the same idempotency for each class.
func (b *Balancer) CanConfigure(settings Settings) error {
	if err := validate(&settings, b.actions); err != nil {
		return err
	}
	if len(settings.Classes) != len(b.settings.Classes) || len(settings.Tenants) != len(b.settings.Tenants) {
		return errors.New("classes and tenants can't be added or removed while the dispatcher runs")
	}
	for i := range settings.Classes {
		if current := &b.settings.Classes[i]; !settings.Classes[i].sameGuarantees(current) {
			return fmt.Errorf("class %q: name, effect, scope, window, kind and stream can't change "+
				"while the dispatcher runs", current.Name)
		}
	}
	for i, t := range settings.Tenants {
		if t.Name != b.settings.Tenants[i].Name {
			return fmt.Errorf("tenant %q: the name can't change while the dispatcher runs",
				b.settings.Tenants[i].Name)
		}
	}
	return nil
}

// sameGuarantees reports whether two classes make the same promises about repeated execution.
func (c *Class) sameGuarantees(o *Class) bool {
	return c.Name == o.Name && c.Idempotency == o.Idempotency && c.KeyScope == o.KeyScope &&
		c.KeyWindow == o.KeyWindow && c.WorkerKind == o.WorkerKind && c.Streaming == o.Streaming
}

// Configure applies the classes and tenants of settings that CanConfigure accepts. Open requests keep the
// class with which they arrived, because what was promised when a request was accepted must hold until it
// ends.
func (b *Balancer) Configure(settings Settings) {
	b.settings.Classes = slices.Clone(settings.Classes)
	b.settings.Tenants = slices.Clone(settings.Tenants)
	// The dispatchers divide budgets among themselves, so their number is updated too.
	b.settings.DispatcherIndex = settings.DispatcherIndex
	b.settings.DispatcherCount = max(settings.DispatcherCount, 1)
	b.settings.Rules.OverloadFactor = settings.Rules.OverloadFactor
	b.minTimeout = minTimeout(b.settings.Classes)
}

// validate returns an error that names a setting that is out of range, and sets defaults for optional ones.
func validate(s *Settings, actions Actions) error {
	if actions == nil {
		return errors.New("actions must not be nil")
	}
	if err := validateClasses(s); err != nil {
		return err
	}
	r := &s.Rules
	for _, v := range []struct {
		name string
		bad  bool
	}{
		{"Limits.MaxAttempts", s.Limits.MaxAttempts < 0},
		{"Limits.MaxRetryAfter", s.Limits.MaxRetryAfter < 0},
		{"Rules.ResponseSlack", r.ResponseSlack < 0},
		{"Rules.ListPollInterval", r.ListPollInterval < 0},
		{"Rules.SlowStartMinShare", r.SlowStartMinShare < 0 || r.SlowStartMinShare > 1},
		{"Rules.SlowStartWindow", r.SlowStartWindow < 0},
		{"Rules.OverloadFactor", r.OverloadFactor < 0},
		{"Rules.OverloadWindow", r.OverloadWindow < 0},
		{"Rules.RetryBudgetWindow", r.RetryBudgetWindow < 0},
		{"Rules.RetryBudgetBase", r.RetryBudgetBase < 0},
		{"Rules.RetryBudgetShare", r.RetryBudgetShare < 0},
		{"DispatcherCount", s.DispatcherCount < 0},
		{"DispatcherIndex", outOfRange(s.DispatcherIndex, s.DispatcherCount)},
		{"Zone", outOfRange(s.Zone, s.ZoneCount)},
		{"WorkerKinds", s.WorkerKinds < 0},
	} {
		if v.bad {
			return fmt.Errorf("%s is out of range", v.name)
		}
	}
	s.DispatcherCount = max(s.DispatcherCount, 1)
	s.WorkerKinds = max(s.WorkerKinds, 1)
	s.Limits.MaxAttempts = max(s.Limits.MaxAttempts, 1)
	return nil
}

// outOfRange reports whether an index is negative or, if count is positive, not below count.
func outOfRange(index, count int) bool { return index < 0 || count > 0 && index >= count }

func validateClasses(s *Settings) error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes: none given")
	}
	for i, c := range s.Classes {
		if c.Timeout <= 0 {
			return fmt.Errorf("settings: Classes[%d].Timeout is %v, must be positive", i, c.Timeout)
		}
		if c.LatencyObjective < 0 || c.ObjectiveStretch < 0 || c.PriorityWeight < 0 || c.KeyWindow < 0 ||
			c.Idempotency > NonIdempotent || c.KeyScope > ScopeCell || c.MaxAttempts < 0 {
			return fmt.Errorf("settings: Classes[%d]: LatencyObjective, ObjectiveStretch, PriorityWeight, "+
				"KeyWindow, Idempotency, KeyScope or MaxAttempts is out of range", i)
		}
		if c.WorkerKind < -1 || c.WorkerKind >= s.WorkerKinds && c.WorkerKind > 0 {
			return fmt.Errorf("settings: Classes[%d].WorkerKind is %d, must be -1 or a kind below %d", i,
				c.WorkerKind, s.WorkerKinds)
		}
	}
	return nil
}
