package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
	"moorstack/internal/storage/store"
)

// Ready gives what must be written next, if there is anything to be done.
func (i *Instance) Ready() (work Ready, ok bool) {
	if i.pendingReady != nil {
		panic("consensus: Next before Finish")
	}
	if len(i.unsaved) > 0 {
		work.Records, work.Sync, ok = i.unsaved, true, true
		i.unsaved = nil
	}
	if i.rn != nil && i.halted == nil {
		i.guarded(func() {
			if !i.rn.HasReady() {
				return
			}
			rd := i.rn.Ready()
			ok = true
			i.pendingReady = &rd
			i.save(&work, &rd)
		})
	}
	return work, ok || !i.out.empty()
}

func (e *Effects) empty() bool {
	return len(e.Messages) == 0 && len(e.Responses) == 0 && len(e.Revisions) == 0 && e.Snapshot == nil &&
		len(
			e.SessionMessages,
		) == 0 && e.Permit == nil && e.Stage == nil && e.ClusterView == nil && len(e.Notifications) == 0
}

// save makes records of what must outlive the process. The order matters where the end of
// them is lost: a snapshot before the entries after it, and the word that entries are
// agreed on after the entries.
func (i *Instance) save(work *Ready, rd *raft.Ready) {
	add := func(kind uint8, m proto.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		work.Records = append(work.Records, store.Record{Kind: kind, Data: b})
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		add(recSnapshot, rd.Snapshot)
		work.Sync = true
	}
	for _, e := range rd.Entries {
		add(recEntry, e)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		add(recHardState, rd.HardState)
	}
	work.Sync = work.Sync || rd.MustSync
}

// Advance follows the writing of what Next gave.
func (i *Instance) Advance() Effects {
	if rd := i.pendingReady; rd != nil {
		i.pendingReady = nil
		i.guarded(func() { i.finish(rd) })
		i.sessions()
	}
	out := i.out
	i.out = Effects{}
	return out
}

func (i *Instance) finish(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := i.storage.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
		state, err := clusterstate.Restore(i.cfg.Rules, rd.Snapshot.GetData())
		if err != nil {
			panic(err)
		}
		meta := rd.Snapshot.GetMetadata()
		i.state, i.conf = state, meta.GetConfState()
		i.applied, i.imaged = meta.GetIndex(), meta.GetIndex()
		i.appliedTerm = meta.GetTerm()
		i.reseat()
		i.tell()
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := i.storage.SetHardState(rd.HardState); err != nil {
			panic(err)
		}
	}
	if err := i.storage.Append(rd.Entries); err != nil {
		panic(err)
	}
	for _, m := range rd.Messages {
		if m.GetType() == pb.MsgVoteResp && !m.GetReject() {
			i.quiet = 0 // who has given its vote waits for what comes of it
		}
	}
	i.out.Messages = append(i.out.Messages, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		i.apply(e)
	}
	for _, r := range rd.ReadStates {
		i.readAt(r)
	}
	i.rn.Advance(*rd)
	i.look()
	// Hazard: Raft passes over a snapshot in which the one that gets it is no member yet, so
	// that a new member would wait for ever for the next one.
	if i.reshaped || i.applied-i.imaged >= i.cfg.SnapshotCount {
		i.image()
	}
}

// apply takes an entry that is agreed on.
func (i *Instance) apply(e *pb.Entry) {
	i.appliedTerm = e.GetTerm()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) > 0 {
			i.applyChange(e.GetData())
		}
	case pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			panic(fmt.Sprintf("entry %d: %v", e.GetIndex(), err))
		}
		i.conf = i.rn.ApplyConfChange(cc)
		i.reshaped = true
		var mc schema.MembersChange
		if err := proto.Unmarshal(cc.GetContext(), &mc); err != nil {
			panic(fmt.Sprintf("entry %d: %v", e.GetIndex(), err))
		}
		var put []clusterstate.Member
		for _, m := range mc.Put {
			put = append(put, clusterstate.Member{ID: m.Id, Name: m.Name, Address: m.Address})
		}
		i.state.ApplyMembership(put, mc.Drop)
		i.outcome = append(i.outcome, outcome{id: mc.Change})
	default:
		panic(fmt.Sprintf("entry %d is of the kind %v, which nobody proposes", e.GetIndex(), e.GetType()))
	}
	i.applied = e.GetIndex()
}

