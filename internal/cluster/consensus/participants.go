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
	replicated.StateMachineType
	part replicated.Participant
}

func partsOf(c Config) []subjectPart {
	own := replicated.LocalInfo{WallClock: c.WallClock, TimeZones: c.Zones, Labels: c.Labels}
	var list []subjectPart
	for _, x := range c.Rules.StateMachineTypes() {
		if p := x.NewParticipant(own); p != nil {
			list = append(list, subjectPart{x, p})
		}
	}
	return list
}

// view is how this instance stands, as a subject's part sees it.
func (i *Instance) view(p subjectPart) replicated.InstanceView {
	x := &i.ses
	v := replicated.InstanceView{
		Now:           x.now,
		StateMachine:  i.state.StateMachine(p.Section()),
		AppliedIndex:  i.applied,
		LeaseDuration: i.policy().Lease,
		Departing:     x.away,
		Group:         group{i},
		MemberID:      i.identity.Id,
		Incarnation:   x.holder.Incarnation(),
	}
	if epoch := x.holder.Epoch(); epoch != 0 && !i.gone() {
		v.Session = placement.Session{Member: i.identity.Id, Epoch: epoch}
		v.OwnershipExpiresAt = x.seats.right.ExpiresAt(epoch, v.LeaseDuration)
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
		one := replicated.Member{
			Member: placement.Member{Session: placement.Session{Member: m.ID}, Name: m.Name},
			Voter:  slices.Contains(g.i.conf.GetVoters(), m.ID),
		}
		if x.leader != nil {
			one.Healthy = x.leader.Healthy(x.now, m.ID, g.i.policy().Lease)
		}
		if s := g.i.state.Rollout().Sessions[m.ID]; s.Open && !s.Unleased {
			one.Epoch = s.Epoch
		}
		list = append(list, one)
	}
	return list
}

func (g group) EligibleOwners() []placement.Member { return g.i.state.EligibleOwners() }

func (g group) Departing(member uint64) bool { return g.i.ses.aways[member] }

func (g group) Expired(member uint64) bool {
	x := &g.i.ses
	return x.leader != nil && x.leader.LeaseExpired(x.now, member, g.i.policy())
}

func (g group) ExpiredSessions() []placement.Session {
	var list []placement.Session
	for _, s := range g.i.state.Rollout().List() {
		if !s.Open && g.Expired(s.Member) {
			list = append(list, placement.Session{Member: s.Member, Epoch: s.Epoch})
		}
	}
	return list
}

// judgeSubjects has the leader's side of each subject judge.
func (i *Instance) judgeSubjects() {
	for _, p := range i.ses.parts {
		if i.state.Format() < p.SinceFormat() {
			continue
		}
		for _, e := range p.part.LeaderCommands(i.view(p)) {
			_ = i.rn.Propose(encode(e)) // dropped, it is asked for again
		}
	}
}

// actSubjects has each subject's part do what is its to do.
func (i *Instance) actSubjects() {
	for _, p := range i.ses.parts {
		told, words := p.part.Advance(i.view(p))
		i.out.Notifications = append(i.out.Notifications, told...)
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
		p.part.ObserveReport(x.now, member, r)
	}
}

// NotifyParticipant gives a subject's part what the rest of the node has to say.
func (i *Instance) NotifyParticipant(section string, word any) {
	if i.state == nil || i.halted != nil {
		return
	}
	for _, p := range i.ses.parts {
		if p.Section() == section {
			p.part.Receive(i.view(p), word)
		}
	}
	i.sessions()
}

// SetDeparting says whether this instance is about to end, and so hands on what it holds.
func (i *Instance) SetDeparting(away bool) {
	i.ses.away = away
	i.ses.holder.ReportNow()
	i.sessions()
}

// applyWord applies a subject's word in the log.
func (i *Instance) applyWord(e *schema.Change) {
	w, ok := i.state.DecodeCommand(e)
	// Hazard: as with sessions, a deposed leader's judgement is void.
	if !ok || w.LeaderDecision && w.Term != i.appliedTerm {
		return
	}
	o := i.state.ApplyCommand(w)
	if w.ID != "" {
		i.outcome = append(i.outcome, outcome{w.ID, o})
	} else if o.Code != clusterstate.Accepted {
		i.cfg.Logger.WithField("why", o.Problems).Debug("a subject's word is void")
	}
}

// knows says why a group does not know a subject yet.
func (i *Instance) knows(x replicated.StateMachineType) error {
	if i.state.Format() < x.SinceFormat() {
		return refuse("an instance runs a program that knows no %s; renew it first", x.Section())
	}
	return nil
}

// operateSubject puts an operator's wish into the log, where it can be met.
func (i *Instance) operateSubject(r *request, op *schema.Operation) error {
	id := fmt.Sprintf("wish/%x/%d/%d", i.identity.Id, i.ses.holder.Incarnation(), r.ticket)
	for _, p := range i.ses.parts {
		o, ok := p.part.(replicated.OperatorControlled)
		if !ok {
			continue
		}
		e, mine, err := o.CommandFor(i.view(p), op, id)
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

// ProposeCommand puts a subject's word into the log: a holder's, or an operator's. Its id must be in it.
func (i *Instance) ProposeCommand(section string, e *schema.Change, id string) RequestID {
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
