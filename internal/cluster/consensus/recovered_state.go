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

// RecoveredState collects the contents of an instance's store, for New. RestoreSnapshot and ReplayRecord are
// the callbacks for store.Open.
type RecoveredState struct {
	identity *schema.Identity
	hard     *pb.HardState
	storage  *raft.MemoryStorage
}

// NewRecoveredState returns the state of an empty store, into which the contents of a store can be read.
func NewRecoveredState() *RecoveredState { return &RecoveredState{storage: raft.NewMemoryStorage()} }

// RestoreSnapshot reads the store's snapshot, as written from Effects.Snapshot.
func (s *RecoveredState) RestoreSnapshot(b []byte) error {
	var stored schema.Image
	if err := proto.Unmarshal(b, &stored); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	s.identity = stored.Identity
	if len(stored.HardState) > 0 {
		if err := s.replayHardState(stored.HardState); err != nil {
			return err
		}
	}
	if len(stored.Snapshot) > 0 {
		if err := s.replaySnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range stored.Entries {
		if err := s.replayEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// ReplayRecord reads a record of the store. Records must be replayed in the order in which they were written.
func (s *RecoveredState) ReplayRecord(r store.Record) error {
	switch r.Kind {
	case recIdentity:
		s.identity = &schema.Identity{}
		return proto.Unmarshal(r.Data, s.identity)
	case recHardState:
		return s.replayHardState(r.Data)
	case recEntry:
		return s.replayEntry(r.Data)
	case recSnapshot:
		return s.replaySnapshot(r.Data)
	}
	return fmt.Errorf("record has unknown kind %d", r.Kind)
}

func (s *RecoveredState) replayHardState(b []byte) error {
	s.hard = &pb.HardState{}
	return proto.Unmarshal(b, s.hard)
}

func (s *RecoveredState) replayEntry(b []byte) error {
	e := &pb.Entry{}
	if err := proto.Unmarshal(b, e); err != nil {
		return err
	}
	last, _ := s.storage.LastIndex()
	first, _ := s.storage.FirstIndex()
	if e.GetIndex() > last+1 || e.GetIndex() < first {
		return fmt.Errorf("log entry index is %d, expected %d to %d", e.GetIndex(), first, last+1)
	}
	return s.storage.Append([]*pb.Entry{e})
}

func (s *RecoveredState) replaySnapshot(b []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(b, snap); err != nil {
		return err
	}
	if err := s.storage.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	return nil
}
