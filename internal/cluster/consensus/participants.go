package consensus

import (
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// participants holds this instance's participant of each replicated state machine.
type participants struct {
	replica   *replica
	sessions  *sessions
	ownership *ownership
	list      []participant
}

type participant struct {
	replicated.StateMachineType
	replicated.Participant
}

func newParticipants(r *replica, s *sessions, o *ownership) *participants {
	local := replicated.LocalInfo{WallClock: r.cfg.WallClock, TimeZones: r.cfg.Zones, Labels: r.cfg.Labels}
	ps := &participants{replica: r, sessions: s, ownership: o}
	for _, t := range r.cfg.Rules.StateMachineTypes() {
		if p := t.NewParticipant(local); p != nil {
			ps.list = append(ps.list, participant{t, p})
		}
	}
	return ps
}

// view returns this instance's state as a participant may see it.
func (ps *participants) view(p participant) replicated.InstanceView {
	r := ps.replica
	v := replicated.InstanceView{Now: r.now, StateMachine: r.state.StateMachine(p.Section()),
		AppliedIndex: r.applied, LeaseDuration: r.policy().Lease, Departing: ps.sessions.departing,
		Group: groupView{r, ps.sessions}, MemberID: r.identity.Id, Session: ps.sessions.session(),
		Incarnation: ps.sessions.lease.Incarnation()}
	v.OwnershipExpiresAt = ps.ownership.lease.ExpiresAt(v.Session.Epoch, v.LeaseDuration)
	return v
}

func (ps *participants) becomeLeader(now time.Duration, term uint64) {
	for _, p := range ps.list {
		p.BecomeLeader(now, term)
	}
}

func (ps *participants) fillReport(m *schema.SessionReport) {
	for _, p := range ps.list {
		p.FillReport(ps.view(p), m)
	}
}

func (ps *participants) observeReport(member uint64, m *schema.SessionReport) {
	for _, p := range ps.list {
		p.ObserveReport(ps.replica.now, member, m)
	}
}

func (ps *participants) fillGrant(member uint64, g *schema.SessionGrant) {
	for _, p := range ps.list {
		p.FillGrant(ps.view(p), member, g)
	}
}

func (ps *participants) observeGrant(g *schema.SessionGrant) {
	for _, p := range ps.list {
		p.ObserveGrant(ps.replica.now, g, ps.replica.applied)
	}
}

func (ps *participants) snapshotInstalled() {
	for _, p := range ps.list {
		p.SnapshotInstalled()
	}
}

// proposeDecisions proposes the leader commands of each participant. A participant returns a command again if
// Raft drops it.
func (ps *participants) proposeDecisions() {
	for _, p := range ps.list {
		if ps.replica.state.Format() < p.SinceFormat() {
			continue
		}
		for _, e := range p.LeaderCommands(ps.view(p)) {
			ps.replica.propose(encodeEntry(e))
		}
	}
}

// advance calls Advance of each participant, proposes the commands and emits the notifications.
func (ps *participants) advance() {
	for _, p := range ps.list {
		notifications, commands := p.Advance(ps.view(p))
		ps.replica.out.Notifications = append(ps.replica.out.Notifications, notifications...)
		for _, e := range commands {
			ps.replica.propose(encodeEntry(e))
		}
	}
}

// NotifyParticipant passes a notification from the rest of the node to the participant of a section.
func (i *Instance) NotifyParticipant(section string, notification any) {
	if i.state == nil || i.halted != nil {
		return
	}
	for _, p := range i.participants.list {
		if p.Section() == section {
			p.Receive(i.participants.view(p), notification)
		}
	}
	i.sessions.evaluate()
}

// checkFormat rejects commands of a state machine that the current log format does not support yet.
func (ps *participants) checkFormat(t replicated.StateMachineType) error {
	if ps.replica.state.Format() < t.SinceFormat() {
		return rejectf("an instance runs a program that knows no %s; renew it first", t.Section())
	}
	return nil
}

func (ps *participants) checkSection(section string) error {
	for _, p := range ps.list {
		if p.Section() == section {
			return ps.checkFormat(p)
		}
	}
	return nil
}

// commandFor returns the command, with the given id, that performs an operator's operation.
func (ps *participants) commandFor(op *schema.Operation, id string) (*schema.Change, error) {
	for _, p := range ps.list {
		controlled, ok := p.Participant.(replicated.OperatorControlled)
		if !ok {
			continue
		}
		e, handled, err := controlled.CommandFor(ps.view(p), op, id)
		if !handled {
			continue
		}
		if err == nil {
			err = ps.checkFormat(p)
		}
		if err != nil {
			return nil, rejectf("%v", err)
		}
		return e, nil
	}
	return nil, rejectf("%v is no operation that this program knows", op.Kind)
}

// status returns the status of each participant that has one, by section.
func (ps *participants) status() map[string]any {
	out := map[string]any{}
	for _, p := range ps.list {
		if s := p.Status(ps.view(p)); s != nil {
			out[p.Section()] = s
		}
	}
	return out
}

// groupView implements replicated.Group for participants.
type groupView struct {
	replica  *replica
	sessions *sessions
}

var _ replicated.Group = groupView{}

// Size implements replicated.Group.
func (g groupView) Size() int { return g.replica.state.Size() }

// Members implements replicated.Group.
func (g groupView) Members() []replicated.Member {
	var list []replicated.Member
	for _, m := range g.replica.state.Members() {
		member := replicated.Member{
			Member: placement.Member{Session: placement.Session{Member: m.ID}, Name: m.Name},
			Voter:  g.replica.members.voter(m.ID),
		}
		if leader := g.sessions.leader; leader != nil {
			member.Healthy = leader.Healthy(g.replica.now, m.ID, g.replica.policy().Lease)
		}
		if s := g.replica.state.Rollout().Sessions[m.ID]; s.Open && !s.Unleased {
			member.Epoch = s.Epoch
		}
		list = append(list, member)
	}
	return list
}

// EligibleOwners implements replicated.Group.
func (g groupView) EligibleOwners() []placement.Member { return g.replica.state.EligibleOwners() }

// Departing implements replicated.Group.
func (g groupView) Departing(member uint64) bool { return g.sessions.departingMembers[member] }

// Expired implements replicated.Group.
func (g groupView) Expired(member uint64) bool {
	leader := g.sessions.leader
	return leader != nil && leader.LeaseExpired(g.replica.now, member, g.replica.policy())
}

// Isolated implements replicated.Group.
func (g groupView) Isolated(member uint64) bool {
	return g.replica.policy().WhenIsolated == rollout.KeepServing && g.Expired(member)
}

// ExpiredSessions implements replicated.Group.
func (g groupView) ExpiredSessions() []placement.Session {
	var list []placement.Session
	for _, s := range g.replica.state.Rollout().List() {
		if !s.Open && g.Expired(s.Member) {
			list = append(list, placement.Session{Member: s.Member, Epoch: s.Epoch})
		}
	}
	return list
}
