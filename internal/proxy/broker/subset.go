package broker

import (
	"moorstack/balancer"
)

// Next hops beyond the subset that this core uses are listed, and to the module they are draining:
// nothing new goes to them, what is out there ends as it may, and what was learned of them is kept.

// Listing is a next hop of the route set that takes work, by the list's word.
type Listing struct{ Name, Zone string }

// OnList has f be called after each change of the route set.
func (c *Core) OnList(f func()) { c.onList = f }

// Listings are the next hops that are listed and take work, bans apart.
func (c *Core) Listings() []Listing {
	var list []Listing
	for _, h := range c.hops {
		if !h.gone && h.listed.State == balancer.Ready {
			list = append(list, Listing{h.name, h.zone})
		}
	}
	return list
}

// Use has the core give work to the named next hops only; nil: to all.
func (c *Core) Use(names map[string]bool) {
	was := c.uses
	c.uses = names
	for name := range c.ids {
		if (was == nil || was[name]) != (names == nil || names[name]) {
			c.again(name, false)
		}
	}
}

// OnEnd has f be called with the end of each branch. It must not call back.
func (c *Core) OnEnd(f func(name string, res balancer.Result)) { c.onEnd = f }

// Shun has the core give nothing to the named next hops until it is called again.
func (c *Core) Shun(names map[string]bool) {
	was := c.shuns
	c.shuns = names
	for name := range c.ids {
		if was[name] != names[name] {
			c.again(name, false)
		}
	}
}

// Used is how many next hops the core may give work to, of those that are listed and take work.
func (c *Core) Used() int {
	n := 0
	for _, l := range c.Listings() {
		if c.uses == nil || c.uses[l.Name] {
			n++
		}
	}
	return n
}

// over gives a line of the route set as the module is to see it.
func (c *Core) over(name string, w balancer.Worker) balancer.Worker {
	w = c.bans.over(name, w)
	if (c.uses != nil && !c.uses[name] || c.shuns[name]) && w.State == balancer.Ready {
		w.State = balancer.Draining
	}
	return w
}
