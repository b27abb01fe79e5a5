package controlapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

// describeRevision returns a revision without its document.
func describeRevision(r clusterstate.Revision) *schema.Revision {
	return &schema.Revision{
		Revision: r.Number,
		Id:       r.ChangeID,
		Author:   r.Author,
		Note:     r.Note,
		AtMs:     r.ProposedAtMS,
		ForceMs:  r.EffectiveAtMS,
	}
}

// encodeRevision returns a revision with its document.
func encodeRevision(r clusterstate.Revision) *schema.Revision {
	out := describeRevision(r)
	out.Document = r.Document.Encode()
	return out
}

// GetConfig implements schema.ControlServer: it returns the requested revision, by default the newest.
func (s *Server) GetConfig(ctx context.Context, in *schema.GetConfigRequest) (*schema.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	runner := s.host.Runner()
	if !in.Local {
		if err := runner.Barrier(ctx); err != nil {
			return nil, statusError(fmt.Errorf("%w; use --local to read the copy of this instance", err))
		}
	}
	var out *schema.Revision
	err := runner.View(ctx, func(state *clusterstate.State) {
		if in.Revision == 0 {
			out = encodeRevision(state.CurrentRevision())
		} else if r, ok := state.RevisionByNumber(in.Revision); ok {
			out = encodeRevision(r)
		}
	})
	if err != nil {
		return nil, statusError(err)
	}
	if out == nil {
		return nil, status.Errorf(codes.NotFound, "revision %d is not kept", in.Revision)
	}
	if in.Local {
		st := runner.Status()
		out.Stale = st.NoLeader
		out.AgeS = s.sinceContact(st).Seconds()
	}
	return out, nil
}

// sinceContact returns the time since the last contact with the leader, with a resolution of one tick.
func (s *Server) sinceContact(st consensus.Status) time.Duration {
	return time.Duration(st.TicksSinceContact) * s.host.TickInterval()
}

// History implements schema.ControlServer: it lists revisions without documents, newest first.
func (s *Server) History(ctx context.Context, in *schema.HistoryRequest) (*schema.HistoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := &schema.HistoryReply{}
	err := s.host.Runner().View(ctx, func(state *clusterstate.State) {
		revisions := state.Revisions()
		out.Oldest = revisions[0].Number
		for i := len(revisions) - 1; i >= 0 && (in.Most == 0 || len(out.Revisions) < int(in.Most)); i-- {
			out.Revisions = append(out.Revisions, describeRevision(revisions[i]))
		}
	})
	return out, statusError(err)
}

// Watch implements schema.ControlServer: it sends all revisions from the requested one on, by default from
// the newest.
func (s *Server) Watch(in *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Revision]) error {
	runner := s.host.Runner()
	changed, stopWatching := runner.Watch()
	defer stopWatching()
	next := in.From
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-runner.Done():
			return statusError(consensus.ErrHalted)
		case <-changed:
		}
		revisions, err := revisionsFrom(stream.Context(), runner, next)
		if errors.Is(err, consensus.ErrNoGroup) {
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range revisions {
			if err := stream.Send(r); err != nil {
				return err
			}
			next = r.Revision + 1
		}
	}
}

// revisionsFrom returns all revisions from number first on, or only the newest if first is 0.
func revisionsFrom(ctx context.Context, runner *consensus.Runner,
	first uint64) (revisions []*schema.Revision, err error) {
	oldest := uint64(0)
	err = runner.View(ctx, func(state *clusterstate.State) {
		if first == 0 {
			first = state.CurrentRevision().Number
		}
		kept := state.Revisions()
		oldest = kept[0].Number
		for _, r := range kept {
			if r.Number >= first {
				revisions = append(revisions, encodeRevision(r))
			}
		}
	})
	if errors.Is(err, consensus.ErrNoGroup) {
		return nil, err
	}
	if err != nil {
		return nil, statusError(err)
	}
	if first < oldest {
		return nil, status.Errorf(codes.OutOfRange, "revision %d is no longer kept; the oldest is %d",
			first, oldest)
	}
	return revisions, nil
}
