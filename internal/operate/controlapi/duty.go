package controlapi

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// Duties implements schema.ControlServer. It answers also where there is no leader.
func (s *Server) Duties(ctx context.Context, _ *schema.DutiesRequest) (*schema.DutiesReply, error) {
	st := s.host.Runner().Status()
	out := &schema.DutiesReply{CutOff: st.CutOff}
	err := s.host.Runner().View(ctx, func(a *clusterstate.State) {
		out.Number = a.Duties().Number
		name := func(member uint64) string {
			if m, ok := a.Member(member); ok {
				return m.Name
			}
			return fmt.Sprintf("%x, which is gone", member)
		}
		for _, d := range a.Duties().List() {
			out.Duties = append(out.Duties, describeDuty(d, name))
		}
	})
	if err != nil {
		return nil, failure(err)
	}
	for _, h := range s.host.Holds() {
		for _, d := range out.Duties {
			if d.Name == h.Duty && d.Number == h.Number {
				d.LeaseS = max(h.Until-consensus.Boottime(), 0).Seconds()
			}
		}
	}
	return out, nil
}

func describeDuty(d *leasedtask.Duty, name func(uint64) string) *schema.Duty {
	out := &schema.Duty{Name: d.Name, Holder: d.Of, Number: d.Number, Note: d.Note, Leaving: d.Leaving,
		Paused: d.Paused}
	if d.To != 0 {
		out.To = name(d.To)
	}
	for _, member := range slices.Sorted(maps.Keys(d.Resting)) {
		out.Resting = append(out.Resting, name(member))
	}
	for _, h := range d.History {
		out.History = append(out.History, &schema.Holding{Number: h.Number, Name: h.Name, AtMs: h.AtMS,
			EndMs: h.EndMS, End: h.End})
	}
	return out
}
