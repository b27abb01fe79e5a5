package emulate

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// sizes are what a random trouble's size is drawn from, by kind.
var sizes = map[string][2]float64{"slow": {2, 10}, "errors": {0.3, 1}, "stale": {2, 10}, "heavy": {5, 30},
	"grey": {3, 20}, "flood": {2, 6}, "retry-storm": {2, 6}}

// RandomTroubles draws up to most troubles that fit the scenario, the same for a seed.
func RandomTroubles(sc *Scenario, seed uint64, most int) []Trouble {
	rng := Streams{seed}.Of("random troubles", 0)
	names := slices.Sorted(func(yield func(string) bool) {
		for name := range kinds {
			if !yield(name) {
				return
			}
		}
	})
	var list []Trouble
	length := time.Duration(sc.Duration)
	for range 1 + rng.IntN(max(most, 1)) {
		t := Trouble{Kind: names[rng.IntN(len(names))], Part: 0.05 + 0.45*rng.Float64(),
			At:  Duration(float64(length) * 0.7 * rng.Float64()),
			For: Duration(time.Second + time.Duration(float64(length)*0.3*rng.Float64()))}
		if span, ok := sizes[t.Kind]; ok {
			t.Size = span[0] + (span[1]-span[0])*rng.Float64()
		}
		if t.Kind == "heavy" {
			t.Part = 0.005 + 0.025*rng.Float64()
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

// Storm is a seed's random troubles and what came of them.
type Storm struct {
	Seed       uint64    `json:"seed"`
	Troubles   []Trouble `json:"troubles"`
	Worth      float64   `json:"worth"`
	Jobs       int       `json:"jobs"`
	Violations []string  `json:"violations,omitempty"`
	Small      []Trouble `json:"small,omitempty"` // of a broken one: as few as still break it
}

// with is the scenario with other troubles and another seed.
func (s *Scenario) with(seed uint64, troubles []Trouble) *Scenario {
	c := *s
	c.Seed, c.Troubles = seed, slices.Clone(troubles)
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

// Play runs a scenario and says which rules it broke.
func Play(sc *Scenario) (*Result, error) {
	w, err := New(sc)
	if err != nil {
		return nil, err
	}
	return w.Run(), nil
}

// Storms plays a scenario under the random troubles of seeds from first on, on all cores,
// and tells each in the order of the seeds. What is broken is shrunk.
func Storms(base *Scenario, first uint64, count, most int, tell func(Storm)) error {
	out := make([]chan Storm, count)
	errs := make([]error, count)
	next := make(chan int)
	for i := range out {
		out[i] = make(chan Storm, 1)
	}
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for i := range next {
				s := Storm{Seed: first + uint64(i)}
				s.Troubles = RandomTroubles(base, s.Seed, most)
				var r *Result
				if r, errs[i] = Play(base.with(s.Seed, s.Troubles)); errs[i] == nil {
					s.Worth, s.Jobs, s.Violations = r.Worth, r.Jobs, r.Violations
				}
				if len(s.Violations) > 0 {
					s.Small = Shrink(s.Troubles, func(t []Trouble) bool {
						r, err := Play(base.with(s.Seed, t))
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
func Shrink(list []Trouble, fails func([]Trouble) bool) []Trouble {
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
			if less[i].For /= 2; time.Duration(less[i].For) < 100*time.Millisecond {
				continue
			}
			if fails(less) {
				list, again = less, true
			}
		}
	}
	return list
}
