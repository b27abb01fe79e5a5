package controlapi

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// Pending implements schema.ControlServer.
func (s *Server) Pending(context.Context, *schema.PendingRequest) (*schema.PendingReply, error) {
	return pending(s.host.Runner().Status()), nil
}

func pending(st consensus.Status) *schema.PendingReply {
	x := st.Rollout
	out := &schema.PendingReply{Known: st.Role == consensus.RoleLeader}
	if x.Pending == nil {
		return out
	}
	out.Id, out.Revision, out.Author, out.Note = x.Pending.ChangeID, x.Pending.Number, x.Pending.Author,
		x.Pending.Note
	out.AtMs, out.Phase, out.Attempt = x.Pending.ProposedAtMS, x.PendingPhase.Phase.String(), uint32(
		x.PendingPhase.Attempt,
	)
	for _, name := range slices.Sorted(maps.Keys(x.AwaitedMembers)) {
		out.Awaited = append(
			out.Awaited,
			&schema.Awaited{Name: name, LeaseS: x.AwaitedMembers[name].Seconds()},
		)
	}
	return out
}

// describeSessions fills in what a status says of sessions.
func describeSessions(out *schema.StatusReply, st consensus.Status) {
	x := st.Rollout
	// Hazard: the status may be old, of an agreement that has stopped; the lease goes on ending.
	if x.Permit.Open && !x.Permit.NoExpiry {
		x.LeaseRemaining = max(x.Permit.ExpiresAt-consensus.BootTime(), 0)
	}
	out.Format, out.CutOffRule, out.Admits = uint32(x.Format), string(x.Policy.WhenIsolated), x.Permit.Open
	out.LeaseS, out.Epoch, out.Staged, out.Pending = x.LeaseRemaining.Seconds(), x.SessionEpoch, x.Staged,
		pending(
			st,
		)
	switch {
	case !x.Permit.Open:
		out.AdmitsNot = x.Permit.ClosedReason
	case !x.Permit.NoExpiry && x.LeaseRemaining == 0:
		out.Admits, out.AdmitsNot = false, "its lease has run out"
	case out.Running != x.Permit.Revision:
		out.Admits = false
		out.AdmitsNot = fmt.Sprintf("revision %d is in force, and %d runs here", x.Permit.Revision,
			out.Running)
	}
	describeSchedule(out, st)
	sessions := map[uint64]rollout.Session{}
	for _, one := range x.Sessions {
		sessions[one.Member] = one
	}
	for _, m := range out.Members {
		one, ok := sessions[m.Id]
		m.Epoch, m.Running, m.Staged = one.Epoch, x.RunningRevisions[m.Id], x.StagedChanges[m.Id]
		if ok && one.Open {
			m.Session = "open"
		} else if ok {
			m.Session = one.ClosedReason
		}
	}
}

// Withdraw implements schema.ControlServer.
func (s *Server) Withdraw(ctx context.Context, in *schema.WithdrawRequest) (*schema.Operated, error) {
	name, _ := callerOf(ctx)
	st := s.host.Runner().Status()
	id := in.Change
	if id == "" && st.Rollout.Pending != nil {
		id = st.Rollout.Pending.ChangeID
	}
	if id == "" {
		return nil, status.Error(codes.FailedPrecondition, "no change is pending")
	}
	reason := fmt.Sprintf("withdrawn by %s", name)
	if in.Reason != "" {
		reason += ": " + in.Reason
	}
	err := s.proposeCommand(ctx, rollout.Command{Kind: rollout.Withdraw, Change: id, Reason: reason})
	if err != nil {
		return nil, err
	}
	return &schema.Operated{Text: fmt.Sprintf("change %s is withdrawn: it is in force nowhere", id)}, nil
}

// SetAside implements schema.ControlServer.
func (s *Server) SetAside(ctx context.Context, in *schema.SetAsideRequest) (*schema.Operated, error) {
	st := s.host.Runner().Status()
	for _, x := range st.Rollout.Sessions {
		if x.Name != in.Name {
			continue
		}
		if err := s.proposeCommand(ctx, rollout.Command{Kind: rollout.SetAside,
			Member: x.Member}); err != nil {
			return nil, err
		}
		return &schema.Operated{Text: fmt.Sprintf(
			"%s is set aside: changes do not wait for it, and it must hear from the group before it serves",
			in.Name)}, nil
	}
	return nil, status.Errorf(codes.FailedPrecondition, "no instance %q has a session", in.Name)
}

// proposeCommand puts an operator's word into the log.
func (s *Server) proposeCommand(ctx context.Context, c rollout.Command) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var err error
	if c.ID, err = newID(); err != nil {
		return statusError(err)
	}
	c.AtMS = time.Now().UnixMilli()
	o, err := s.host.Runner().ProposeRolloutCommand(ctx, c)
	if err != nil {
		return statusError(err)
	}
	if o.Code != clusterstate.Accepted {
		return statusError(&consensus.RejectedError{Reason: errors.Join(problems(o)...).Error()})
	}
	name, _ := callerOf(ctx)
	s.log.WithFields(logrus.Fields{"caller": name, "command": c.Kind.String(), "change": c.Change}).
		Info("an operator's word is agreed on")
	return nil
}

func problems(o clusterstate.Outcome) []error {
	list := []error{errors.New(o.Code.String())}
	if len(o.Problems) > 0 {
		list = list[:0]
	}
	for _, p := range o.Problems {
		list = append(list, errors.New(p))
	}
	return list
}
