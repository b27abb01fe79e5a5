package broker

import (
	"moorstack/balancer"
)

// ListedEndpoint is an endpoint that the endpoint list has as ready.
type ListedEndpoint struct{ Name, Zone string }

// OnListUpdate has f be called after each update of the endpoint list.
func (b *Broker) OnListUpdate(f func()) { b.onListUpdate = f }

// OnAttemptEnd has f be called with the end of each attempt. It must not call the broker.
func (b *Broker) OnAttemptEnd(f func(name string, res balancer.Result)) { b.onAttemptEnd = f }

// ListedEndpoints are the endpoints that the list has as ready, also those under maintenance, in no order.
func (b *Broker) ListedEndpoints() []ListedEndpoint {
	var list []ListedEndpoint
	for _, e := range b.endpoints {
		if !e.removed && e.listed.State == balancer.Ready {
			list = append(list, ListedEndpoint{e.name, e.zone})
		}
	}
	return list
}

// SetSubset has only the named endpoints get new attempts; nil: all of them.
func (b *Broker) SetSubset(names map[string]bool) {
	before := b.subset
	b.subset = names
	for name := range b.idByName {
		if (before == nil || before[name]) != (names == nil || names[name]) {
			b.refresh(name)
		}
	}
}

// SetEjected has the named endpoints, which the group's outlier verdicts exclude, get no new attempts until
// it is called again.
func (b *Broker) SetEjected(names map[string]bool) {
	before := b.ejected
	b.ejected = names
	for name := range b.idByName {
		if before[name] != names[name] {
			b.refresh(name)
		}
	}
}

// SubsetSize is the number of listed, ready endpoints that are within the subset.
func (b *Broker) SubsetSize() int {
	n := 0
	for _, e := range b.ListedEndpoints() {
		if b.subset == nil || b.subset[e.Name] {
			n++
		}
	}
	return n
}
