package controlapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

var replyCodes = map[clusterstate.OutcomeCode]schema.ProposeReply_Code{
	clusterstate.Accepted:  schema.ProposeReply_ACCEPTED,
	clusterstate.Conflict:  schema.ProposeReply_CONFLICT,
	clusterstate.Invalid:   schema.ProposeReply_INVALID,
	clusterstate.TooLarge:  schema.ProposeReply_TOO_LARGE,
	clusterstate.Unchanged: schema.ProposeReply_UNCHANGED,
	clusterstate.Withdrawn: schema.ProposeReply_WITHDRAWN,
}

// Propose implements schema.ControlServer: it proposes a change of the configuration, or only checks it on a
// dry run. The reply has the outcome; an error means that nothing was proposed. There is no timeout here: the
// log limits how long a change may take, and the caller how long it waits.
func (s *Server) Propose(ctx context.Context, in *schema.ProposeRequest) (*schema.ProposeReply, error) {
	if len(in.Document) > clusterstate.MaxDocumentBytes {
		problem := fmt.Sprintf("the document has %d bytes, the limit is %d", len(in.Document),
			clusterstate.MaxDocumentBytes)
		return &schema.ProposeReply{Code: schema.ProposeReply_TOO_LARGE, Problems: []string{problem}}, nil
	}
	document, err := clusterstate.DecodeDocument(in.Document)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	caller, _ := callerOf(ctx)
	c := clusterstate.Change{
		ID:           in.Id,
		BaseRevision: in.Base,
		Author:       caller,
		Note:         in.Note,
		ProposedAt:   time.Now(),
		Document:     document,
	}
	runner := s.host.Runner()
	if c.BaseRevision == 0 {
		c.BaseRevision = currentRevision(ctx, runner)
	}
	out := &schema.ProposeReply{}
	err = runner.View(ctx, func(state *clusterstate.State) { compareWithBase(out, state, c) })
	if err != nil {
		return nil, statusError(err)
	}
	var outcome clusterstate.Outcome
	if in.DryRun {
		outcome, err = s.checkChange(ctx, c, out)
	} else {
		outcome, err = runner.Propose(ctx, c, in.NoWait)
	}
	if err != nil {
		describeFailure(out, runner, err)
	} else {
		describeOutcome(ctx, out, runner, c, in, outcome)
	}
	if !in.DryRun {
		s.log.WithFields(logrus.Fields{"caller": caller, "change": c.ID, "base": c.BaseRevision,
			"outcome": out.Code.String(), "revision": out.Revision}).Info("change proposed")
	}
	return out, nil
}

// currentRevision returns the group's newest revision, or 0 if there is no leader to confirm it.
func currentRevision(ctx context.Context, runner *consensus.Runner) (number uint64) {
	if err := runner.Barrier(ctx); err != nil {
		return 0
	}
	_ = runner.View(ctx, func(state *clusterstate.State) { number = state.CurrentRevision().Number })
	return number
}

// checkChange checks a change without proposing it, and adds a preview of its triggers to the reply.
func (s *Server) checkChange(ctx context.Context, c clusterstate.Change,
	out *schema.ProposeReply) (clusterstate.Outcome, error) {
	outcome, err := s.host.Runner().CheckChange(ctx, c)
	if err != nil || outcome.Code != clusterstate.Accepted {
		return outcome, err
	}
	if out.Next, err = s.host.PreviewTriggers(c.Document, time.Now()); err != nil {
		return clusterstate.Outcome{Code: clusterstate.Invalid, Revision: outcome.Revision,
			Problems: []string{err.Error()}}, nil
	}
	return outcome, nil
}

// describeOutcome fills in the outcome of a change.
func describeOutcome(ctx context.Context, out *schema.ProposeReply, runner *consensus.Runner,
	c clusterstate.Change, in *schema.ProposeRequest, outcome clusterstate.Outcome) {
	out.Code, out.Revision, out.Problems = replyCodes[outcome.Code], outcome.Revision, outcome.Problems
	switch outcome.Code {
	case clusterstate.Accepted:
		if in.NoWait && !in.DryRun && runner.Status().Revision < outcome.Revision {
			out.Code = schema.ProposeReply_BEGUN
		}
	case clusterstate.Conflict:
		// The conflicting change may have been applied only after the first comparison.
		_ = runner.View(ctx, func(state *clusterstate.State) { compareWithBase(out, state, c) })
	}
}

// describeFailure fills in why a change was not accepted or why its outcome is unknown.
func describeFailure(out *schema.ProposeReply, runner *consensus.Runner, err error) {
	var rejected *consensus.RejectedError
	switch {
	case errors.As(err, &rejected):
		out.Code, out.Revision = schema.ProposeReply_INVALID, runner.Status().Revision
		out.Problems = []string{err.Error()}
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		out.Code, out.Problems = schema.ProposeReply_UNKNOWN, []string{consensus.ErrOutcomeUnknown.Error()}
	default:
		out.Code, out.Revision = schema.ProposeReply_NO_LEADER, runner.Status().Revision
		out.Problems = []string{err.Error()}
	}
}

// compareWithBase fills in the differences that a change makes to its base revision, and those that other
// changes have made since that revision.
func compareWithBase(out *schema.ProposeReply, state *clusterstate.State, c clusterstate.Change) {
	out.Changes, out.Meanwhile = nil, nil
	base, ok := state.RevisionByNumber(c.BaseRevision)
	if !ok {
		return
	}
	out.Changes = clusterstate.Diff(base.Document, c.Document)
	if newest := state.CurrentRevision(); newest.Number != base.Number {
		out.Meanwhile = clusterstate.Diff(base.Document, newest.Document)
	}
}