func (i *Instance) applyChange(data []byte) {
	m, c, err := i.decode(data)
	if err != nil {
		// Hazard: to pass over what can't be read would be to agree on something else than
		// the instances that can read it.
		panic(err)
	}
	switch {
	case m.Enter:
		i.state.UpgradeFormat()
	case m.Command != nil:
		i.applyCommand(m.Command)
	case i.cfg.Rules.HasCommand(m):
		i.applyWord(m)
	default:
		if o, ok := i.state.ApplyChange(c); ok {
			i.outcome = append(i.outcome, outcome{c.ID, o})
		}
	}
	i.seat()
	i.state.UpdateOwners()
	i.tell()
}

// tell tells the newest revision, if it has not been told.
func (i *Instance) tell() {
	if r := i.state.CurrentRevision(); r.Number > i.told {
		i.told = r.Number
		i.out.Revisions = append(i.out.Revisions, r)
	}
}

// image writes the state in the place of the entries that made it.
func (i *Instance) image() {
	snap, err := i.storage.CreateSnapshot(i.applied, i.conf, i.state.Encode())
	if err != nil {
		panic(err)
	}
	i.imaged, i.reshaped = i.applied, false
	if first, _ := i.storage.FirstIndex(); i.applied > i.cfg.SnapshotCatchUpEntries &&
		i.applied-i.cfg.SnapshotCatchUpEntries > first {
		if err := i.storage.Compact(i.applied - i.cfg.SnapshotCatchUpEntries); err != nil {
			panic(err)
		}
	}
	im := &schema.Image{Identity: i.identity}
	hard, _, err := i.storage.InitialState()
	if err == nil {
		im.HardState, err = proto.Marshal(hard)
	}
	if err == nil {
		im.Snapshot, err = proto.Marshal(snap)
	}
	last, _ := i.storage.LastIndex()
	if err == nil && last > i.applied {
		var entries []*pb.Entry
		entries, err = i.storage.Entries(i.applied+1, last+1, 1<<62)
		for _, e := range entries {
			b, bad := proto.Marshal(e)
			if bad != nil {
				panic(bad)
			}
			im.Entries = append(im.Entries, b)
		}
	}
	if err == nil {
		i.out.Snapshot, err = proto.Marshal(im)
	}
	if err != nil {
		panic(err)
	}
}

// Compact has the next Finish write an image, for operators who ask for it.
func (i *Instance) Compact() {
	if i.rn != nil && i.state != nil && i.halted == nil && i.applied > i.imaged {
		i.guarded(i.image)
	}
}

func encodeChange(c clusterstate.Change, format int) []byte {
	return encode(&schema.Change{Id: c.ID, Base: c.BaseRevision, Author: c.Author, Note: c.Note,
		AtMs: c.ProposedAt.UnixMilli(), Format: uint32(format), Document: c.Document.Encode()})
}

// decode reads what is in the log: a change, or the message that holds something else.
func (i *Instance) decode(b []byte) (*schema.Change, clusterstate.Change, error) {
	m := &schema.Change{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, clusterstate.Change{}, fmt.Errorf("a change in the log can't be read: %w", err)
	}
	if m.Format > clusterstate.LatestFormat {
		return nil, clusterstate.Change{}, fmt.Errorf(
			"a change in the log has format %d; this program reads %d and must be renewed",
			m.Format,
			clusterstate.LatestFormat,
		)
	}
	if m.Command != nil || m.Enter || i.cfg.Rules.HasCommand(m) {
		return m, clusterstate.Change{}, nil
	}
	doc, err := clusterstate.DecodeDocument(m.Document)
	if err != nil {
		return nil, clusterstate.Change{}, err
	}
	return m, clusterstate.Change{
		ID:           m.Id,
		BaseRevision: m.Base,
		Author:       m.Author,
		Note:         m.Note,
		ProposedAt:   time.UnixMilli(m.AtMs),
		Document:     doc,
	}, nil
}
