package leasedtask

import (
	"reflect"
	"time"

	"moorstack/internal/cluster/lease"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// maxMembers bounds the members whose labels are remembered. Beyond it all labels are dropped, and the next
// reports bring them again.
const maxMembers = 1024

// participant is one instance's side of the leased tasks: which tasks it holds and, while it is the leader,
// which instance is to hold which task. It belongs to the goroutine of the consensus instance.
type participant struct {
	replicated.NoopParticipant
	clock        lease.Tracker
	assigner     *Assigner // nil unless this instance leads
	notified     []Lease   // the leases of the last notification
	notifiedPlan PlanChanged
	suspicions   Suspicions
	wallClock    func() time.Time
	labels       []string
	memberLabels map[uint64][]string // by member, as reported to this leader
}

var _ replicated.OperatorControlled = (*participant)(nil)

// Suspicions are the members that the failure detector suspects to have failed. A task is assigned to them
// only after all other members. Suspicions exclude no member, because they may be wrong, even about every
// member. A suspected holder keeps its task, because only the expiry of its lease shows that it has ended.
type Suspicions struct {
	Sequence uint64 // grows with each notification; an earlier one may arrive after a later one
	Members  map[uint64]bool
}

// PlanChanged notifies an instance that the plan of rolling restarts has changed. Every instance is notified,
// not only the task's holder.
type PlanChanged struct {
	NoteRevision uint64 // 0: there is no plan
	Member       uint64 // member number of the notified instance
	Incarnation  uint64 // of its process
	Note         []byte // the encoded plan
}

func (p *participant) BecomeLeader(now time.Duration, term uint64) {
	if p.assigner = nil; term != 0 {
		p.assigner = NewAssigner(now, term)
	}
}

func (p *participant) FillReport(_ replicated.InstanceView, r *schema.SessionReport) {
	r.Labels = p.labels
}

func (p *participant) ObserveReport(_ time.Duration, member uint64, r *schema.SessionReport) {
	if len(p.memberLabels) > maxMembers {
		clear(p.memberLabels)
	}
	p.memberLabels[member] = r.Labels
}

// FillGrant sets the log index up to which a member must have applied the log before a lease granted now
// counts for tasks. Index 0 means that the lease does not count for tasks.
func (p *participant) FillGrant(v replicated.InstanceView, member uint64, g *schema.SessionGrant) {
	if p.assigner.CanGrant(member, v.StateMachine.(*StateMachine).State) {
		g.Index = v.AppliedIndex
	}
}

func (p *participant) ObserveGrant(_ time.Duration, g *schema.SessionGrant, applied uint64) {
	p.clock.ObserveGrant(g.Epoch, time.Duration(g.AskedNs), time.Duration(g.ForNs), g.Index, applied)
}

func (p *participant) LeaderCommands(v replicated.InstanceView) (commands []*schema.Change) {
	s := v.StateMachine.(*StateMachine)
	if len(s.Specs) == 0 && len(s.Tasks) == 0 {
		return nil
	}
	view := ClusterView{Now: v.Now, Lease: v.LeaseDuration, Specs: s.Specs, LeaseExpired: v.Group.Expired}
	for _, m := range v.Group.Members() {
		view.Members = append(view.Members, p.member(v, m))
	}
	for _, c := range p.assigner.Evaluate(s.State, view) {
		if p.wallClock != nil {
			c.AtMS = p.wallClock().UnixMilli()
		}
		commands = append(commands, EncodeCommand(c))
	}
	return commands
}

// Receive records the failure detector's Suspicions.
func (p *participant) Receive(_ replicated.InstanceView, message any) {
	if s, ok := message.(Suspicions); ok && s.Sequence > p.suspicions.Sequence {
		p.suspicions = s
	}
}

// member returns a group member as the assigner sees it.
func (p *participant) member(v replicated.InstanceView, m replicated.Member) Member {
	return Member{Session: Session(m.Session), Name: m.Name, Healthy: m.Healthy,
		Departing: v.Group.Departing(m.Session.Member), Suspected: p.suspicions.Members[m.Session.Member],
		Labels: p.memberLabels[m.Session.Member]}
}

// Advance notifies this instance of the tasks that it holds ([]Lease) and of the plan of rolling restarts
// (PlanChanged), each if it has changed.
func (p *participant) Advance(v replicated.InstanceView) (notifications []any, _ []*schema.Change) {
	notifications = p.planNotification(v)
	p.clock.ObserveApplied(v.AppliedIndex)
	expiresAt := p.clock.ExpiresAt(v.Session.Epoch, v.LeaseDuration)
	held := v.StateMachine.(*StateMachine).HeldBy(Session(v.Session), expiresAt)
	if len(held) == 0 && len(p.notified) == 0 || reflect.DeepEqual(held, p.notified) {
		return notifications, nil
	}
	p.notified = held
	return append(notifications, held), nil
}

func (p *participant) planNotification(v replicated.InstanceView) []any {
	t := v.StateMachine.(*StateMachine).Tasks[RollingRestartTask]
	if t == nil || t.NoteRevision == p.notifiedPlan.NoteRevision {
		return nil
	}
	p.notifiedPlan = PlanChanged{NoteRevision: t.NoteRevision, Member: v.MemberID,
		Incarnation: v.Incarnation, Note: t.Note}
	return []any{p.notifiedPlan}
}
