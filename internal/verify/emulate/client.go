package emulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/portablemath"
)

// clientGroup generates the jobs of one team's clients in one zone.
type clientGroup struct {
	world    *World
	spec     *ClientGroup
	tenant   int // index of the team's tenant in the settings; -1 if it has none
	mixTotal float64
	stopped  bool // set at the end of the scenario: no more jobs arrive

	// Each concern has its own source, so additional draws from one do not change the others.
	arrivalRandom, sizeRandom, behaviorRandom *rand.Rand

	// Active faults. A rateFactor of 0 leaves the rate unchanged.
	rateFactor              float64
	heavyShare, heavyFactor float64
}

func newClientGroup(w *World, index int) *clientGroup {
	g := &clientGroup{
		world:          w,
		spec:           &w.scenario.Clients[index],
		arrivalRandom:  w.streams.Source("arrivals", index),
		sizeRandom:     w.streams.Source("sizes", index),
		behaviorRandom: w.streams.Source("habits", index),
	}
	for _, share := range g.spec.Mix {
		g.mixTotal += share
	}
	isTeam := func(t balancer.Tenant) bool { return t.Name == g.spec.Team }
	g.tenant = slices.IndexFunc(w.settings.Tenants, isTeam)
	return g
}

// scheduleArrival schedules the next arrival, which in turn schedules the one after it.
func (g *clientGroup) scheduleArrival() {
	rate := g.spec.Rate
	if g.rateFactor > 0 {
		rate *= g.rateFactor
	}
	g.world.Clock.After(time.Duration(portablemath.Exponential(g.arrivalRandom)/rate*1e9), func() {
		if g.stopped {
			return
		}
		g.createJob()
		g.scheduleArrival()
	})
}

// drawClass draws a class by the weights of the group's mix and returns its index in the scenario.
func (g *clientGroup) drawClass() int {
	at, pick := g.behaviorRandom.Float64()*g.mixTotal, 0
	for pick < len(g.spec.Mix)-1 && at >= g.spec.Mix[pick] {
		at -= g.spec.Mix[pick]
		pick++
	}
	isPick := func(c ClassSpec) bool { return c.Name == g.spec.Classes[pick] }
	return slices.IndexFunc(g.world.scenario.Classes, isPick)
}

// createJob creates a job and submits it.
func (g *clientGroup) createJob() {
	w := g.world
	index := g.drawClass()
	class := &w.scenario.Classes[index]
	w.jobCount++
	j := &job{world: w, group: g, class: class, classIndex: index, size: class.Size.draw(g.sizeRandom),
		arrivedAt: w.Clock.now, deadline: w.Clock.now + time.Duration(class.Timeout)}
	if g.heavyShare > 0 && g.sizeRandom.Float64() < g.heavyShare {
		j.size *= g.heavyFactor
	}
	j.key = fmt.Sprint("k", w.jobCount)
	w.openJobs++
	w.metrics.arrived(j)
	j.submit()
}
