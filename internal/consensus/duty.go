package consensus

import (
	"fmt"
	"reflect"

	"moorstack/internal/agreement"
	"moorstack/internal/duty"
	"moorstack/internal/rollout"
	"moorstack/internal/schema"
)

// duties are an instance's part in them: what it holds itself, and as leader who is to hold what.
type duties struct {
	holder duty.Holder
	leader *duty.Leader // of the same term as the sessions'
	last   []duty.Held  // as told last
	away   bool
	labels []string
	// What members have said of themselves, for the leader.
	words map[uint64]word
}

type word struct {
	away   bool
	labels []string
}

func (d *duties) told(member uint64, away bool, labels []string) {
	if d.words == nil || len(d.words) > 1024 {
		d.words = map[uint64]word{}
	}
	d.words[member] = word{away, labels}
}

// Away says whether this instance is about to end, and so hands on what it holds.
func (i *Instance) Away(away bool) {
	i.ses.duties.away = away
	i.ses.holder.Again()
	i.sessions()
}

// Labels says what this instance has that duties ask for.
func (i *Instance) Labels(labels []string) { i.ses.duties.labels = labels }

// granted takes a lease.
func (i *Instance) granted(g rollout.Grant, index, applied uint64) {
	i.ses.holder.Granted(g)
	i.seatGranted(g, applied)
	i.ses.duties.holder.Granted(g.Epoch, g.Asked, g.For, index, i.applied)
}

// dutiesFrom is the entry that a member's state must have for a lease granted now to count for
// duties; 0: it does not.
func (i *Instance) dutiesFrom(member uint64) uint64 {
	if !i.ses.duties.leader.Free(member, i.state.Duties()) {
		return 0
	}
	return i.applied
}

// judgeDuties has the leader's side decide who is to hold what.
func (i *Instance) judgeDuties() {
	if i.state.Format() < 3 {
		return
	}
	x, p := &i.ses, i.policy()
	v := duty.View{Now: x.now, Lease: p.Lease, Specs: i.state.Specs(),
		Over: func(member uint64) bool { return x.leader.Out(x.now, member, p) }}
	if len(v.Specs) == 0 && len(i.state.Duties().Duties) == 0 {
		return
	}
	for _, m := range i.state.Members() {
		v.Members = append(v.Members, i.asMember(m))
	}
	for _, c := range x.duties.leader.Look(i.state.Duties(), v) {
		if i.cfg.Wall != nil {
			c.AtMS = i.cfg.Wall().UnixMilli()
		}
		_ = i.rn.Propose(encodeDuty(c)) // dropped, it is asked for again
	}
}

// tellDuties tells what this instance holds, when that has changed.
func (i *Instance) tellDuties() {
	x := &i.ses.duties
	x.holder.Applied(i.applied)
	var held []duty.Held
	if !i.gone() {
		held = x.holder.Holds(i.state.Duties(), duty.Seat{Member: i.identity.Id, Epoch: i.ses.holder.Epoch()},
			i.policy().Lease)
	}
	if len(held) == 0 && len(x.last) == 0 || reflect.DeepEqual(held, x.last) {
		return
	}
	x.last = held
	i.out.Duties = &held
}

func (i *Instance) applyDuty(m *schema.DutyCommand) {
	c := duty.Command{Kind: duty.Kind(m.Kind), ID: m.Id, Term: m.Term, Duty: m.Duty, Names: m.Names,
		Seat: duty.Seat{Member: m.Member, Epoch: m.Epoch}, Name: m.Name, Number: m.Number, To: m.To,
		Turn: m.Turn, Failed: m.Failed, Reason: m.Reason, AtMS: m.AtMs}
	if m.Noted {
		c.Note = append([]byte{}, m.Note...)
	}
	// Hazard: as with sessions, a deposed leader's judgement is void.
	if c.Term != 0 && c.Term != i.appliedTerm || c.Term == 0 && c.Kind.Judged() {
		return
	}
	o := i.state.Duty(c)
	if c.ID != "" {
		i.outcome = append(i.outcome, outcome{c.ID, o})
	}
}

func encodeDuty(c duty.Command) []byte {
	return encode(&schema.Change{Format: 3, Duty: &schema.DutyCommand{Kind: uint32(c.Kind), Id: c.ID,
		Term: c.Term, Duty: c.Duty, Names: c.Names, Member: c.Seat.Member, Epoch: c.Seat.Epoch, Name: c.Name,
		Number: c.Number, Note: c.Note, Noted: c.Note != nil, To: c.To, Turn: c.Turn, Failed: c.Failed,
		Reason: c.Reason, AtMs: c.AtMS}})
}

// operateDuty puts an operator's wish into the log, where it can be met.
func (i *Instance) operateDuty(r *request, op *schema.Operation) error {
	if i.state.Format() < 3 {
		return refuse("an instance runs a program that knows no duties; renew it first")
	}
	c := duty.Command{ID: fmt.Sprintf("duty/%x/%d/%d", i.identity.Id, i.ses.holder.Nonce(), r.ticket),
		Duty: op.Name, Name: op.Author}
	d := i.state.Duties().Duties[op.Name]
	switch op.Kind {
	case schema.Operation_PAUSE:
		c.Kind = duty.Pause
	case schema.Operation_RESUME:
		c.Kind = duty.Resume
	default:
		c.Kind, c.Reason = duty.HandOn, "handed on by "+op.Author
		if d != nil {
			c.Number = d.Number
		}
		if op.By != "" && d != nil {
			m, ok := i.state.MemberNamed(op.By)
			if !ok {
				return refuse("the group has no instance %q", op.By)
			}
			if d.Holder.Member == m.ID {
				return refuse("%s holds %s", op.By, op.Name)
			}
			spec := duty.Spec{Name: op.Name}
			for _, s := range i.state.Specs() {
				if s.Name == op.Name {
					spec = s
				}
			}
			if err := duty.Eligible(i.asMember(m), spec); err != nil {
				return refuse("%s can't hold %s: %v", op.By, op.Name, err)
			}
			c.To = m.ID
		}
	}
	r.kind, r.command, r.id, r.data = proposing, true, c.ID, encodeDuty(c)
	i.guarded(func() { i.try(r) })
	return nil
}

// asMember is a member as the duties' judgement sees it.
func (i *Instance) asMember(m agreement.Member) duty.Member {
	x := &i.ses
	w := x.duties.words[m.ID]
	one := duty.Member{Seat: duty.Seat{Member: m.ID}, Name: m.Name, Away: w.away, Labels: w.labels}
	if x.leader != nil {
		one.Well = x.leader.Well(x.now, m.ID, i.policy().Lease)
	}
	if s := i.state.Rollout().Sessions[m.ID]; s.Open && !s.Loose {
		one.Seat.Epoch = s.Epoch
	}
	return one
}

// Duty puts a holder's or an operator's word into the log.
func (i *Instance) Duty(c duty.Command) Ticket {
	r := &request{kind: proposing, id: c.ID, command: true}
	ticket := i.admit(r)
	err := i.unfit()
	if err == nil && i.state.Format() < 3 {
		err = refuse("an instance runs a program that knows no duties; renew it first")
	}
	if err != nil {
		i.answer(r, err, agreement.Outcome{})
		return ticket
	}
	r.data = encodeDuty(c)
	i.waiting = append(i.waiting, r)
	i.guarded(func() { i.try(r) })
	return ticket
}
