package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind      string   `json:"Kind" toml:"kind"`
	Start     Duration `json:"At" toml:"at"`
	Length    Duration `json:"For" toml:"for"`
	Fraction  float64  `json:"Part" toml:"part"` // of the workers, or of the nodes
	Magnitude float64  `json:"Size" toml:"size"` // what it means depends on the kind
	Zone      string   `json:"Zone" toml:"zone"`
	Team      string   `json:"Team" toml:"team"`

	Class string `json:"Class" toml:"class"`
}

// faultKinds of trouble, and what Size means.
var faultKinds = map[string]string{
	"crash":       "",                              // workers die and come back cold
	"slow":        "how many times slower",         // workers run slower
	"errors":      "the share of jobs that fail",   // workers fail fast
	"cut":         "",                              // workers are cut off, and nothing says so
	"drain":       "",                              // workers drain and come back as new ones
	"restart":     "",                              // nodes come back with nothing but their last list
	"stale":       "seconds of added delay",        // the list is later than usual
	"list-down":   "",                              // the list service is down
	"deaf":        "",                              // a part of the nodes' open watches say nothing more
	"heavy":       "how many times a usual job",    // Part of the jobs are heavy
	"flood":       "how many times the usual rate", // a team's clients, or all
	"grey":        "how many times slower",         // workers run one class slower, and look well
	"maintain":    "",                              // operators take workers out, restart them, put them back
	"replace":     "",                              // nodes are replaced by another process while they serve
	"zone-lost":   "",                              // all workers of a zone die at once
	"retry-storm": "retries for each client",       // clients retry at once and heed nothing
}

func (s *Scenario) validateFault(i int) error {
	t := &s.Faults[i]
	means, known := faultKinds[t.Kind]
	if !known {
		return s.errorAt("trouble", i, "%q is no kind of trouble; there are %v", t.Kind,
			slices.Sorted(maps.Keys(faultKinds)))
	}
	if t.Start < 0 || t.Length <= 0 || t.Fraction < 0 || t.Fraction > 1 {
		return s.errorAt("trouble", i, "%s: at and for must be times, and part from 0 to 1", t.Kind)
	}
	if means != "" && !(t.Magnitude > 0) {
		return s.errorAt("trouble", i, "%s: size must be above 0: %s", t.Kind, means)
	}
	if t.Kind == "zone-lost" && !slices.Contains(s.Zones, t.Zone) {
		return s.errorAt("trouble", i, "zone-lost: there is no zone %q", t.Zone)
	}
	named := func(c ClassSpec) bool { return c.Name == t.Class }
	if t.Kind == "grey" && !slices.ContainsFunc(s.Classes, named) {
		return s.errorAt("trouble", i, "grey: there is no class %q", t.Class)
	}
	return nil
}

// scheduleFault has a trouble begin and end at its times.
func (w *World) scheduleFault(t *Fault, n int) {
	rng := w.streams.Source("troubles", n)
	w.Clock.At(time.Duration(t.Start), func() {
		if end := w.startFault(t, rng); end != nil {
			w.Clock.After(time.Duration(t.Length), end)
		}
	})
}

// selectWorkers draws a part of the workers, one at the least.
func (w *World) selectWorkers(t *Fault, rng *rand.Rand) []*Worker {
	var from []*Worker
	for i, k := range w.workers {
		if t.Zone == "" || w.scenario.Zones[w.workers[i].Zone] == t.Zone {
			from = append(from, k)
		}
	}
	if t.Kind == "zone-lost" {
		return from
	}
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(max(int(t.Fraction*float64(len(from))+0.5), 1), len(from))]
}

