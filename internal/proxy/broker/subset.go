package broker

import (
	"moorstack/balancer"
)

// ListedEndpoint is an endpoint whose state in the endpoint list is ready.
type ListedEndpoint struct{ Name, Zone string }

// OnListUpdate sets a function that is called after each update of the endpoint list.
func (b *Broker) OnListUpdate(f func()) { b.onListUpdate = f }

// OnAttemptEnd sets a function that is called when an attempt has ended. It must not call the broker.
func (b *Broker) OnAttemptEnd(f func(name string, res balancer.Result)) { b.onAttemptEnd = f }

// ListedEndpoints returns the endpoints whose state in the endpoint list is ready, including those under
// maintenance, in no particular order.
func (b *Broker) ListedEndpoints() []ListedEndpoint {
	var list []ListedEndpoint
	for _, e := range b.endpoints {
		if !e.removed && e.listed.State == balancer.Ready {
			list = append(list, ListedEndpoint{e.name, e.zone})
		}
	}
	return list
}

// SetSubset restricts new attempts to the named endpoints; nil removes the restriction.
func (b *Broker) SetSubset(names map[string]bool) {
	before := b.subset
	b.subset = names
	for name := range b.idByName {
		if (before == nil || before[name]) != (names == nil || names[name]) {
			b.refresh(name)
		}
	}
}

// SetEjected sets which endpoints the group has ejected as outliers. They get no new attempts until a later
// call leaves them out.
func (b *Broker) SetEjected(names map[string]bool) {
	before := b.ejected
	b.ejected = names
	for name := range b.idByName {
		if before[name] != names[name] {
			b.refresh(name)
		}
	}
}

// SubsetSize returns the number of endpoints in the subset whose state in the endpoint list is ready.
func (b *Broker) SubsetSize() int {
	n := 0
	for _, e := range b.ListedEndpoints() {
		if b.subset == nil || b.subset[e.Name] {
			n++
		}
	}
	return n
}
