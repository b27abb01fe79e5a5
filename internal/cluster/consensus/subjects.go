package consensus

import (
	"fmt"
	"slices"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// subjectPart is an instance's part in a subject.
type subjectPart struct {
	replicated.Subject
	part replicated.Part
}

func partsOf(c Config) []subjectPart {
	own := replicated.Own{Wall: c.Wall, Zones: c.Zones, Labels: c.Labels}
	var list []subjectPart
	for _, x := range c.Rules.All() {
		if p := x.Part(own); p != nil {
			list = append(list, subjectPart{x, p})
		}
	}
	return list
}

// view is how this instance stands, as a subject's part sees it.
func (i *Instance) view(p subjectPart) replicated.View {
	x := &i.ses
	v := replicated.View{Now: x.now, State: i.state.Part(p.Section()), Applied: i.applied,
		Lease: i.policy().Lease, Away: x.away, Group: group{i}, Self: i.identity.Id, Life: x.holder.Nonce()}
	if epoch := x.holder.Epoch(); epoch != 0 && !i.gone() {
		v.Own = placement.Seat{Member: i.identity.Id, Epoch: epoch}
		v.Until = x.seats.right.Until(epoch, v.Lease)
	}
	return v
}

// group is whom the instance belongs to, as subjects see it.
type group struct{ i *Instance }

func (g group) Size() int { return g.i.state.Size() }

func (g group) Members() []replicated.Member {
	x := &g.i.ses
	var list []replicated.Member
	for _, m := range g.i.state.Members() {
		one := replicated.Member{Member: placement.Member{Seat: placement.Seat{Member: m.ID}, Name: m.Name},
			Voter: slices.Contains(g.i.conf.GetVoters(), m.ID)}
		if x.leader != nil {
			one.Well = x.leader.Well(x.now, m.ID, g.i.policy().Lease)
		}
		if s := g.i.state.Rollout().Sessions[m.ID]; s.Open && !s.Loose {
			one.Epoch = s.Epoch
		}
		list = append(list, one)
	}
	return list
}

func (g group) Seated() []placement.Member { return g.i.state.Seated() }

func (g group) Away(member uint64) bool { return g.i.ses.aways[member] }

func (g group) Out(member uint64) bool {
	x := &g.i.ses
	return x.leader != nil && x.leader.Out(x.now, member, g.i.policy())
}

func (g group) Over() []placement.Seat {
	var list []placement.Seat
	for _, s := range g.i.state.Rollout().List() {
		if !s.Open && g.Out(s.Member) {
			list = append(list, placement.Seat{Member: s.Member, Epoch: s.Epoch})
		}
	}
	return list
}

// judgeSubjects has the leader's side of each subject judge.
func (i *Instance) judgeSubjects() {
	for _, p := range i.ses.parts {
		if i.state.Format() < p.Since() {
			continue
		}
		for _, e := range p.part.Judge(i.view(p)) {
			_ = i.rn.Propose(encode(e)) // dropped, it is asked for again
		}
	}
}

// actSubjects has each subject's part do what is its to do.
func (i *Instance) actSubjects() {
	for _, p := range i.ses.parts {
		told, words := p.part.Act(i.view(p))
		i.out.Told = append(i.out.Told, told...)
		for _, e := range words {
			_ = i.rn.Propose(encode(e)) // dropped, it is asked for again
		}
	}
}

// heardOf takes what a member has said of itself.
func (i *Instance) heardOf(member uint64, r *schema.SessionReport) {
	x := &i.ses
	if len(x.aways) > 1024 {
		clear(x.aways)
	}
	x.aways[member] = r.Away
	for _, p := range x.parts {
		p.part.Heard(x.now, member, r)
	}
}

// Take gives a subject's part what the rest of the node has to say.
func (i *Instance) Take(section string, word any) {
	if i.state == nil || i.halted != nil {
		return
	}
	for _, p := range i.ses.parts {
		if p.Section() == section {
			p.part.Take(i.view(p), word)
		}
	}
	i.sessions()
}

// Away says whether this instance is about to end, and so hands on what it holds.
func (i *Instance) Away(away bool) {
	i.ses.away = away
	i.ses.holder.Again()
	i.sessions()
}

// applyWord applies a subject's word in the log.
func (i *Instance) applyWord(e *schema.Change) {
	w, ok := i.state.Read(e)
	// Hazard: as with sessions, a deposed leader's judgement is void.
	if !ok || w.Judged && w.Term != i.appliedTerm {
		return
	}
	o := i.state.Say(w)
	if w.ID != "" {
		i.outcome = append(i.outcome, outcome{w.ID, o})
	} else if o.Code != clusterstate.Accepted {
		i.cfg.Log.WithField("why", o.Problems).Debug("a subject's word is void")
	}
}

// knows says why a group does not know a subject yet.
func (i *Instance) knows(x replicated.Subject) error {
	if i.state.Format() < x.Since() {
		return refuse("an instance runs a program that knows no %s; renew it first", x.Section())
	}
	return nil
}

// operateSubject puts an operator's wish into the log, where it can be met.
func (i *Instance) operateSubject(r *request, op *schema.Operation) error {
	id := fmt.Sprintf("wish/%x/%d/%d", i.identity.Id, i.ses.holder.Nonce(), r.ticket)
	for _, p := range i.ses.parts {
		o, ok := p.part.(replicated.Operated)
		if !ok {
			continue
		}
		e, mine, err := o.Operate(i.view(p), op, id)
		if !mine {
			continue
		}
		if err == nil {
			err = i.knows(p)
		}
		if err != nil {
			return refuse("%v", err)
		}
		r.kind, r.command, r.id, r.data = proposing, true, id, encode(e)
		i.guarded(func() { i.try(r) })
		return nil
	}
	return refuse("%v is no operation that this program knows", op.Kind)
}

// Say puts a subject's word into the log: a holder's, or an operator's. Its id must be in it.
func (i *Instance) Say(section string, e *schema.Change, id string) Ticket {
	r := &request{kind: proposing, id: id, command: true}
	ticket := i.admit(r)
	err := i.unfit()
	for _, p := range i.ses.parts {
		if err == nil && p.Section() == section {
			err = i.knows(p)
		}
	}
	if err != nil {
		i.answer(r, err, clusterstate.Outcome{})
		return ticket
	}
	r.data = encode(e)
	i.waiting = append(i.waiting, r)
	i.guarded(func() { i.try(r) })
	return ticket
}

// subjects is how each subject stands that has something to say.
func (i *Instance) subjects() map[string]any {
	out := map[string]any{}
	for _, p := range i.ses.parts {
		if s := p.part.Status(i.view(p)); s != nil {
			out[p.Section()] = s
		}
	}
	return out
}
