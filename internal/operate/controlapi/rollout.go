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
	out := &schema.PendingReply{Known: st.Role == "leader"}
	if x.Pending == nil {
		return out
	}
	out.Id, out.Revision, out.Author, out.Note = x.Pending.ID, x.Pending.Revision, x.Pending.Author,
		x.Pending.Note
	out.AtMs, out.Phase, out.Attempt = x.Pending.AtMS, x.Phase.Phase.String(), uint32(x.Phase.Attempt)
	for _, name := range slices.Sorted(maps.Keys(x.Awaited)) {
		out.Awaited = append(out.Awaited, &schema.Awaited{Name: name, LeaseS: x.Awaited[name].Seconds()})
	}
	return out
}

// describe fills in what a status says of sessions.
func describe(out *schema.StatusReply, st consensus.Status) {
	x := st.Rollout
	// Hazard: the status may be old, of an agreement that has stopped; the lease goes on ending.
	if x.Permit.Open && !x.Permit.Forever {
		x.Left = max(x.Permit.Until-consensus.Boottime(), 0)
	}
	out.Format, out.CutOffRule, out.Admits = uint32(x.Format), x.Policy.CutOff, x.Permit.Open
	out.LeaseS, out.Epoch, out.Staged, out.Pending = x.Left.Seconds(), x.Epoch, x.Staged, pending(st)
	switch {
	case !x.Permit.Open:
		out.AdmitsNot = x.Permit.Why
	case !x.Permit.Forever && x.Left == 0:
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
		m.Epoch, m.Running, m.Staged = one.Epoch, x.Running[m.Id], x.Ready[m.Id]
		if ok && one.Open {
			m.Session = "open"
		} else if ok {
			m.Session = one.Why
		}
	}
}

// Withdraw implements schema.ControlServer.
func (s *Server) Withdraw(ctx context.Context, in *schema.WithdrawRequest) (*schema.Operated, error) {
	name, _ := who(ctx)
	st := s.host.Runner().Status()
	id := in.Change
	if id == "" && st.Rollout.Pending != nil {
		id = st.Rollout.Pending.ID
	}
	if id == "" {
		return nil, status.Error(codes.FailedPrecondition, "no change is pending")
	}
	reason := fmt.Sprintf("withdrawn by %s", name)
	if in.Reason != "" {
		reason += ": " + in.Reason
	}
	err := s.command(ctx, rollout.Command{Kind: rollout.Withdraw, Change: id, Reason: reason})
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
		if err := s.command(ctx, rollout.Command{Kind: rollout.SetAside, Member: x.Member}); err != nil {
			return nil, err
		}
		return &schema.Operated{Text: fmt.Sprintf(
			"%s is set aside: changes do not wait for it, and it must hear from the group before it serves",
			in.Name)}, nil
	}
	return nil, status.Errorf(codes.FailedPrecondition, "no instance %q has a session", in.Name)
}

// command puts an operator's word into the log.
func (s *Server) command(ctx context.Context, c rollout.Command) error {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	var err error
	if c.ID, err = newCluster(); err != nil {
		return failure(err)
	}
	c.AtMS = time.Now().UnixMilli()
	o, err := s.host.Runner().Command(ctx, c)
	if err != nil {
		return failure(err)
	}
	if o.Code != clusterstate.Accepted {
		return failure(&consensus.RefusedError{Reason: errors.Join(problems(o)...).Error()})
	}
	name, _ := who(ctx)
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
