package controlapi

import (
	"slices"
	"sync"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// owners remembers what each owned in a view: it takes thousands of hashes to work out, and views are few.
type owners struct {
	mu     sync.Mutex
	view   placement.View
	shares map[uint64]float64
}

func (o *owners) of(v placement.View) map[uint64]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shares == nil || o.view.Number != v.Number || !slices.Equal(o.view.Members, v.Members) {
		o.view, o.shares = v, placement.NewTable(v).OwnedFractions()
	}
	return o.shares
}

// describeOwners says which part of what is owned by placement is whose.
func (s *Server) describeOwners(out *schema.StatusReply, st consensus.Status) {
	shares := s.owners.of(st.PlacementView)
	weights := map[uint64]float64{}
	for _, m := range st.PlacementView.Members {
		weights[m.Member] = m.Weight
	}
	for _, m := range out.Members {
		m.Owns, m.Weight = shares[m.Id], weights[m.Id]
	}
}
