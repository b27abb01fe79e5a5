package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// RecoveredState collects what an instance's store gives back. Its methods are store.Open's.
type RecoveredState struct {
	identity *schema.Identity
	hard     *pb.HardState
	storage  *raft.MemoryStorage
}

// NewRecoveredState is for an empty store or one to be read.
func NewRecoveredState() *RecoveredState { return &RecoveredState{storage: raft.NewMemoryStorage()} }

// RestoreSnapshot reads the snapshot of the store.
func (s *RecoveredState) RestoreSnapshot(b []byte) error {
	var im schema.Image
	if err := proto.Unmarshal(b, &im); err != nil {
		return fmt.Errorf("the image can't be read: %w", err)
	}
	s.identity = im.Identity
	if len(im.HardState) > 0 {
		if err := s.ReplayRecord(store.Record{Kind: recHardState, Data: im.HardState}); err != nil {
			return err
		}
	}
	if len(im.Snapshot) > 0 {
		if err := s.ReplayRecord(store.Record{Kind: recSnapshot, Data: im.Snapshot}); err != nil {
			return err
		}
	}
	for _, e := range im.Entries {
		if err := s.ReplayRecord(store.Record{Kind: recEntry, Data: e}); err != nil {
			return err
		}
	}
	return nil
}

// ReplayRecord reads a record of the store.
func (s *RecoveredState) ReplayRecord(r store.Record) error {
	switch r.Kind {
	case recIdentity:
		s.identity = &schema.Identity{}
		return proto.Unmarshal(r.Data, s.identity)
	case recHardState:
		s.hard = &pb.HardState{}
		return proto.Unmarshal(r.Data, s.hard)
	case recEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(r.Data, e); err != nil {
			return err
		}
		last, _ := s.storage.LastIndex()
		first, _ := s.storage.FirstIndex()
		if e.GetIndex() > last+1 || e.GetIndex() < first {
			return fmt.Errorf("entry %d is not within %d and %d", e.GetIndex(), first, last+1)
		}
		return s.storage.Append([]*pb.Entry{e})
	case recSnapshot:
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(r.Data, snap); err != nil {
			return err
		}
		if err := s.storage.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
		return nil
	}
	return fmt.Errorf("a record of the unknown kind %d", r.Kind)
}
