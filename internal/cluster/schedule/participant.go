package schedule

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// ClusterClock is a cluster time and the time of the instance's monotonic clock at which it was received.
type ClusterClock struct {
	ClusterTime int64 // Unix nanoseconds; 0: unknown
	ObservedAt  time.Duration
}

// TimeAt extrapolates the cluster time, in Unix nanoseconds, to a time of the monotonic clock; 0: unknown.
func (c ClusterClock) TimeAt(now time.Duration) int64 {
	if c.ClusterTime == 0 {
		return 0
	}
	return c.ClusterTime + int64(now-c.ObservedAt)
}

// participant runs an instance's Scheduler and, while the instance is the group's leader, a Leader.
type participant struct {
	local            replicated.LocalInfo
	scheduler        *Scheduler
	leader           *Leader // nil: this instance is not the leader
	resendAll        bool    // a snapshot was installed: notify the node of all its firings again
	clock            ClusterClock
	clockRequestedAt time.Duration // when the request was sent whose grant set clock
	publishedClock   ClusterClock  // the clock that the node was last notified of
}

// BecomeLeader implements replicated.Participant. Term 0 means that the instance is no longer the leader.
func (p *participant) BecomeLeader(_ time.Duration, term uint64) {
	if p.leader = nil; term != 0 {
		p.leader = NewLeader(term)
	}
}

// configureScheduler sets the scheduler's policy to the one in force and creates the scheduler if needed.
func (p *participant) configureScheduler(s *StateMachine) {
	if p.scheduler == nil {
		zones := p.local.TimeZones
		if zones == nil {
			zones = calendar.NewZoneDB()
		}
		p.scheduler = NewScheduler(zones)
	}
	p.scheduler.Configure(s.Policy())
}

// FillReport implements replicated.Participant. It adds this instance's clock and zone rules version.
func (p *participant) FillReport(v replicated.InstanceView, r *schema.SessionReport) {
	if p.local.WallClock == nil {
		return
	}
	s := v.StateMachine.(*StateMachine)
	p.configureScheduler(s)
	r.WallNs = p.local.WallClock().UnixNano()
	r.PlanVersion, r.Zones = s.Policy().Version, p.scheduler.ZoneRulesVersion()
}

// ObserveReport implements replicated.Participant.
func (p *participant) ObserveReport(now time.Duration, member uint64, r *schema.SessionReport) {
	if p.leader != nil {
		p.leader.ObserveReading(now, member, ClockReading{WallClock: r.WallNs, PolicyVersion: r.PlanVersion,
			ZoneRulesVersion: r.Zones})
	}
}

// leaderGroup converts an instance's view of the group for the Leader.
func leaderGroup(v replicated.InstanceView) Group {
	return Group{Members: v.Group.EligibleOwners(), Size: v.Group.Size(), LeaseDuration: v.LeaseDuration,
		ExpiredSessions: v.Group.ExpiredSessions(), Departing: v.Group.Departing,
		Isolated: v.Group.Isolated}
}

// FillGrant implements replicated.Participant. It adds the cluster time if there are triggers and the time is
// known.
func (p *participant) FillGrant(v replicated.InstanceView, _ uint64, g *schema.SessionGrant) {
	if s := v.StateMachine.(*StateMachine); p.leader != nil && s.Policy().Version != 0 {
		g.FleetNs = p.leader.ClusterTime(v.Now, s.State, leaderGroup(v))
	}
}

// ObserveGrant implements replicated.Participant.
//
// It ignores a grant whose request is not the latest so far: a delayed grant would set the cluster time back.
func (p *participant) ObserveGrant(now time.Duration, g *schema.SessionGrant, _ uint64) {
	if requestedAt := time.Duration(g.AskedNs); g.FleetNs != 0 && requestedAt > p.clockRequestedAt {
		p.clock, p.clockRequestedAt = ClusterClock{g.FleetNs, now}, requestedAt
	}
}

// LeaderCommands implements replicated.Participant. It declares the policy and the members that may not own
// shards.
func (p *participant) LeaderCommands(v replicated.InstanceView) []*schema.Change {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.PolicyVersion == 0 {
		return nil
	}
	if c, ok := p.leader.Evaluate(v.Now, s.State, leaderGroup(v)); ok {
		return []*schema.Change{EncodeCommand(c)}
	}
	return nil
}

// Advance implements replicated.Participant. It proposes the commands for the shards that this instance owns.
// Its notifications are a ClusterClock, an []Event and a []Firing, in this order; each may be missing.
func (p *participant) Advance(v replicated.InstanceView) (notifications []any, commands []*schema.Change) {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.PolicyVersion == 0 {
		return nil, nil
	}
	p.configureScheduler(s)
	session := v.Session
	if session.Epoch == 0 {
		session = Session{}
	}
	notifications = p.notifications(s, session)
	in := Input{Now: v.Now, LeaseDuration: v.LeaseDuration, Retryable: s.retryable}
	// An instance that was partitioned has an outdated log, which may still assign it shards that another
	// instance owns. It may therefore act only until its ownership expires.
	if session.Epoch != 0 && !v.Departing && v.Now < v.OwnershipExpiresAt && p.clock.ClusterTime != 0 {
		in.Session, in.ClusterTime = session, p.clock.TimeAt(v.Now)/int64(time.Second)
	}
	for _, c := range p.scheduler.Evaluate(s.State, in) {
		commands = append(commands, EncodeCommand(c))
	}
	return notifications, commands
}

// notifications returns what the node has not been notified of yet.
func (p *participant) notifications(s *StateMachine, session Session) (list []any) {
	if p.clock != p.publishedClock {
		p.publishedClock = p.clock
		list = append(list, p.clock)
	}
	if events := s.PopEvents(); len(events) > 0 {
		list = append(list, events)
	}
	if firings := s.PopNewFirings(session, p.resendAll); session != (Session{}) {
		if p.resendAll = false; len(firings) > 0 {
			list = append(list, firings)
		}
	}
	return list
}

// SnapshotInstalled implements replicated.Participant.
func (p *participant) SnapshotInstalled() { p.resendAll = true }

// Receive implements replicated.Participant. The node's message is a []FiringResult.
func (p *participant) Receive(v replicated.InstanceView, message any) {
	results, _ := message.([]FiringResult)
	p.configureScheduler(v.StateMachine.(*StateMachine))
	for _, r := range results {
		p.scheduler.RecordResult(r.Number, r.Session, r.Result)
	}
}

// Status is the state of the triggers as one instance sees it.
type Status struct {
	Triggers         int
	Owned            int // number of triggers that this instance fires
	Open             int // number of firings without result
	ZoneRulesVersion uint64
	ClusterTime      int64             // Unix nanoseconds; 0: unknown
	ExcludedMembers  map[uint64]string // reason by member: these members may not own shards
	ResultTotals     map[string]uint64 // by the result's name
	Failures         []Failure         // the newest ones, oldest first
}

// Status implements replicated.Participant. It returns a *Status, or nil if there are no triggers and nothing
// was ever fired.
func (p *participant) Status(v replicated.InstanceView) any {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.LastNumber == 0 {
		return nil
	}
	status := &Status{Triggers: len(s.Policy().Triggers), Open: s.OpenCount(),
		ZoneRulesVersion: s.ZoneRulesVersion, ExcludedMembers: s.ExcludedMembers,
		ResultTotals: s.ResultTotals(), Failures: s.Failures, ClusterTime: p.clock.TimeAt(v.Now)}
	if p.scheduler != nil {
		status.Owned = p.scheduler.OwnedTriggers()
	}
	return status
}
