package emulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
)

// clientGroup is the clients of one team in one zone.
type clientGroup struct {
	world    *World
	spec     *ClientGroup
	tenant   int // below 0: the team is none of the settings
	mixTotal float64
	stopped  bool // the scenario is over: no more jobs arrive

	// One source a concern: to draw more from one shifts no other.
	arrivalRandom, sizeRandom, behaviorRandom *rand.Rand

	// Faults. A rate factor of 0 is none.
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

// scheduleArrival has the next job arrive, and the ones after it.
func (g *clientGroup) scheduleArrival() {
	rate := g.spec.Rate
	if g.rateFactor > 0 {
		rate *= g.rateFactor
	}
	g.world.Clock.After(time.Duration(g.arrivalRandom.ExpFloat64()/rate*1e9), func() {
		if g.stopped {
			return
		}
		g.createJob()
		g.scheduleArrival()
	})
}

// drawClass picks a class by the group's mix, as an index of the scenario's classes.
func (g *clientGroup) drawClass() int {
	at, pick := g.behaviorRandom.Float64()*g.mixTotal, 0
	for pick < len(g.spec.Mix)-1 && at >= g.spec.Mix[pick] {
		at -= g.spec.Mix[pick]
		pick++
	}
	isPick := func(c ClassSpec) bool { return c.Name == g.spec.Classes[pick] }
	return slices.IndexFunc(g.world.scenario.Classes, isPick)
}

// createJob has a job arrive, and its client submit it.
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
