package broker

import (
	"moorstack/balancer"
)

// Next hops beyond the subset that this core uses are listed, and to the module they are draining:
// nothing new goes to them, what is out there ends as it may, and what was learned of them is kept.

// ListedEndpoint is a next hop of the route set that takes work, by the list's word.
type ListedEndpoint struct{ Name, Zone string }

// OnListUpdate has f be called after each change of the route set.
func (c *Broker) OnListUpdate(f func()) { c.onList = f }

// ListedEndpoints are the next hops that are listed and take work, bans apart.
func (c *Broker) ListedEndpoints() []ListedEndpoint {
	var list []ListedEndpoint
	for _, h := range c.hops {
		if !h.gone && h.listed.State == balancer.Ready {
			list = append(list, ListedEndpoint{h.name, h.zone})
		}
	}
	return list
}

// SetSubset has the core give work to the named next hops only; nil: to all.
func (c *Broker) SetSubset(names map[string]bool) {
	was := c.uses
	c.uses = names
	for name := range c.ids {
		if (was == nil || was[name]) != (names == nil || names[name]) {
			c.again(name, false)
		}
	}
}

// OnAttemptEnd has f be called with the end of each branch. It must not call back.
func (c *Broker) OnAttemptEnd(f func(name string, res balancer.Result)) { c.onEnd = f }

// SetEjected has the core give nothing to the named next hops until it is called again.
func (c *Broker) SetEjected(names map[string]bool) {
	was := c.shuns
	c.shuns = names
	for name := range c.ids {
		if was[name] != names[name] {
			c.again(name, false)
		}
	}
}

// SubsetSize is how many next hops the core may give work to, of those that are listed and take work.
func (c *Broker) SubsetSize() int {
	n := 0
	for _, l := range c.ListedEndpoints() {
		if c.uses == nil || c.uses[l.Name] {
			n++
		}
	}
	return n
}

// over gives a line of the route set as the module is to see it.
func (c *Broker) over(name string, w balancer.Worker) balancer.Worker {
	w = c.bans.over(name, w)
	if (c.uses != nil && !c.uses[name] || c.shuns[name]) && w.State == balancer.Ready {
		w.State = balancer.Draining
	}
	return w
}
