package routing

import (
	"fmt"
	"slices"
	"strings"

	"moorstack/balancer"
)

// pool is a compiled PoolSpec.
type pool struct {
	name         string
	zones, kinds []bool // by zone or kind number; nil: any
	cells        []int  // nil: any
	labels       []string
}

func (p *pool) contains(w *balancer.Worker) bool {
	if p.zones != nil && (w.Zone < 0 || w.Zone >= len(p.zones) || !p.zones[w.Zone]) {
		return false
	}
	if p.kinds != nil && (w.Kind < 0 || w.Kind >= len(p.kinds) || !p.kinds[w.Kind]) {
		return false
	}
	if p.cells != nil && !slices.Contains(p.cells, w.Cell) {
		return false
	}
	for _, l := range p.labels {
		if !slices.Contains(w.Labels, l) {
			return false
		}
	}
	return true
}

// Route is a list of pools in order of preference. A worker in several pools belongs to the first of them.
type Route struct {
	pools     []*pool
	spillover Spillover
}

var _ balancer.Route = (*Route)(nil)

// TierCount implements balancer.Route. Each pool is a tier.
func (r *Route) TierCount() int { return len(r.pools) }

// Tier implements balancer.Route.
func (r *Route) Tier(w *balancer.Worker) int {
	for i, p := range r.pools {
		if p.contains(w) {
			return i
		}
	}
	return -1
}

// SpillsOver implements balancer.Route.
func (r *Route) SpillsOver(_ int, busy bool) bool {
	return r.spillover == SpillIfBusy || r.spillover == SpillIfEmpty && !busy
}

// PoolNames returns the names of the pools in order of preference.
func (r *Route) PoolNames() []string {
	names := make([]string, len(r.pools))
	for i, p := range r.pools {
		names[i] = p.name
	}
	return names
}

// String lists the pools in order of preference, and when a job spills over to the next.
func (r *Route) String() string {
	if len(r.pools) == 1 {
		return r.pools[0].name
	}
	return fmt.Sprintf("%s (spillover: %s)", strings.Join(r.PoolNames(), ", then "), r.spillover)
}
