package controlapi

import (
	"context"
	"slices"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

// roleStopped is the role shown for an instance whose consensus has stopped or halted.
const roleStopped = "stopped"

// Status implements schema.ControlServer. It also works without a leader and after consensus has halted.
func (s *Server) Status(context.Context, *schema.StatusRequest) (*schema.StatusReply, error) {
	st := s.host.Runner().Status()
	out := &schema.StatusReply{
		Name:     st.Name,
		Id:       st.ID,
		Cluster:  st.Cluster,
		Role:     string(st.Role),
		Term:     st.Term,
		Commit:   st.Commit,
		Applied:  st.Applied,
		Revision: st.Revision,
		CutOff:   st.NoLeader && st.Cluster != "",
		Joint:    st.JointConsensus,
		ContactS: s.sinceContact(st).Seconds(),
		Counters: s.host.Counters(),
		Program:  s.host.Program(),
	}
	out.Running, out.RunningProblem = s.host.RunningRevision()
	s.describeHalt(out, st)
	for _, m := range st.Members {
		if m.ID == st.Leader {
			out.Leader = m.Name
		}
		out.Members = append(out.Members, &schema.MemberStatus{
			Name:    m.Name,
			Id:      m.ID,
			Address: m.Address,
			Voter:   m.Voter,
			Active:  m.Active,
			Match:   m.Match,
			Known:   m.ProgressKnown,
		})
	}
	s.describeMembership(out)
	describeRollout(out, st)
	describeSchedule(out, st)
	s.describeOwnership(out, st)
	return out, nil
}

// describeHalt fills in whether consensus has stopped or halted, and why.
func (s *Server) describeHalt(out *schema.StatusReply, st consensus.Status) {
	runner := s.host.Runner()
	select {
	case <-runner.Done():
		out.Role = roleStopped
		if err := runner.Err(); err != nil {
			out.RunningProblem = err.Error()
		}
	default:
	}
	if st.Halted != nil {
		out.Role, out.RunningProblem = roleStopped, st.Halted.Error()
	}
}

// describeMembership fills in the failure detector's estimate of each member.
func (s *Server) describeMembership(out *schema.StatusReply) {
	for _, m := range out.Members {
		state, known := s.host.MemberState(m.Id)
		if !known {
			continue
		}
		m.Seems, m.SeemsS = state.State, state.Duration.Seconds()
		m.UnreachedS = state.UnreachableFor.Seconds()
		for _, id := range state.SuspectedBy {
			isID := func(other *schema.MemberStatus) bool { return other.Id == id }
			if k := slices.IndexFunc(out.Members, isID); k >= 0 {
				m.SeemsBy = append(m.SeemsBy, out.Members[k].Name)
			}
		}
	}
}