func (w *World) startFault(t *Fault, rng *rand.Rand) (end func()) {
	switch t.Kind {
	case "crash", "zone-lost":
		hit := w.selectWorkers(t, rng)
		return w.onWorkers(hit, func(k *Worker) {
			k.Crash()
			w.discovery.workerChanged(k)
		}, func(k *Worker) {
			if !k.collapsed {
				k.Restart()
				w.discovery.workerChanged(k)
			}
		})
	case "slow":
		return w.onWorkers(w.selectWorkers(t, rng), func(k *Worker) { k.SetSlowdown(t.Magnitude) },
			func(k *Worker) { k.SetSlowdown(1) })
	case "errors":
		return w.onWorkers(
			w.selectWorkers(t, rng),
			func(k *Worker) { k.failureShare = t.Magnitude },
			func(k *Worker) { k.failureShare = 0 },
		)
	case "cut":
		return w.onWorkers(w.selectWorkers(t, rng), func(k *Worker) { k.partitioned = true },
			func(k *Worker) { k.partitioned = false })
	case "drain":
		return w.onWorkers(w.selectWorkers(t, rng), func(k *Worker) {
			k.draining = true
			w.discovery.workerChanged(k)
		}, func(k *Worker) {
			k.Crash()
			k.Restart()
			w.discovery.workerChanged(k)
		})
	case "grey":
		return w.onWorkers(w.selectWorkers(t, rng),
			func(k *Worker) { k.slowClass, k.slowClassFactor = t.Class, t.Magnitude },
			func(k *Worker) { k.slowClass = "" })
	case "maintain":
		return w.maintainWorkers(t, rng)
	case "replace":
		w.staggerNodes(t, rng, w.replaceNode)
	case "restart":
		w.restartNodes(t, rng)
	case "stale":
		w.discovery.extraDelay = time.Duration(t.Magnitude * 1e9)
		return func() { w.discovery.extraDelay = 0 }
	case "list-down":
		w.discovery.setDown(true)
		return func() { w.discovery.setDown(false) }
	case "deaf":
		w.discovery.silenceWatches(t.Fraction, rng)
	case "heavy":
		return w.onClientGroups(t, func(g *clientGroup) {
			g.heavyShare, g.heavyFactor = t.Fraction,
				t.Magnitude
		},
			func(g *clientGroup) { g.heavyShare = 0 })
	case "flood":
		return w.onClientGroups(t, func(g *clientGroup) { g.rateFactor = t.Magnitude },
			func(g *clientGroup) { g.rateFactor = 0 })
	case "retry-storm":
		for i := range w.scenario.Clients {
			spec := w.scenario.Clients[i]
			w.groups[i].spec = &spec
		}
		was := make([]ClientGroup, len(w.groups))
		return w.onClientGroups(t, func(g *clientGroup) {
			was[slices.Index(w.groups, g)] = *g.spec
			g.spec.Retries, g.spec.IgnoreRetryAfter, g.spec.Backoff = int(t.Magnitude), true,
				Duration(10*time.Millisecond)
		}, func(g *clientGroup) { *g.spec = was[slices.Index(w.groups, g)] })
	}
	return nil
}

func (w *World) onWorkers(hit []*Worker, begin, end func(*Worker)) func() {
	for _, k := range hit {
		begin(k)
	}
	return func() {
		for _, k := range hit {
			end(k)
		}
	}
}

func (w *World) onClientGroups(t *Fault, begin, end func(*clientGroup)) func() {
	var hit []*clientGroup
	for _, g := range w.groups {
		if t.Team == "" || g.spec.Team == t.Team {
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

// staggerNodes does something to a part of the nodes that run, one after another over the time.
func (w *World) staggerNodes(t *Fault, rng *rand.Rand, do func(n *Node)) {
	order := rng.Perm(len(w.nodes))
	hit := order[:min(max(int(t.Fraction*float64(len(order))+0.5), 1), len(order))]
	for i, number := range hit {
		at := time.Duration(float64(t.Length) * float64(i) / float64(len(hit)))
		w.Clock.After(at, func() {
			if n := w.nodes[number]; !n.down {
				do(n)
			}
		})
	}
}

// restartNodes has nodes die one after another over the time, each to come back a moment
// later with the list that there was when it went.
func (w *World) restartNodes(t *Fault, rng *rand.Rand) {
	w.staggerNodes(t, rng, func(n *Node) {
		known := w.discovery.snapshot(0)
		n.kill()
		w.Clock.After(time.Second, func() { n.start(known) })
	})
}
