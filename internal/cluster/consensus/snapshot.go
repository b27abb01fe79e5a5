package consensus

import (
	"math"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// restore replaces the cluster state with that of a snapshot.
func (r *replica) restore(snap *pb.Snapshot) error {
	state, err := clusterstate.Restore(r.cfg.Rules, snap.GetData())
	if err != nil {
		return err
	}
	meta := snap.GetMetadata()
	r.state, r.members.conf = state, meta.GetConfState()
	r.applied, r.snapshotIndex = meta.GetIndex(), meta.GetIndex()
	r.appliedTerm = meta.GetTerm()
	return nil
}

// installSnapshot installs a snapshot from the leader, which replaces log entries that this instance lacks.
func (i *Instance) installSnapshot(snap *pb.Snapshot) {
	if err := i.storage.ApplySnapshot(snap); err != nil {
		panic(err)
	}
	if err := i.restore(snap); err != nil {
		panic(err)
	}
	i.ownership.snapshotInstalled()
	i.emitRevision()
}

// createSnapshot creates a snapshot of the state and compacts the log up to it, except for the entries kept
// for lagging followers.
func (r *replica) createSnapshot() {
	snap, err := r.storage.CreateSnapshot(r.applied, r.members.conf, r.state.Encode())
	if err != nil {
		panic(err)
	}
	r.snapshotIndex, r.membersChanged = r.applied, false
	keep := r.cfg.SnapshotCatchUpEntries
	if first, _ := r.storage.FirstIndex(); r.applied > keep && r.applied-keep > first {
		if err := r.storage.Compact(r.applied - keep); err != nil {
			panic(err)
		}
	}
	if r.out.Snapshot, err = r.encodeSnapshot(snap); err != nil {
		panic(err)
	}
}

// encodeSnapshot encodes a snapshot for the store. As it replaces all records of the store, it also contains
// the identity, Raft's hard state and the entries after the snapshot.
func (r *replica) encodeSnapshot(snap *pb.Snapshot) ([]byte, error) {
	hard, _, err := r.storage.InitialState()
	if err != nil {
		return nil, err
	}
	stored := &schema.Image{Identity: r.identity}
	if stored.HardState, err = proto.Marshal(hard); err != nil {
		return nil, err
	}
	if stored.Snapshot, err = proto.Marshal(snap); err != nil {
		return nil, err
	}
	if last, _ := r.storage.LastIndex(); last > r.applied {
		entries, err := r.storage.Entries(r.applied+1, last+1, math.MaxInt64)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			b, err := proto.Marshal(e)
			if err != nil {
				return nil, err
			}
			stored.Entries = append(stored.Entries, b)
		}
	}
	return proto.Marshal(stored)
}

// Compact creates a snapshot at an operator's request, unless nothing was applied since the last one. The
// next Advance returns it.
func (i *Instance) Compact() {
	if i.node != nil && i.state != nil && i.halted == nil && i.applied > i.snapshotIndex {
		i.haltOnPanic(i.createSnapshot)
	}
}
