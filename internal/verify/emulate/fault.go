package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a temporary failure or overload.
type Fault struct {
	Kind      string   `json:"Kind" toml:"kind"`
	Start     Duration `json:"At" toml:"at"`
	Length    Duration `json:"For" toml:"for"`
	Fraction  float64  `json:"Part" toml:"part"` // of workers, nodes, watches or jobs, depending on the kind
	Magnitude float64  `json:"Size" toml:"size"` // see faultKind.magnitude
	Zone      string   `json:"Zone" toml:"zone"` // of the affected workers; empty: any
	Team      string   `json:"Team" toml:"team"` // of the affected clients; empty: all
	Class     string   `json:"Class" toml:"class"`
}

// Fault kinds that validation or random generation treats specially, by their names in scenario files.
const (
	faultSlowClass = "grey"
	faultHeavyJobs = "heavy"
	faultFlood     = "flood"
	faultZoneLost  = "zone-lost"
)

// faultKind describes a kind of fault.
type faultKind struct {
	magnitude string // meaning of Fault.Magnitude; empty: unused
	// start begins the fault and returns the function that ends it, or nil if the fault ends by itself.
	start func(w *World, f *Fault, random *rand.Rand) (end func())
}

// faultKinds maps the names used in scenario files to fault kinds.
var faultKinds = map[string]faultKind{
	"crash":        {"", (*World).crashWorkers},
	"slow":         {"slowdown factor", (*World).slowWorkers},
	"errors":       {"share of jobs that fail", (*World).failJobs},
	"cut":          {"", (*World).partitionWorkers},
	"drain":        {"", (*World).drainWorkers},
	"restart":      {"", (*World).restartNodes},
	"stale":        {"seconds of added delay", (*World).delayList},
	"list-down":    {"", (*World).stopDiscovery},
	"deaf":         {"", (*World).silenceWatches},
	faultHeavyJobs: {"factor on the job size", (*World).sendHeavyJobs},
	faultFlood:     {"factor on the job rate", (*World).floodWithJobs},
	faultSlowClass: {"slowdown factor", (*World).slowOneClass},
	"maintain":     {"", (*World).maintainWorkers},
	"replace":      {"", (*World).hotRestartNodes},
	faultZoneLost:  {"", (*World).crashWorkers},
	"retry-storm":  {"retries per job", (*World).ignoreRetryAfter},
}

func (s *Scenario) validateFault(i int) error {
	f := &s.Faults[i]
	kind, known := faultKinds[f.Kind]
	if !known {
		return s.errorAt("trouble", i, "unknown kind %q, must be one of %v", f.Kind,
			slices.Sorted(maps.Keys(faultKinds)))
	}
	if f.Start < 0 || f.Length <= 0 || f.Fraction < 0 || f.Fraction > 1 {
		return s.errorAt("trouble", i,
			"%s: at must not be negative, for must be above 0 and part between 0 and 1", f.Kind)
	}
	if kind.magnitude != "" && !(f.Magnitude > 0) {
		return s.errorAt("trouble", i, "%s: size must be above 0: %s", f.Kind, kind.magnitude)
	}
	if f.Kind == faultZoneLost && !slices.Contains(s.Zones, f.Zone) {
		return s.errorAt("trouble", i, "zone-lost: unknown zone %q", f.Zone)
	}
	named := func(c ClassSpec) bool { return c.Name == f.Class }
	if f.Kind == faultSlowClass && !slices.ContainsFunc(s.Classes, named) {
		return s.errorAt("trouble", i, "grey: unknown class %q", f.Class)
	}
	return nil
}

// scheduleFault schedules the start and the end of a fault.
func (w *World) scheduleFault(f *Fault, number int) {
	random := w.streams.Source("troubles", number)
	w.Clock.At(time.Duration(f.Start), func() {
		if end := faultKinds[f.Kind].start(w, f, random); end != nil {
			w.Clock.After(time.Duration(f.Length), end)
		}
	})
}

// countOf returns the number of items in a fraction of n, rounded, and at least 1.
func countOf(fraction float64, n int) int {
	return min(max(int(float64(fraction*float64(n))+0.5), 1), n)
}

// selectWorkers draws the workers that the fault affects.
func (w *World) selectWorkers(f *Fault, random *rand.Rand) []*Worker {
	var eligible []*Worker
	for _, k := range w.workers {
		if f.Zone == "" || w.scenario.Zones[k.Zone] == f.Zone {
			eligible = append(eligible, k)
		}
	}
	if f.Kind == faultZoneLost {
		return eligible
	}
	random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:countOf(f.Fraction, len(eligible))]
}

// applyToWorkers calls begin with each worker that the fault affects, and returns a function that calls end
// with each of them.
func (w *World) applyToWorkers(f *Fault, random *rand.Rand, begin, end func(*Worker)) func() {
	affected := w.selectWorkers(f, random)
	for _, k := range affected {
		begin(k)
	}
	return func() {
		for _, k := range affected {
			end(k)
		}
	}
}

// applyToClientGroups calls begin with each client group of the fault's team, and returns a function that
// calls end with each of them.
func (w *World) applyToClientGroups(f *Fault, begin, end func(*clientGroup)) func() {
	var affected []*clientGroup
	for _, g := range w.groups {
		if f.Team == "" || g.spec.Team == f.Team {
			affected = append(affected, g)
			begin(g)
		}
	}
	return func() {
		for _, g := range affected {
			end(g)
		}
	}
}

// staggerNodes calls do with a random fraction of the nodes, evenly spread over the fault's length. Nodes
// that are down when their turn comes are skipped.
func (w *World) staggerNodes(f *Fault, random *rand.Rand, do func(n *Node)) {
	order := random.Perm(len(w.nodes))
	affected := order[:countOf(f.Fraction, len(order))]
	for i, number := range affected {
		at := time.Duration(float64(f.Length) * float64(i) / float64(len(affected)))
		w.Clock.After(at, func() {
			if n := w.nodes[number]; !n.down {
				do(n)
			}
		})
	}
}
