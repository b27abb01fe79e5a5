package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is something that fails for a while.
type Fault struct {
	Kind      string   `json:"Kind" toml:"kind"`
	Start     Duration `json:"At" toml:"at"`
	Length    Duration `json:"For" toml:"for"`
	Fraction  float64  `json:"Part" toml:"part"` // of the workers, of the nodes or of the jobs, by the kind
	Magnitude float64  `json:"Size" toml:"size"` // what it means depends on the kind
	Zone      string   `json:"Zone" toml:"zone"` // of the workers; empty: of any
	Team      string   `json:"Team" toml:"team"` // of the clients; empty: all
	Class     string   `json:"Class" toml:"class"`
}

// The kinds that the drawing and the checks treat by themselves, in the scenario's words.
const (
	faultSlowClass = "grey"
	faultHeavyJobs = "heavy"
	faultFlood     = "flood"
	faultZoneLost  = "zone-lost"
)

// faultKind is a kind of fault.
type faultKind struct {
	magnitude string // what Fault.Magnitude means; empty: nothing
	// start begins the fault. What it returns ends it; nil: it ends by itself.
	start func(w *World, f *Fault, random *rand.Rand) (end func())
}

// faultKinds are the kinds by their names in a scenario.
var faultKinds = map[string]faultKind{
	"crash":        {"", (*World).crashWorkers},
	"slow":         {"how many times slower", (*World).slowWorkers},
	"errors":       {"the share of jobs that fail", (*World).failJobs},
	"cut":          {"", (*World).partitionWorkers},
	"drain":        {"", (*World).drainWorkers},
	"restart":      {"", (*World).restartNodes},
	"stale":        {"seconds of added delay", (*World).delayList},
	"list-down":    {"", (*World).stopDiscovery},
	"deaf":         {"", (*World).silenceWatches},
	faultHeavyJobs: {"how many times a usual job", (*World).sendHeavyJobs},
	faultFlood:     {"how many times the usual rate", (*World).floodWithJobs},
	faultSlowClass: {"how many times slower", (*World).slowOneClass},
	"maintain":     {"", (*World).maintainWorkers},
	"replace":      {"", (*World).hotRestartNodes},
	faultZoneLost:  {"", (*World).crashWorkers},
	"retry-storm":  {"retries for each client", (*World).ignoreRetryAfter},
}

func (s *Scenario) validateFault(i int) error {
	f := &s.Faults[i]
	kind, known := faultKinds[f.Kind]
	if !known {
		return s.errorAt("trouble", i, "%q is no kind of trouble; there are %v", f.Kind,
			slices.Sorted(maps.Keys(faultKinds)))
	}
	if f.Start < 0 || f.Length <= 0 || f.Fraction < 0 || f.Fraction > 1 {
		return s.errorAt("trouble", i, "%s: at and for must be times, and part from 0 to 1", f.Kind)
	}
	if kind.magnitude != "" && !(f.Magnitude > 0) {
		return s.errorAt("trouble", i, "%s: size must be above 0: %s", f.Kind, kind.magnitude)
	}
	if f.Kind == faultZoneLost && !slices.Contains(s.Zones, f.Zone) {
		return s.errorAt("trouble", i, "zone-lost: there is no zone %q", f.Zone)
	}
	named := func(c ClassSpec) bool { return c.Name == f.Class }
	if f.Kind == faultSlowClass && !slices.ContainsFunc(s.Classes, named) {
		return s.errorAt("trouble", i, "grey: there is no class %q", f.Class)
	}
	return nil
}

// scheduleFault has a fault begin and end at its times.
func (w *World) scheduleFault(f *Fault, number int) {
	random := w.streams.Source("troubles", number)
	w.Clock.At(time.Duration(f.Start), func() {
		if end := faultKinds[f.Kind].start(w, f, random); end != nil {
			w.Clock.After(time.Duration(f.Length), end)
		}
	})
}

// share is how many a fraction of some is, one at the least.
func share(fraction float64, of int) int { return min(max(int(fraction*float64(of)+0.5), 1), of) }

// selectWorkers draws the fault's fraction of the workers.
func (w *World) selectWorkers(f *Fault, random *rand.Rand) []*Worker {
	var from []*Worker
	for _, k := range w.workers {
		if f.Zone == "" || w.scenario.Zones[k.Zone] == f.Zone {
			from = append(from, k)
		}
	}
	if f.Kind == faultZoneLost {
		return from
	}
	random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:share(f.Fraction, len(from))]
}

// onWorkers draws the fault's workers and has begin and end done to each.
func (w *World) onWorkers(f *Fault, random *rand.Rand, begin, end func(*Worker)) func() {
	hit := w.selectWorkers(f, random)
	for _, k := range hit {
		begin(k)
	}
	return func() {
		for _, k := range hit {
			end(k)
		}
	}
}

// onClientGroups has begin and end done to each group of the fault's team.
func (w *World) onClientGroups(f *Fault, begin, end func(*clientGroup)) func() {
	var hit []*clientGroup
	for _, g := range w.groups {
		if f.Team == "" || g.spec.Team == f.Team {
			hit = append(hit, g)
			begin(g)
		}
	}
	return func() {
		for _, g := range hit {
			end(g)
		}
	}
}

// staggerNodes does something to the fault's fraction of the nodes, if they run, one after another over its
// length.
func (w *World) staggerNodes(f *Fault, random *rand.Rand, do func(n *Node)) {
	order := random.Perm(len(w.nodes))
	hit := order[:share(f.Fraction, len(order))]
	for i, number := range hit {
		at := time.Duration(float64(f.Length) * float64(i) / float64(len(hit)))
		w.Clock.After(at, func() {
			if n := w.nodes[number]; !n.down {
				do(n)
			}
		})
	}
}
