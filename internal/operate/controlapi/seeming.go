package controlapi

import (
	"slices"
	"time"

	"moorstack/internal/schema"
)

// Seeming is what is believed of an instance: by probes and rumours, and no more than that.
type Seeming struct {
	State     string
	For       time.Duration
	By        []uint64      // who suspects it
	Unreached time.Duration // for so long the called instance's probes have not got through; 0: they do
}

// describeSeeming adds what is believed of each instance.
func (s *Server) describeSeeming(out *schema.StatusReply) {
	for _, m := range out.Members {
		x, known := s.host.Seems(m.Id)
		if !known {
			continue
		}
		m.Seems, m.SeemsS, m.UnreachedS = x.State, x.For.Seconds(), x.Unreached.Seconds()
		for _, by := range x.By {
			k := slices.IndexFunc(out.Members, func(o *schema.MemberStatus) bool { return o.Id == by })
			if k >= 0 {
				m.SeemsBy = append(m.SeemsBy, out.Members[k].Name)
			}
		}
	}
}
