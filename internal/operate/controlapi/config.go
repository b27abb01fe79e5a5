package controlapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

func revision(r clusterstate.Revision, document bool) *schema.Revision {
	m := &schema.Revision{
		Revision: r.Number,
		Id:       r.ChangeID,
		Author:   r.Author,
		Note:     r.Note,
		AtMs:     r.ProposedAtMS,
		ForceMs:  r.EffectiveAtMS,
	}
	if document {
		m.Document = r.Document.Encode()
	}
	return m
}

// GetConfig implements schema.ControlServer.
func (s *Server) GetConfig(ctx context.Context, in *schema.GetConfigRequest) (*schema.Revision, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r := s.host.Runner()
	if !in.Local {
		if err := r.Barrier(ctx); err != nil {
			return nil, statusError(fmt.Errorf("%w; --local gives what this instance has", err))
		}
	}
	var out *schema.Revision
	err := r.View(ctx, func(st *clusterstate.State) {
		if in.Revision == 0 {
			out = revision(st.CurrentRevision(), true)
		} else if rev, ok := st.RevisionByNumber(in.Revision); ok {
			out = revision(rev, true)
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	if out == nil {
		return nil, status.Errorf(codes.NotFound, "revision %d is not kept", in.Revision)
	}
	if in.Local {
		st := r.Status()
		out.Stale = st.NoLeader
		out.AgeS = (time.Duration(st.TicksSinceContact) * s.host.TickInterval()).Seconds()
	}
	return out, nil
}

// History implements schema.ControlServer.
func (s *Server) History(ctx context.Context, in *schema.HistoryRequest) (*schema.HistoryReply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	out := &schema.HistoryReply{}
	err := s.host.Runner().View(ctx, func(st *clusterstate.State) {
		h := st.Revisions()
		out.Oldest = h[0].Number
		for i := len(h) - 1; i >= 0 && (in.Most == 0 || len(out.Revisions) < int(in.Most)); i-- {
			out.Revisions = append(out.Revisions, revision(h[i], false))
		}
	})
	return out, statusError(err)
}

// Watch implements schema.ControlServer.
func (s *Server) Watch(in *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Revision]) error {
	r := s.host.Runner()
	changed, end := r.Watch()
	defer end()
	next := in.From
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-r.Done():
			return statusError(consensus.ErrHalted)
		case <-changed:
		}
		var due []*schema.Revision
		oldest := uint64(0)
		err := r.View(stream.Context(), func(st *clusterstate.State) {
			h := st.Revisions()
			if next == 0 {
				next = st.CurrentRevision().Number
			}
			oldest = h[0].Number
			for _, rev := range h {
				if rev.Number >= next {
					due = append(due, revision(rev, true))
				}
			}
		})
		if errors.Is(err, consensus.ErrNoGroup) {
			continue
		}
		if err != nil {
			return statusError(err)
		}
		if next < oldest {
			return status.Errorf(
				codes.OutOfRange,
				"revision %d is not kept any more; the oldest is %d",
				next,
				oldest,
			)
		}
		for _, rev := range due {
			if err := stream.Send(rev); err != nil {
				return err
			}
			next = rev.Revision + 1
		}
	}
}

var codesOf = map[clusterstate.OutcomeCode]schema.ProposeReply_Code{
	clusterstate.Accepted:  schema.ProposeReply_ACCEPTED,
	clusterstate.Conflict:  schema.ProposeReply_CONFLICT,
	clusterstate.Invalid:   schema.ProposeReply_INVALID,
	clusterstate.TooLarge:  schema.ProposeReply_TOO_LARGE,
	clusterstate.Unchanged: schema.ProposeReply_UNCHANGED,
	clusterstate.Withdrawn: schema.ProposeReply_WITHDRAWN,
}

// Propose implements schema.ControlServer. What became of the change is in the reply; an
// error means that nothing was tried.
func (s *Server) Propose(ctx context.Context, in *schema.ProposeRequest) (*schema.ProposeReply, error) {
	// A change has its bounds in time in the log; the caller says how long it waits.
	name, _ := callerOf(ctx)
	if len(in.Document) > clusterstate.MaxDocumentBytes {
		return &schema.ProposeReply{Code: schema.ProposeReply_TOO_LARGE, Problems: []string{
			fmt.Sprintf(
				"the document has %d bytes, %d are allowed",
				len(in.Document),
				clusterstate.MaxDocumentBytes,
			)}}, nil
	}
	doc, err := clusterstate.DecodeDocument(in.Document)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	c := clusterstate.Change{
		ID:           in.Id,
		BaseRevision: in.Base,
		Author:       name,
		Note:         in.Note,
		ProposedAt:   time.Now(),
		Document:     doc,
	}
	r := s.host.Runner()
	if c.BaseRevision == 0 {
		if err := r.Barrier(ctx); err == nil {
			_ = r.View(ctx, func(st *clusterstate.State) { c.BaseRevision = st.CurrentRevision().Number })
		}
	}
	out := &schema.ProposeReply{}
	if err := r.View(ctx, func(st *clusterstate.State) { compare(out, st, c) }); err != nil {
		return nil, statusError(err)
	}
	var o clusterstate.Outcome
	if in.DryRun {
		if o, err = r.CheckChange(ctx, c); err == nil && o.Code == clusterstate.Accepted {
			if out.Next, err = s.host.PreviewTriggers(doc, time.Now()); err != nil {
				o, err = clusterstate.Outcome{Code: clusterstate.Invalid, Revision: o.Revision,
					Problems: []string{err.Error()}}, nil
			}
		}
	} else {
		o, err = r.Propose(ctx, c, in.NoWait)
	}
	var refused *consensus.RejectedError
	switch {
	case err == nil:
		out.Code, out.Revision, out.Problems = codesOf[o.Code], o.Revision, o.Problems
		if o.Code == clusterstate.Accepted && in.NoWait && !in.DryRun {
			if r.Status().Revision < o.Revision {
				out.Code = schema.ProposeReply_BEGUN
			}
		}
		if o.Code == clusterstate.Conflict {
			// Another change may have come first only now.
			_ = r.View(ctx, func(st *clusterstate.State) { compare(out, st, c) })
		}
	case errors.As(err, &refused):
		out.Code, out.Revision, out.Problems = schema.ProposeReply_INVALID, r.Status().Revision,
			[]string{err.Error()}
	case errors.Is(err, consensus.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded):
		out.Code, out.Problems = schema.ProposeReply_UNKNOWN, []string{consensus.ErrOutcomeUnknown.Error()}
	default:
		st := r.Status()
		out.Code, out.Revision, out.Problems = schema.ProposeReply_NO_LEADER, st.Revision, []string{
			err.Error(),
		}
	}
	if !in.DryRun {
		s.log.WithFields(logrus.Fields{"caller": name, "change": c.ID, "base": c.BaseRevision,
			"outcome":  out.Code.String(),
			"revision": out.Revision}).
			Info("a change was proposed")
	}
	return out, nil
}

// compare says what a change changes, and what others have changed since its base.
func compare(out *schema.ProposeReply, st *clusterstate.State, c clusterstate.Change) {
	out.Changes, out.Meanwhile = nil, nil
	base, ok := st.RevisionByNumber(c.BaseRevision)
	if !ok {
		return
	}
	out.Changes = clusterstate.Diff(base.Document, c.Document)
	if newest := st.CurrentRevision(); newest.Number != base.Number {
		out.Meanwhile = clusterstate.Diff(base.Document, newest.Document)
	}
}
