package controlapi

import (
	"slices"
	"sync"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// ownershipCache caches the fraction of the shards that each member owns in the latest view. Computing it
// takes thousands of hashes, and views rarely change.
type ownershipCache struct {
	mu        sync.Mutex
	view      placement.View
	fractions map[uint64]float64 // by member
}

func (c *ownershipCache) ownedFractions(v placement.View) map[uint64]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fractions == nil || c.view.Number != v.Number || !slices.Equal(c.view.Members, v.Members) {
		c.view, c.fractions = v, placement.NewTable(v).OwnedFractions()
	}
	return c.fractions
}

// describeOwnership fills in each member's weight and the fraction of the shards that it owns.
func (s *Server) describeOwnership(out *schema.StatusReply, st consensus.Status) {
	fractions := s.ownership.ownedFractions(st.PlacementView)
	weights := map[uint64]float64{}
	for _, m := range st.PlacementView.Members {
		weights[m.Member] = m.Weight
	}
	for _, m := range out.Members {
		m.Owns, m.Weight = fractions[m.Id], weights[m.Id]
	}
}
