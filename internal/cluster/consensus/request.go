package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// request waits for its answer.
type request struct {
	ticket RequestID
	kind   requestKind
	id     string // of the change, or of the read
	data   []byte // of a proposal, to go in again under another leader
	until  uint64 // ticks
	tried  uint64 // ticks, when it went in last
	lead   uint64 // to whom
	index  uint64 // a read waits until so much is applied; 0: not known yet
	target uint64 // of a transfer

	command bool // an operator's word
	noWait  bool // answered once the change begins to take hold
}

type requestKind uint8

const (
	proposing requestKind = iota
	reading
	moving
	transferring
)

func (i *Instance) admit(r *request) RequestID {
	i.ticket++
	r.ticket, r.until = i.ticket, i.ticks+uint64(i.cfg.RequestTimeoutTicks)
	return r.ticket
}

func (i *Instance) answer(r *request, err error, o clusterstate.Outcome) {
	i.out.Responses = append(i.out.Responses, Response{RequestID: r.ticket, Err: err, Outcome: o})
}

// unfit says why this instance can't take part, if so.
func (i *Instance) unfit() error {
	switch {
	case i.rn == nil:
		return ErrNoGroup
	case i.halted != nil:
		return i.halted
	case i.gone():
		return ErrRemoved
	case i.state == nil || i.rn.BasicStatus().Lead == raft.None:
		return ErrNoLeader
	}
	return nil
}

// Propose asks for a change. What is refused anyway is answered at once and does not go
// into the log; at an instance that knows no leader, everything is.
//
// The answer comes when the change is in force, or is not to be; with noWait as soon as it
// begins to take hold, with the code Accepted and the revision that it is to be.
func (i *Instance) Propose(c clusterstate.Change, noWait bool) RequestID {
	r := &request{kind: proposing, id: c.ID, noWait: noWait}
	ticket := i.admit(r)
	if err := i.unfit(); err != nil {
		i.answer(r, err, clusterstate.Outcome{})
		return ticket
	}
	// An instance that lags may know an older revision than the change was made from. That
	// is no conflict yet; where the change is in the log, all will see it alike.
	newest := i.state.CurrentRevision().Number
	if old, silent := i.olderOnes(); i.state.Format() < 2 && len(old)+len(silent) > 0 {
		// One that knows no staging would run the change as soon as it is agreed on.
		if len(old) > 0 {
			i.answer(r, refuse("%s: runs an older program, which can't make itself ready for a change "+
				"before it takes hold; renew or remove it first", strings.Join(old, ", ")),
				clusterstate.Outcome{})
		} else {
			i.answer(r, refuse("%s: not known yet to run a program that can make itself ready for a change "+
				"before it takes hold; try again, or at the leader", strings.Join(silent, ", ")),
				clusterstate.Outcome{})
		}
		return ticket
	} else if i.state.Format() < 2 {
		i.answer(r, refuse("the group is about to have changes take hold everywhere at once; try again"),
			clusterstate.Outcome{})
		return ticket
	}
	if _, known := i.state.OutcomeOf(c.ID); known || c.BaseRevision <= newest || c.Document == nil {
		// Hazard: another change that is pending here may have been withdrawn since, and this one,
		// which comes again, be in the log already. Only the log can tell.
		pending := c.BaseRevision == newest && c.Document != nil
		if o := i.state.CheckChange(c); known || o.Code != clusterstate.Accepted && !(pending &&
			o.Code == clusterstate.Conflict) {
			i.answer(r, nil, o)
			return ticket
		}
	}
	if !utf8.ValidString(c.ID) || !utf8.ValidString(c.Author) || !utf8.ValidString(c.Note) {
		i.answer(r, nil, clusterstate.Outcome{Code: clusterstate.Invalid, Revision: newest,
			Problems: []string{"id, author and note must be text"}})
		return ticket
	}
	if len(c.Document.Encode()) > clusterstate.MaxDocumentBytes {
		i.answer(r, nil, clusterstate.Outcome{Code: clusterstate.TooLarge, Revision: newest})
		return ticket
	}
	r.data = encodeChange(c, i.state.Format())
	i.waiting = append(i.waiting, r)
	i.guarded(func() { i.try(r) })
	return ticket
}

// ReadIndex asks for a moment from which on this instance has all that was agreed on when the
// request came. Its answer has no outcome.
func (i *Instance) ReadIndex() RequestID {
	r := &request{kind: reading}
	ticket := i.admit(r)
	if err := i.unfit(); err != nil {
		i.answer(r, err, clusterstate.Outcome{})
		return ticket
	}
	i.waiting = append(i.waiting, r)
	i.guarded(func() { i.try(r) })
	return ticket
}

