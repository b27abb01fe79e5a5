package emulate

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// randomMagnitudes are what a random trouble's size is drawn from, by kind.
var randomMagnitudes = map[string][2]float64{"slow": {2, 10}, "errors": {0.3, 1}, "stale": {2, 10},
	"heavy": {5, 30},
	"grey":  {3, 20}, "flood": {2, 6}, "retry-storm": {2, 6}}

// RandomFaults draws up to most troubles that fit the scenario, the same for a seed.
func RandomFaults(sc *Scenario, seed uint64, most int) []Fault {
	rng := RandomStreams{seed}.Source("random troubles", 0)
	names := slices.Sorted(func(yield func(string) bool) {
		for name := range faultKinds {
			if !yield(name) {
				return
			}
		}
	})
	var list []Fault
	length := time.Duration(sc.Duration)
	for range 1 + rng.IntN(max(most, 1)) {
		t := Fault{Kind: names[rng.IntN(len(names))], Fraction: 0.05 + 0.45*rng.Float64(),
			Start:  Duration(float64(length) * 0.7 * rng.Float64()),
			Length: Duration(time.Second + time.Duration(float64(length)*0.3*rng.Float64()))}
		if span, ok := randomMagnitudes[t.Kind]; ok {
			t.Magnitude = span[0] + (span[1]-span[0])*rng.Float64()
		}
		if t.Kind == "heavy" {
			t.Fraction = 0.005 + 0.025*rng.Float64()
		}
		if t.Kind == "zone-lost" {
			t.Zone = sc.Zones[rng.IntN(len(sc.Zones))]
		}
		if t.Kind == "grey" {
			t.Class = sc.Classes[rng.IntN(len(sc.Classes))].Name
		}
		if t.Kind == "flood" {
			t.Team = sc.Clients[rng.IntN(len(sc.Clients))].Team
		}
		list = append(list, t)
	}
	return list
}

// FaultStorm is a seed's random troubles and what came of them.
type FaultStorm struct {
	Seed          uint64   `json:"seed"`
	Faults        []Fault  `json:"troubles"`
	EarnedShare   float64  `json:"worth"`
	Jobs          int      `json:"jobs"`
	Violations    []string `json:"violations,omitempty"`
	MinimalFaults []Fault  `json:"small,omitempty"` // of a broken one: as few as still break it
}

// withFaults is the scenario with other troubles and another seed.
func (s *Scenario) withFaults(seed uint64, troubles []Fault) *Scenario {
	c := *s
	c.Seed, c.Faults = seed, slices.Clone(troubles)
	// A world writes into these: see check.
	c.Workers, c.Clients, c.Classes = slices.Clone(
		s.Workers,
	), slices.Clone(
		s.Clients,
	), slices.Clone(
		s.Classes,
	)
	return &c
}

// RunScenario runs a scenario and says which rules it broke.
func RunScenario(sc *Scenario) (*Result, error) {
	w, err := NewWorld(sc)
	if err != nil {
		return nil, err
	}
	return w.Run(), nil
}

// RunFaultStorms plays a scenario under the random troubles of seeds from first on, on all cores,
// and tells each in the order of the seeds. What is broken is shrunk.
func RunFaultStorms(base *Scenario, first uint64, count, most int, tell func(FaultStorm)) error {
	out := make([]chan FaultStorm, count)
	errs := make([]error, count)
	next := make(chan int)
	for i := range out {
		out[i] = make(chan FaultStorm, 1)
	}
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for i := range next {
				s := FaultStorm{Seed: first + uint64(i)}
				s.Faults = RandomFaults(base, s.Seed, most)
				var r *Result
				if r, errs[i] = RunScenario(base.withFaults(s.Seed, s.Faults)); errs[i] == nil {
					s.EarnedShare, s.Jobs, s.Violations = r.EarnedShare, r.Jobs, r.Violations
				}
				if len(s.Violations) > 0 {
					s.MinimalFaults = Shrink(s.Faults, func(t []Fault) bool {
						r, err := RunScenario(base.withFaults(s.Seed, t))
						return err == nil && len(r.Violations) > 0
					})
				}
				out[i] <- s
			}
		})
	}
	go func() {
		for i := range count {
			next <- i
		}
		close(next)
	}()
	for i := range out {
		s := <-out[i]
		if errs[i] != nil {
			return errs[i]
		}
		tell(s)
	}
	wg.Wait()
	return nil
}

// Shrink gives as few and as small troubles as still fail: it leaves each out in turn,
// halves how long it lasts, and takes what still fails, until nothing more can be taken.
func Shrink(list []Fault, fails func([]Fault) bool) []Fault {
	list = slices.Clone(list)
	for again := true; again; {
		again = false
		for i := 0; i < len(list); i++ {
			less := slices.Delete(slices.Clone(list), i, i+1)
			if fails(less) {
				list, again = less, true
				i--
			}
		}
		for i := range list {
			less := slices.Clone(list)
			if less[i].Length /= 2; time.Duration(less[i].Length) < 100*time.Millisecond {
				continue
			}
			if fails(less) {
				list, again = less, true
			}
		}
	}
	return list
}
