package controlapi

import (
	"slices"
	"time"

	"moorstack/internal/schema"
)

// MemberState is what is believed of an instance: by probes and rumours, and no more than that.
type MemberState struct {
	State          string
	Duration       time.Duration
	SuspectedBy    []uint64      // who suspects it
	UnreachableFor time.Duration // for so long the called instance's probes have not got through; 0: they do
}

// describeMembership adds what is believed of each instance.
func (s *Server) describeMembership(out *schema.StatusReply) {
	for _, m := range out.Members {
		x, known := s.host.MemberState(m.Id)
		if !known {
			continue
		}
		m.Seems, m.SeemsS, m.UnreachedS = x.State, x.Duration.Seconds(), x.UnreachableFor.Seconds()
		for _, by := range x.SuspectedBy {
			k := slices.IndexFunc(out.Members, func(o *schema.MemberStatus) bool { return o.Id == by })
			if k >= 0 {
				m.SeemsBy = append(m.SeemsBy, out.Members[k].Name)
			}
		}
	}
}