// try puts a request into Raft, for the first time or again. That is safe: a change is
// applied once however often it is in the log, and a read has no effect.
func (i *Instance) try(r *request) {
	s := i.rn.BasicStatus()
	r.tried, r.lead = i.ticks, s.Lead
	switch r.kind {
	case proposing:
		// One that is dropped, say because too much waits, is tried again later.
		_ = i.rn.Propose(r.data)
	case reading:
		// A number of its own each time: an answer to an earlier try that comes late must
		// not be taken for one to this.
		r.id = string(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(
			binary.BigEndian.AppendUint64(nil, i.identity.Id), uint64(r.ticket)), i.ticks))
		i.rn.ReadIndex([]byte(r.id))
	}
}

func (i *Instance) readAt(s raft.ReadState) {
	if x := &i.ses; x.read != "" && x.read == string(s.RequestCtx) {
		x.index = max(s.Index, 1)
		return
	}
	for _, r := range i.waiting {
		if r.kind == reading && bytes.Equal([]byte(r.id), s.RequestCtx) {
			r.index = s.Index
		}
	}
}

// look answers the requests that can be answered now, and tries others again.
func (i *Instance) look() {
	if i.rn == nil {
		return
	}
	s := i.rn.BasicStatus()
	keep := i.waiting[:0]
	for _, r := range i.waiting {
		if !i.settled(r, s) {
			keep = append(keep, r)
		}
	}
	clear(i.waiting[len(keep):])
	i.waiting = keep
	i.outcome = i.outcome[:0]
}

func (i *Instance) settled(r *request, s raft.BasicStatus) bool {
	switch r.kind {
	case proposing, moving:
		for _, o := range i.outcome {
			if o.id == r.id {
				i.answer(r, nil, o.res)
				return true
			}
		}
		if p, ok := i.pending(r); ok {
			if r.noWait {
				i.answer(r, nil, clusterstate.Outcome{Code: clusterstate.Accepted, Revision: p.Number})
				return true
			}
			// It is in the log, and has its bounds in time there. Hazard: an instance that is cut off
			// or was removed does not hear of its end, and would wait for ever.
			if s.Lead != raft.None && !i.gone() {
				r.until = max(r.until, i.ticks+uint64(i.cfg.RequestTimeoutTicks))
			}
			if i.ticks < r.until {
				return false
			}
		}
		if r.kind == proposing && i.state != nil {
			// It may have come with a snapshot.
			if o, ok := i.state.OutcomeOf(r.id); ok {
				i.answer(r, nil, o)
				return true
			}
		}
	case reading:
		if r.index > 0 && i.applied >= r.index {
			i.answer(r, nil, clusterstate.Outcome{})
			return true
		}
	case transferring:
		if s.Lead == r.target {
			i.answer(r, nil, clusterstate.Outcome{})
			return true
		}
	}
	if i.ticks >= r.until {
		err := ErrOutcomeUnknown
		if r.kind == reading {
			err = ErrNoLeader
		}
		i.answer(r, err, clusterstate.Outcome{})
		return true
	}
	// Hazard: what was handed to a leader that is no more, or got lost on the way, would
	// wait in vain.
	again := i.ticks-r.tried >= uint64(i.cfg.ElectionTicks) || s.Lead != r.lead
	if (r.kind == proposing || r.kind == reading) && r.index == 0 && s.Lead != raft.None && again &&
		i.ticks > r.tried {
		i.try(r)
	}
	return false
}

// pending is the change that a request is about, if it takes hold now.
func (i *Instance) pending(r *request) (clusterstate.Revision, bool) {
	if i.state == nil || r.kind != proposing || r.command {
		return clusterstate.Revision{}, false
	}
	p, ok := i.state.PendingRevision()
	return p, ok && p.ChangeID == r.id
}

// Operate changes the members or the leader. Only the leader does it; the number of a new
// instance must be known, for it is the instance that chose it.
func (i *Instance) Operate(op *schema.Operation, number uint64) RequestID {
	r := &request{kind: moving}
	ticket := i.admit(r)
	err := i.unfit()
	if err == nil {
		if s := i.rn.BasicStatus(); s.RaftState != raft.StateLeader {
			m, _ := i.state.Member(s.Lead)
			err = &NotLeaderError{m}
		}
	}
	if err == nil {
		i.guarded(func() { err = i.operate(r, op, number) })
	}
	if err == nil {
		err = i.halted
	}
	if err != nil {
		i.answer(r, err, clusterstate.Outcome{})
		return ticket
	}
	i.waiting = append(i.waiting, r)
	i.look()
	return ticket
}

func refuse(format string, args ...any) error { return &RejectedError{fmt.Sprintf(format, args...)} }

