package controlapi

import (
	"context"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// Init implements schema.ControlServer: it creates a new group with this instance as its only member.
func (s *Server) Init(ctx context.Context, in *schema.InitRequest) (*schema.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	document, after, err := s.initialDocument(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	cluster, err := newID()
	if err != nil {
		return nil, statusError(err)
	}
	runner := s.host.Runner()
	if err := runner.Bootstrap(ctx, cluster, s.host.Address(), document, after); err != nil {
		return nil, statusError(err)
	}
	if err := runner.Barrier(ctx); err != nil {
		return nil, statusError(err)
	}
	s.log.WithField("group", cluster).Info("group created")
	return s.Status(ctx, nil)
}

// initialDocument returns the first configuration of a new group, and the revision after which its numbering
// continues. Both are from the backup, if there is one; otherwise from the instance's settings, with revision
// 0.
func (s *Server) initialDocument(in *schema.InitRequest) (*clusterstate.Document, uint64, error) {
	if len(in.Backup) == 0 {
		document, err := s.host.InitialDocument()
		return document, 0, err
	}
	backup, err := DecodeBackup(in.Backup)
	if err != nil {
		return nil, 0, err
	}
	newest := backup.Revisions[len(backup.Revisions)-1]
	return newest.Document, newest.Number, nil
}

// Operate implements schema.ControlServer.
func (s *Server) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	op.Author, _ = callerOf(ctx)
	return s.host.Operate(ctx, op)
}

// ExplainRoute implements schema.ControlServer.
func (s *Server) ExplainRoute(_ context.Context,
	in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	out, err := s.host.ExplainRoute(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return out, nil
}

// Snapshot implements schema.ControlServer: it compacts this instance's log into a snapshot.
func (s *Server) Snapshot(ctx context.Context, _ *schema.SnapshotRequest) (*schema.Operated, error) {
	if err := s.host.Runner().Compact(ctx); err != nil {
		return nil, statusError(err)
	}
	st := s.host.Runner().Status()
	return &schema.Operated{Text: fmt.Sprintf("the log of %s is compacted up to entry %d", st.Name,
		st.Applied)}, nil
}

// Backup implements schema.ControlServer: it returns the configuration with its history as a backup file.
func (s *Server) Backup(ctx context.Context, _ *schema.BackupRequest) (*schema.BackupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	runner := s.host.Runner()
	if err := runner.Barrier(ctx); err != nil {
		return nil, statusError(err)
	}
	out := &schema.BackupReply{}
	err := runner.View(ctx, func(state *clusterstate.State) {
		out.Backup = EncodeBackup(state.ClusterID(), state.Revisions())
		out.Revision = state.CurrentRevision().Number
	})
	return out, statusError(err)
}
