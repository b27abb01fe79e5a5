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
	out := &schema.DutiesReply{CutOff: st.NoLeader}
	err := s.host.Runner().View(ctx, func(a *clusterstate.State) {
		out.Number = a.LeasedTasks().LastFencingToken
		name := func(member uint64) string {
			if m, ok := a.Member(member); ok {
				return m.Name
			}
			return fmt.Sprintf("%x, which is gone", member)
		}
		for _, d := range a.LeasedTasks().List() {
			out.Duties = append(out.Duties, describeTask(d, name))
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	for _, h := range s.host.HeldTasks() {
		for _, d := range out.Duties {
			if d.Name == h.Task && d.Number == h.FencingToken {
				d.LeaseS = max(h.ExpiresAt-consensus.BootTime(), 0).Seconds()
			}
		}
	}
	return out, nil
}

func describeTask(d *leasedtask.Task, name func(uint64) string) *schema.Duty {
	out := &schema.Duty{
		Name:    d.Name,
		Holder:  d.HolderName,
		Number:  d.FencingToken,
		Note:    d.Note,
		Leaving: d.ReleaseReason,
		Paused:  d.PausedBy,
	}
	if d.TransferTo != 0 {
		out.To = name(d.TransferTo)
	}
	for _, member := range slices.Sorted(maps.Keys(d.CoolingDown)) {
		out.Resting = append(out.Resting, name(member))
	}
	for _, h := range d.History {
		out.History = append(
			out.History,
			&schema.Holding{Number: h.FencingToken, Name: h.HolderName, AtMs: h.AcquiredAtMS,
				EndMs: h.EndedAtMS, End: h.EndReason},
		)
	}
	return out
}