func (i *Instance) operate(r *request, op *schema.Operation, number uint64) error {
	switch op.Kind {
	case schema.Operation_ADD, schema.Operation_PROMOTE, schema.Operation_REMOVE, schema.Operation_REPLACE,
		schema.Operation_TRANSFER:
	default:
		return i.operateSubject(r, op)
	}
	m, known := i.state.MemberByName(op.Name)
	if op.Kind != schema.Operation_ADD && !known {
		return refuse("the group has no instance %q", op.Name)
	}
	if op.Kind == schema.Operation_TRANSFER {
		if !slices.Contains(i.conf.GetVoters(), m.ID) {
			return refuse("%s has no vote; promote it first", m.Name)
		}
		r.kind, r.target = transferring, m.ID
		r.until = i.ticks + uint64(3*i.cfg.ElectionTicks)
		i.rn.TransferLeader(m.ID)
		return nil
	}
	if len(i.conf.GetVotersOutgoing()) > 0 ||
		slices.ContainsFunc(i.waiting, func(w *request) bool { return w.kind == moving }) {
		return refuse("another change of the members is under way")
	}
	mc := &schema.MembersChange{Change: fmt.Sprintf("members/%x/%d/%d", i.identity.Id, i.ticks, r.ticket)}
	cc := &pb.ConfChangeV2{}
	change := func(t pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)})
	}
	switch op.Kind {
	case schema.Operation_ADD:
		if err := i.mayAdd(op, m, known, number); err != nil {
			return err
		}
		change(pb.ConfChangeType_ConfChangeAddLearnerNode, number)
		mc.Put = []*schema.Member{{Id: number, Name: op.Name, Address: op.Address}}
	case schema.Operation_PROMOTE:
		if err := i.mayPromote(m); err != nil {
			return err
		}
		change(pb.ConfChangeType_ConfChangeAddNode, m.ID)
	case schema.Operation_REMOVE:
		change(pb.ConfChangeType_ConfChangeRemoveNode, m.ID)
		mc.Drop = []uint64{m.ID}
	case schema.Operation_REPLACE:
		by, ok := i.state.MemberByName(op.By)
		if !ok {
			return refuse("the group has no instance %q", op.By)
		}
		if err := i.mayPromote(by); err != nil {
			return err
		}
		// Two changes in one go through a joint configuration, in which both the old and
		// the new majority must agree; Raft leaves it by itself.
		change(pb.ConfChangeType_ConfChangeAddNode, by.ID)
		change(pb.ConfChangeType_ConfChangeRemoveNode, m.ID)
		mc.Drop = []uint64{m.ID}
	default:
		return refuse("%v is no operation on members", op.Kind)
	}
	if err := i.mayLose(cc, op.Force); err != nil {
		return err
	}
	b, err := proto.Marshal(mc)
	if err != nil {
		return err
	}
	cc.Context = b
	r.id = mc.Change
	if err := i.rn.ProposeConfChange(cc); err != nil {
		return fmt.Errorf("%w (%v)", ErrNoLeader, err)
	}
	return nil
}

func (i *Instance) mayAdd(op *schema.Operation, m clusterstate.Member, known bool, number uint64) error {
	switch {
	case number == 0 || op.Name == "" || op.Address == "":
		return refuse("a new instance needs a name, an address and its number")
	case known && m.ID == number:
		return refuse("%s is a member already", op.Name)
	case known:
		return refuse(
			"the group has another instance %s (%x): if that one's disk is lost, remove it first",
			m.Name,
			m.ID,
		)
	case i.state.WasRemoved(number):
		return refuse("the instance %x was removed before; start it on an empty directory", number)
	}
	for _, o := range i.state.Members() {
		if o.Address == op.Address {
			return refuse("%s is at %s already", o.Name, o.Address)
		}
	}
	return nil
}

// mayPromote refuses to give a vote to one that lags or is silent: the group would need
// it for its majorities at once.
func (i *Instance) mayPromote(m clusterstate.Member) error {
	if !slices.Contains(i.conf.GetLearners(), m.ID) {
		return refuse("%s has a vote already", m.Name)
	}
	s := i.rn.Status()
	behind := s.GetCommit() - min(s.GetCommit(), s.Progress[m.ID].Match)
	if !i.active(m.ID) || s.Progress[m.ID].Match == 0 || behind > 16 {
		return refuse(
			"%s lags %d entries behind or is not heard of; try again when it has caught up",
			m.Name,
			behind,
		)
	}
	return nil
}

// mayLose refuses a change after which no majority would be heard of.
func (i *Instance) mayLose(cc *pb.ConfChangeV2, force bool) error {
	voters := slices.Clone(i.conf.GetVoters())
	for _, c := range cc.GetChanges() {
		voters = slices.DeleteFunc(voters, func(id uint64) bool { return id == c.GetNodeId() })
		if c.GetType() == pb.ConfChangeType_ConfChangeAddNode {
			voters = append(voters, c.GetNodeId())
		}
	}
	if len(voters) == 0 {
		return refuse("the last instance with a vote can't be removed")
	}
	active := 0
	for _, id := range voters {
		if i.active(id) {
			active++
		}
	}
	if active <= len(voters)/2 && !force {
		return refuse(
			"of the %d voters left only %d would be heard of, no majority; --force does it all the same",
			len(voters),
			active,
		)
	}
	return nil
}

// active says whether a member was heard of lately.
func (i *Instance) active(id uint64) bool {
	at, ok := i.heard[id]
	return id == i.identity.Id || ok && i.ticks-at <= uint64(2*i.cfg.ElectionTicks)
}
