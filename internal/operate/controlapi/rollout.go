package controlapi

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// Pending implements schema.ControlServer: it returns the pending change, which is neither in force nor
// withdrawn.
func (s *Server) Pending(context.Context, *schema.PendingRequest) (*schema.PendingReply, error) {
	return describePending(s.host.Runner().Status()), nil
}

func describePending(st consensus.Status) *schema.PendingReply {
	out := &schema.PendingReply{Known: st.Role == consensus.RoleLeader}
	pending := st.Rollout.Pending
	if pending == nil {
		return out
	}
	out.Id, out.Revision, out.Author = pending.ChangeID, pending.Number, pending.Author
	out.Note, out.AtMs = pending.Note, pending.ProposedAtMS
	out.Phase = st.Rollout.PendingPhase.Phase.String()
	out.Attempt = uint32(st.Rollout.PendingPhase.Attempt)
	for _, name := range slices.Sorted(maps.Keys(st.Rollout.AwaitedMembers)) {
		lease := st.Rollout.AwaitedMembers[name]
		out.Awaited = append(out.Awaited, &schema.Awaited{Name: name, LeaseS: lease.Seconds()})
	}
	return out
}

// describeRollout fills in whether this instance admits jobs, and the state of the members' sessions.
func describeRollout(out *schema.StatusReply, st consensus.Status) {
	r := st.Rollout
	// The status may be old if consensus has halted, but the lease keeps running out. So the remaining time
	// is computed from the clock.
	if r.Permit.Open && !r.Permit.NoExpiry {
		r.LeaseRemaining = max(r.Permit.ExpiresAt-consensus.BootTime(), 0)
	}
	out.Format, out.CutOffRule = uint32(r.Format), string(r.Policy.WhenIsolated)
	out.LeaseS, out.Epoch, out.Staged = r.LeaseRemaining.Seconds(), r.SessionEpoch, r.Staged
	out.Pending = describePending(st)
	out.Admits, out.AdmitsNot = r.Permit.Open, ""
	switch {
	case !r.Permit.Open:
		out.AdmitsNot = r.Permit.ClosedReason
	case !r.Permit.NoExpiry && r.LeaseRemaining == 0:
		out.Admits, out.AdmitsNot = false, "its lease has run out"
	case out.Running != r.Permit.Revision:
		out.Admits = false
		out.AdmitsNot = fmt.Sprintf("revision %d is in force, and %d runs here", r.Permit.Revision,
			out.Running)
	}
	sessions := map[uint64]rollout.Session{}
	for _, session := range r.Sessions {
		sessions[session.Member] = session
	}
	for _, m := range out.Members {
		session, ok := sessions[m.Id]
		m.Epoch, m.Running, m.Staged = session.Epoch, r.RunningRevisions[m.Id], r.StagedChanges[m.Id]
		if ok && session.Open {
			m.Session = "open"
		} else if ok {
			m.Session = session.ClosedReason
		}
	}
}

// Withdraw implements schema.ControlServer: it withdraws the requested change, by default the pending one.
func (s *Server) Withdraw(ctx context.Context, in *schema.WithdrawRequest) (*schema.Operated, error) {
	id := in.Change
	if pending := s.host.Runner().Status().Rollout.Pending; id == "" && pending != nil {
		id = pending.ChangeID
	}
	if id == "" {
		return nil, status.Error(codes.FailedPrecondition, "no change is pending")
	}
	caller, _ := callerOf(ctx)
	reason := fmt.Sprintf("withdrawn by %s", caller)
	if in.Reason != "" {
		reason += ": " + in.Reason
	}
	err := s.proposeCommand(ctx, rollout.Command{Kind: rollout.Withdraw, Change: id, Reason: reason})
	if err != nil {
		return nil, err
	}
	return &schema.Operated{Text: fmt.Sprintf("change %s is withdrawn and in force on no instance", id)}, nil
}

// SetAside implements schema.ControlServer: it closes the session of an instance, so that changes do not wait
// for that instance.
func (s *Server) SetAside(ctx context.Context, in *schema.SetAsideRequest) (*schema.Operated, error) {
	sessions := s.host.Runner().Status().Rollout.Sessions
	i := slices.IndexFunc(sessions, func(session rollout.Session) bool { return session.Name == in.Name })
	if i < 0 {
		return nil, status.Errorf(codes.FailedPrecondition, "no instance %q has a session", in.Name)
	}
	command := rollout.Command{Kind: rollout.SetAside, Member: sessions[i].Member}
	if err := s.proposeCommand(ctx, command); err != nil {
		return nil, err
	}
	return &schema.Operated{Text: fmt.Sprintf(
		"%s is set aside: changes do not wait for it, and it needs a new session before it serves",
		in.Name)}, nil
}

// proposeCommand proposes an operator's command to the group and waits until it is applied.
func (s *Server) proposeCommand(ctx context.Context, c rollout.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if c.ID, err = newID(); err != nil {
		return statusError(err)
	}
	c.AtMS = time.Now().UnixMilli()
	outcome, err := s.host.Runner().ProposeRolloutCommand(ctx, c)
	if err != nil {
		return statusError(err)
	}
	if outcome.Code != clusterstate.Accepted {
		return statusError(rejectionError(outcome))
	}
	caller, _ := callerOf(ctx)
	s.log.WithFields(logrus.Fields{"caller": caller, "command": c.Kind.String(), "change": c.Change}).
		Info("operator command committed")
	return nil
}

// rejectionError returns an error with the problems of an outcome, or with its code if there are none.
func rejectionError(outcome clusterstate.Outcome) error {
	problems := outcome.Problems
	if len(problems) == 0 {
		problems = []string{outcome.Code.String()}
	}
	return &consensus.RejectedError{Reason: strings.Join(problems, "\n")}
}
