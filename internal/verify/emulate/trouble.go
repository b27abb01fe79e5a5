package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind string   `toml:"kind"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`
	Part float64  `toml:"part"` // of the workers, or of the nodes
	Size float64  `toml:"size"` // what it means depends on the kind
	Zone string   `toml:"zone"`
	Team string   `toml:"team"`

	Class string `toml:"class"`
}

// kinds of trouble, and what Size means.
var kinds = map[string]string{
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

func (s *Scenario) checkTrouble(i int) error {
	t := &s.Troubles[i]
	means, known := kinds[t.Kind]
	if !known {
		return s.wrong("trouble", i, "%q is no kind of trouble; there are %v", t.Kind,
			slices.Sorted(maps.Keys(kinds)))
	}
	if t.At < 0 || t.For <= 0 || t.Part < 0 || t.Part > 1 {
		return s.wrong("trouble", i, "%s: at and for must be times, and part from 0 to 1", t.Kind)
	}
	if means != "" && !(t.Size > 0) {
		return s.wrong("trouble", i, "%s: size must be above 0: %s", t.Kind, means)
	}
	if t.Kind == "zone-lost" && !slices.Contains(s.Zones, t.Zone) {
		return s.wrong("trouble", i, "zone-lost: there is no zone %q", t.Zone)
	}
	named := func(c ClassSpec) bool { return c.Name == t.Class }
	if t.Kind == "grey" && !slices.ContainsFunc(s.Classes, named) {
		return s.wrong("trouble", i, "grey: there is no class %q", t.Class)
	}
	return nil
}

// plan has a trouble begin and end at its times.
func (w *World) plan(t *Trouble, n int) {
	rng := w.streams.Of("troubles", n)
	w.Clock.At(time.Duration(t.At), func() {
		if end := w.begin(t, rng); end != nil {
			w.Clock.After(time.Duration(t.For), end)
		}
	})
}

// some draws a part of the workers, one at the least.
func (w *World) some(t *Trouble, rng *rand.Rand) []*Worker {
	var from []*Worker
	for i, k := range w.workers {
		if t.Zone == "" || w.sc.Zones[w.workers[i].Zone] == t.Zone {
			from = append(from, k)
		}
	}
	if t.Kind == "zone-lost" {
		return from
	}
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(max(int(t.Part*float64(len(from))+0.5), 1), len(from))]
}

func (w *World) begin(t *Trouble, rng *rand.Rand) (end func()) {
	switch t.Kind {
	case "crash", "zone-lost":
		hit := w.some(t, rng)
		return w.each(hit, func(k *Worker) {
			k.Crash()
			w.list.changed(k)
		}, func(k *Worker) {
			if !k.fell {
				k.Start()
				w.list.changed(k)
			}
		})
	case "slow":
		return w.each(w.some(t, rng), func(k *Worker) { k.Slow(t.Size) }, func(k *Worker) { k.Slow(1) })
	case "errors":
		return w.each(
			w.some(t, rng),
			func(k *Worker) { k.failing = t.Size },
			func(k *Worker) { k.failing = 0 },
		)
	case "cut":
		return w.each(w.some(t, rng), func(k *Worker) { k.lossy = true }, func(k *Worker) { k.lossy = false })
	case "drain":
		return w.each(w.some(t, rng), func(k *Worker) {
			k.drains = true
			w.list.changed(k)
		}, func(k *Worker) {
			k.Crash()
			k.Start()
			w.list.changed(k)
		})
	case "grey":
		return w.each(w.some(t, rng),
			func(k *Worker) { k.grey, k.greyBy = t.Class, t.Size },
			func(k *Worker) { k.grey = "" })
	case "maintain":
		return w.maintain(t, rng)
	case "replace":
		w.inTurn(t, rng, w.replace)
	case "restart":
		w.restart(t, rng)
	case "stale":
		w.list.late = time.Duration(t.Size * 1e9)
		return func() { w.list.late = 0 }
	case "list-down":
		w.list.crash(true)
		return func() { w.list.crash(false) }
	case "deaf":
		w.list.deafen(t.Part, rng)
	case "heavy":
		return w.groupsOf(t, func(g *group) { g.heavyShare, g.heavySum = t.Part, t.Size },
			func(g *group) { g.heavyShare = 0 })
	case "flood":
		return w.groupsOf(t, func(g *group) { g.rateBy = t.Size }, func(g *group) { g.rateBy = 0 })
	case "retry-storm":
		for i := range w.sc.Clients {
			spec := w.sc.Clients[i]
			w.groups[i].spec = &spec
		}
		was := make([]ClientGroup, len(w.groups))
		return w.groupsOf(t, func(g *group) {
			was[slices.Index(w.groups, g)] = *g.spec
			g.spec.Retries, g.spec.Blind, g.spec.Backoff = int(t.Size), true, Duration(10*time.Millisecond)
		}, func(g *group) { *g.spec = was[slices.Index(w.groups, g)] })
	}
	return nil
}

func (w *World) each(hit []*Worker, begin, end func(*Worker)) func() {
	for _, k := range hit {
		begin(k)
	}
	return func() {
		for _, k := range hit {
			end(k)
		}
	}
}

func (w *World) groupsOf(t *Trouble, begin, end func(*group)) func() {
	var hit []*group
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

// inTurn does something to a part of the nodes that run, one after another over the time.
func (w *World) inTurn(t *Trouble, rng *rand.Rand, do func(n *Node)) {
	order := rng.Perm(len(w.nodes))
	hit := order[:min(max(int(t.Part*float64(len(order))+0.5), 1), len(order))]
	for i, number := range hit {
		at := time.Duration(float64(t.For) * float64(i) / float64(len(hit)))
		w.Clock.After(at, func() {
			if n := w.nodes[number]; !n.down {
				do(n)
			}
		})
	}
}

// restart has nodes die one after another over the time, each to come back a moment
// later with the list that there was when it went.
func (w *World) restart(t *Trouble, rng *rand.Rand) {
	w.inTurn(t, rng, func(n *Node) {
		known := w.list.snapshot(0)
		n.kill()
		w.Clock.After(time.Second, func() { n.start(known) })
	})
}
