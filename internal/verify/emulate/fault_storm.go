package emulate

import (
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// valueRange is an interval from which values are drawn uniformly.
type valueRange struct{ low, high float64 }

func (s valueRange) draw(random *rand.Rand) float64 {
	return s.low + float64((s.high-s.low)*random.Float64())
}

// randomMagnitudes are the ranges of the magnitudes of random faults, by kind.
var randomMagnitudes = map[string]valueRange{
	"slow":         {2, 10},
	"errors":       {0.3, 1},
	"stale":        {2, 10},
	faultHeavyJobs: {5, 30},
	faultSlowClass: {3, 20},
	faultFlood:     {2, 6},
	"retry-storm":  {2, 6},
}

// minFaultLength is the minimum length to which Shrink shortens a fault.
const minFaultLength = 100 * time.Millisecond

// RandomFaults draws between 1 and maxFaults faults that are valid for the scenario. They depend only on the
// scenario and the seed.
func RandomFaults(sc *Scenario, seed uint64, maxFaults int) []Fault {
	random := RandomStreams{seed}.Source("random troubles", 0)
	kinds := slices.Sorted(maps.Keys(faultKinds))
	var list []Fault
	for range 1 + random.IntN(max(maxFaults, 1)) {
		list = append(list, randomFault(sc, kinds[random.IntN(len(kinds))], random))
	}
	return list
}

func randomFault(sc *Scenario, kind string, random *rand.Rand) Fault {
	length := float64(sc.Duration)
	f := Fault{
		Kind:     kind,
		Fraction: 0.05 + float64(0.45*random.Float64()),
		Start:    Duration(length * 0.7 * random.Float64()),
		Length:   Duration(time.Second + time.Duration(length*0.3*random.Float64())),
	}
	if magnitude, ok := randomMagnitudes[kind]; ok {
		f.Magnitude = magnitude.draw(random)
	}
	switch kind {
	case faultHeavyJobs:
		f.Fraction = 0.005 + float64(0.025*random.Float64())
	case faultZoneLost:
		f.Zone = sc.Zones[random.IntN(len(sc.Zones))]
	case faultSlowClass:
		f.Class = sc.Classes[random.IntN(len(sc.Classes))].Name
	case faultFlood:
		f.Team = sc.Clients[random.IntN(len(sc.Clients))].Team
	}
	return f
}

// FaultStorm holds the random faults of a seed and the result of a run under them.
type FaultStorm struct {
	Seed          uint64   `json:"seed"`
	Faults        []Fault  `json:"troubles"`
	EarnedShare   float64  `json:"worth"` // as in Result
	Jobs          int      `json:"jobs"`
	Violations    []string `json:"violations,omitempty"`
	MinimalFaults []Fault  `json:"small,omitempty"` // a minimal set that still causes a violation
}

// withFaults returns a copy of the scenario with the given seed and faults.
func (s *Scenario) withFaults(seed uint64, faults []Fault) *Scenario {
	c := *s
	c.Seed, c.Faults = seed, slices.Clone(faults)
	// NewWorld fills in defaults in these slices: see validate.
	c.Workers, c.Clients = slices.Clone(s.Workers), slices.Clone(s.Clients)
	c.Classes = slices.Clone(s.Classes)
	return &c
}

// RunScenario runs a scenario in a new world.
func RunScenario(sc *Scenario) (*Result, error) {
	w, err := NewWorld(sc)
	if err != nil {
		return nil, err
	}
	return w.Run(), nil
}

// runFaultStorm runs a scenario under the random faults of a seed. If there are violations, it also shrinks
// the faults.
func runFaultStorm(base *Scenario, seed uint64, maxFaults int) (FaultStorm, error) {
	s := FaultStorm{Seed: seed, Faults: RandomFaults(base, seed, maxFaults)}
	r, err := RunScenario(base.withFaults(seed, s.Faults))
	if err != nil {
		return s, err
	}
	s.EarnedShare, s.Jobs, s.Violations = r.EarnedShare, r.Jobs, r.Violations
	if len(s.Violations) > 0 {
		s.MinimalFaults = Shrink(s.Faults, func(faults []Fault) bool {
			r, err := RunScenario(base.withFaults(seed, faults))
			return err == nil && len(r.Violations) > 0
		})
	}
	return s, nil
}

// RunFaultStorms runs a scenario under the random faults of count consecutive seeds starting at first, on all
// cores, and calls report on the caller's goroutine with each result in the order of the seeds. It returns
// the error of the first seed that cannot be run, without reporting later seeds.
func RunFaultStorms(base *Scenario, first uint64, count, maxFaults int, report func(FaultStorm)) error {
	type outcome struct {
		storm FaultStorm
		err   error
	}
	outcomes := make([]chan outcome, count)
	for i := range outcomes {
		outcomes[i] = make(chan outcome, 1)
	}
	next := make(chan int)
	var running sync.WaitGroup
	for range runtime.NumCPU() {
		running.Go(func() {
			for i := range next {
				storm, err := runFaultStorm(base, first+uint64(i), maxFaults)
				outcomes[i] <- outcome{storm, err}
			}
		})
	}
	go func() {
		defer close(next)
		for i := range count {
			next <- i
		}
	}()
	for i := range outcomes {
		o := <-outcomes[i]
		if o.err != nil {
			return o.err
		}
		report(o.storm)
	}
	running.Wait()
	return nil
}

// Shrink reduces the faults to a small set for which fails still returns true: it repeatedly removes single
// faults and halves their lengths, until neither is possible any more.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	faults = slices.Clone(faults)
	for shrunk := true; shrunk; {
		shrunk = false
		for i := 0; i < len(faults); i++ {
			fewer := slices.Delete(slices.Clone(faults), i, i+1)
			if fails(fewer) {
				faults, shrunk = fewer, true
				i--
			}
		}
		for i := range faults {
			shorter := slices.Clone(faults)
			if shorter[i].Length /= 2; time.Duration(shorter[i].Length) < minFaultLength {
				continue
			}
			if fails(shorter) {
				faults, shrunk = shorter, true
			}
		}
	}
	return faults
}
