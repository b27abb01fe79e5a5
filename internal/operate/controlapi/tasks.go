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

// Duties implements schema.ControlServer: it lists the leased tasks. It also works without a leader.
func (s *Server) Duties(ctx context.Context, _ *schema.DutiesRequest) (*schema.DutiesReply, error) {
	runner := s.host.Runner()
	out := &schema.DutiesReply{CutOff: runner.Status().NoLeader}
	err := runner.View(ctx, func(state *clusterstate.State) {
		out.Number = state.LeasedTasks().LastFencingToken
		for _, task := range state.LeasedTasks().List() {
			out.Duties = append(out.Duties, describeTask(task, state))
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	for _, lease := range s.host.HeldTasks() {
		for _, task := range out.Duties {
			if task.Name == lease.Task && task.Number == lease.FencingToken {
				task.LeaseS = max(lease.ExpiresAt-consensus.BootTime(), 0).Seconds()
			}
		}
	}
	return out, nil
}

func describeTask(task *leasedtask.Task, state *clusterstate.State) *schema.Duty {
	out := &schema.Duty{
		Name:    task.Name,
		Holder:  task.HolderName,
		Number:  task.FencingToken,
		Note:    task.Note,
		Leaving: task.ReleaseReason,
		Paused:  task.PausedBy,
	}
	if task.TransferTo != 0 {
		out.To = memberName(state, task.TransferTo)
	}
	for _, member := range slices.Sorted(maps.Keys(task.CoolingDown)) {
		out.Resting = append(out.Resting, memberName(state, member))
	}
	for _, h := range task.History {
		out.History = append(out.History, &schema.Holding{
			Number: h.FencingToken,
			Name:   h.HolderName,
			AtMs:   h.AcquiredAtMS,
			EndMs:  h.EndedAtMS,
			End:    h.EndReason,
		})
	}
	return out
}

// memberName returns a member's name, or its ID if it was removed from the group.
func memberName(state *clusterstate.State, member uint64) string {
	if m, ok := state.Member(member); ok {
		return m.Name
	}
	return fmt.Sprintf("%x (removed)", member)
}
