package broker

import (
	"errors"
	"time"

	"moorstack/balancer"
)

// ErrNeverListed is the answer to a ban of a next hop that was never in the route set.
var ErrNeverListed = errors.New("no trip worker of this id was ever listed")

// most names of next hops that are remembered once they have left the route set.
const mostNames = 1 << 16

// bans are the operators' word on next hops, by name: an overlay on the route set, which
// the core keeps as it is listed. The module learns of a ban as of a drain.
//
// Hazard: whatever the list says meanwhile, a restart under the same name, a gap with a
// whole new list or the next hop's leaving and coming back must not lift a ban.
type bans struct {
	out   map[string]time.Duration // who is banned, since when
	back  map[string]term          // who was put back, and is not listed as started since
	known map[string]struct{}      // who was ever listed
}

// term is the time of a ban that has ended.
type term struct{ began, ended time.Duration }

func newBans() bans {
	return bans{out: map[string]time.Duration{}, back: map[string]term{}, known: map[string]struct{}{}}
}

// listed notes that the route set names a next hop.
func (b *bans) listed(name string) {
	if len(b.known) < mostNames { // hazard: a list that names new ones for ever
		b.known[name] = struct{}{}
	}
}

// over gives a line of the route set as the module is to see it.
func (b *bans) over(name string, w balancer.Worker) balancer.Worker {
	if _, out := b.out[name]; out {
		if w.State == balancer.Ready {
			w.State = balancer.Draining
		}
		return w
	}
	if t, ok := b.back[name]; ok && w.State != balancer.Removed {
		// Hazard: it was restarted during its ban and is cold, and the list, which is late,
		// does not tell so yet. Until it does, it counts as started when it was put back.
		if w.StartedAt > t.began {
			delete(b.back, name)
		} else {
			w.StartedAt = t.ended
		}
	}
	return w
}

// EverListed says whether a next hop of this name was ever in the route set.
func (c *Broker) EverListed(name string) bool {
	_, ok := c.bans.known[name]
	return ok
}

// StartMaintenance takes a next hop out, by the operators' word, until Unban: from now on nothing new
// goes to it. Banned twice is banned once.
func (c *Broker) StartMaintenance(name string) { c.StartMaintenanceSince(name, c.clock.Now()) }

// StartMaintenanceSince is Ban for one that began earlier, as another process tells it.
func (c *Broker) StartMaintenanceSince(name string, since time.Duration) {
	if _, out := c.bans.out[name]; out {
		return
	}
	c.bans.out[name] = since
	delete(c.bans.back, name)
	c.again(name, false)
}

// EndMaintenance puts a next hop back and reports whether it was banned.
func (c *Broker) EndMaintenance(name string) bool {
	since, out := c.bans.out[name]
	if !out {
		return false
	}
	delete(c.bans.out, name)
	c.bans.back[name] = term{since, c.clock.Now()}
	c.again(name, true)
	return true
}

// UnderMaintenance are the next hops that are banned, and since when.
func (c *Broker) UnderMaintenance() map[string]time.Duration { return c.bans.out }

// again tells the module of a next hop as it stands now.
func (c *Broker) again(name string, back bool) {
	id, ok := c.ids[name]
	if !ok {
		return // it is not listed now; once it is, the overlay holds
	}
	h := c.hops[id]
	if h == nil || h.gone {
		return
	}
	w := c.over(name, h.listed)
	c.do(func() {
		c.bal.UpdateWorkers(c.clock.Now(), balancer.ListDelta, []balancer.Worker{w})
		if back {
			c.bal.EndMaintenance(id)
		}
	})
}

// DiscoveredCount is how many next hops are listed.
func (c *Broker) DiscoveredCount() int {
	n := 0
	for _, h := range c.hops {
		if !h.gone {
			n++
		}
	}
	return n
}

// EjectedCount is how many of the listed next hops are avoided now: banned, or, as the module
// says, not trusted. A drain that the list tells of is neither by hand nor by choice.
func (c *Broker) EjectedCount() int {
	n := c.bal.EjectedCount(c.clock.Now())
	for name := range c.bans.out {
		if h := c.hops[c.ids[name]]; h != nil && h.name == name && !h.gone {
			n++
		}
	}
	return n
}
