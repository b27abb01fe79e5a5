package schedule

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// Type has a group agree on its triggers.
type Type struct{}

var _ replicated.StateMachineType = Type{}

// Section implements subject.Subject.
func (Type) Section() string { return Section }

// SinceFormat implements subject.Subject.
func (Type) SinceFormat() int { return 5 }

// Validate implements subject.Subject.
func (Type) Validate(t replicated.Config) []string {
	_, wrong := ParsePolicy(t.Values, KnownNames{Classes: t.ClassNames(), Tenants: t.Tenants})
	return wrong
}

// OwnsEntry implements subject.Subject.
func (Type) OwnsEntry(e *schema.Change) bool { return e.Schedule != nil }

// NewStateMachine implements subject.Subject.
func (Type) NewStateMachine(uint64) replicated.StateMachine { return &StateMachine{State: NewState()} }

// NewParticipant implements subject.Subject.
func (Type) NewParticipant(o replicated.LocalInfo) replicated.Participant {
	return &participant{local: o}
}

// StateMachine is the State as a subject's.
type StateMachine struct {
	*State
	classes []replicated.Class
}

// Configure implements subject.State.
func (a *StateMachine) Configure(t replicated.Config) {
	p, _ := ParsePolicy(t.Values, KnownNames{Classes: t.ClassNames(), Tenants: t.Tenants})
	a.State.Configure(&p)
	a.classes = t.Classes
}

// SessionsExpired implements subject.State.
func (a *StateMachine) SessionsExpired(over func(placement.Session) bool, _ string, _ int64) {
	a.State.OrphanFirings(over)
}

// Snapshot implements subject.State.
func (a *StateMachine) Snapshot() []replicated.SnapshotField {
	return []replicated.SnapshotField{{Name: "schedule", Value: a.TakeSnapshot()}}
}

// Restore implements subject.State.
func (a *StateMachine) Restore(read func(string, any) (bool, error)) error {
	var im Snapshot
	ok, err := read("schedule", &im)
	if ok && err == nil {
		a.State = NewStateFromSnapshot(im)
	}
	return err
}

// Decode implements subject.State.
func (a *StateMachine) Decode(e *schema.Change) (replicated.Command, bool) {
	if e.Schedule == nil {
		return replicated.Command{}, false
	}
	c := decodeCommand(e.Schedule)
	return replicated.Command{Term: c.Term, LeaderDecision: c.Kind == DeclarePolicy,
		Apply: func(func(placement.Session) bool) error { return a.Apply(c) }}, true
}

// retryable says whether a job of a trigger, intended so long ago, may be sent once more under its key.
func (a *StateMachine) retryable(t *Trigger, ago time.Duration) bool {
	for _, c := range a.classes {
		if c.Name != t.Class {
			continue
		}
		switch c.Idempotency {
		case "retryable":
			return true
		case "dedup":
			// Hazard: workers know a key for a time only, and for some classes only where the first
			// attempt went, which nobody knows any more.
			whole := c.KeyScope == "" || c.KeyScope == "all"
			return whole && ago+c.Timeout < c.KeyWindow
		}
	}
	return false
}

// ClusterClock is the fleet's time, in Unix nanoseconds, as an instance's own clock was at a moment.
type ClusterClock struct {
	ClusterTime int64 // 0: it is not known
	ObservedAt  time.Duration
}

// TimeAt is the fleet's time at another moment; 0: it is not known.
func (c ClusterClock) TimeAt(at time.Duration) int64 {
	if c.ClusterTime == 0 {
		return 0
	}
	return c.ClusterTime + int64(at-c.ObservedAt)
}

// participant is an instance's: what it owns itself, and as leader the fleet's time.
type participant struct {
	local            replicated.LocalInfo
	scheduler        *Scheduler
	leader           *Leader
	resendAll        bool          // after a snapshot: what this instance has must be told anew
	clock            ClusterClock  // as it was granted last
	clockRequestedAt time.Duration // of that grant
	publishedClock   ClusterClock
}

// BecomeLeader implements subject.Part.
func (p *participant) BecomeLeader(_ time.Duration, term uint64) {
	if p.leader = nil; term != 0 {
		p.leader = NewLeader(term)
	}
}

// configureScheduler has the owner's side go by the policy in force.
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

// FillReport says what this instance's clock shows, and which zone rules it has.
func (p *participant) FillReport(v replicated.InstanceView, r *schema.SessionReport) {
	if p.local.WallClock == nil {
		return
	}
	s := v.StateMachine.(*StateMachine)
	p.configureScheduler(s)
	r.WallNs, r.PlanVersion, r.Zones = p.local.WallClock().UnixNano(), s.Policy().Version,
		p.scheduler.ZoneRulesVersion()
}

// ObserveReport implements subject.Part.
func (p *participant) ObserveReport(now time.Duration, member uint64, r *schema.SessionReport) {
	if p.leader != nil {
		p.leader.ObserveReading(
			now,
			member,
			ClockReading{WallClock: r.WallNs, PolicyVersion: r.PlanVersion, ZoneRulesVersion: r.Zones},
		)
	}
}

// group is whom the leader's side judges.
func (p *participant) group(v replicated.InstanceView) Group {
	return Group{
		Members:         v.Group.EligibleOwners(),
		Size:            v.Group.Size(),
		LeaseDuration:   v.LeaseDuration,
		ExpiredSessions: v.Group.ExpiredSessions(),
		Departing:       v.Group.Departing,
	}
}

// FillGrant says the fleet's time, where it is needed and known.
func (p *participant) FillGrant(v replicated.InstanceView, _ uint64, g *schema.SessionGrant) {
	if s := v.StateMachine.(*StateMachine); p.leader != nil && s.Policy().Version != 0 {
		g.FleetNs = p.leader.ClusterTime(v.Now, s.State, p.group(v))
	}
}

// ObserveGrant takes the fleet's time. Hazard: an answer that was long on its way would put the fleet's time
// back, and a later one must not be taken for an earlier.
func (p *participant) ObserveGrant(now time.Duration, g *schema.SessionGrant, _ uint64) {
	if asked := time.Duration(g.AskedNs); g.FleetNs != 0 && asked > p.clockRequestedAt {
		p.clock, p.clockRequestedAt = ClusterClock{g.FleetNs, now}, asked
	}
}

// LeaderCommands decides who may own shards.
func (p *participant) LeaderCommands(v replicated.InstanceView) []*schema.Change {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.PolicyVersion == 0 {
		return nil
	}
	if c, ok := p.leader.Evaluate(v.Now, s.State, p.group(v)); ok {
		return []*schema.Change{EncodeCommand(c)}
	}
	return nil
}

// Advance does what is due in the shards that this instance owns, and tells what it is to fire.
func (p *participant) Advance(v replicated.InstanceView) (told []any, words []*schema.Change) {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.PolicyVersion == 0 {
		return nil, nil
	}
	p.configureScheduler(s)
	if p.clock != p.publishedClock {
		p.publishedClock = p.clock
		told = append(told, p.clock)
	}
	if events := s.TakeEvents(); len(events) > 0 {
		told = append(told, events)
	}
	own := v.Session
	if own.Epoch == 0 {
		own = Session{}
	}
	if fire := s.TakeNewFirings(own, p.resendAll); own != (Session{}) {
		if p.resendAll = false; len(fire) > 0 {
			told = append(told, fire)
		}
	}
	look := Input{Now: v.Now, LeaseDuration: v.LeaseDuration, Retryable: s.retryable}
	// Hazard: one that was cut off has the log of some time ago, and owns by it what is another's.
	if own.Epoch != 0 && !v.Departing && v.Now < v.OwnershipExpiresAt && p.clock.ClusterTime != 0 {
		look.Session, look.ClusterTime = own, p.clock.TimeAt(v.Now)/int64(time.Second)
	}
	for _, c := range p.scheduler.Evaluate(s.State, look) {
		words = append(words, EncodeCommand(c))
	}
	return told, words
}

// SnapshotInstalled implements subject.Part.
func (p *participant) SnapshotInstalled() { p.resendAll = true }

// Receive notes what became of occurrences that this instance was to fire.
func (p *participant) Receive(v replicated.InstanceView, word any) {
	results, _ := word.([]FiringResult)
	p.configureScheduler(v.StateMachine.(*StateMachine))
	for _, r := range results {
		p.scheduler.RecordResult(r.Number, r.Session, r.Result)
	}
}

// Status is how the triggers stand, as far as an instance knows.
type Status struct {
	Triggers, Owned, Open int
	ZoneRulesVersion      uint64
	ClusterTime           int64 // Unix nanoseconds; 0: not known
	ExcludedMembers       map[uint64]string
	ResultTotals          map[string]uint64
	Failures              []Failure
}

// Status implements subject.Part.
func (p *participant) Status(v replicated.InstanceView) any {
	s := v.StateMachine.(*StateMachine)
	if s.Policy().Version == 0 && s.LastNumber == 0 {
		return nil
	}
	out := &Status{
		Triggers:         len(s.Policy().Triggers),
		Open:             s.OpenCount(),
		ZoneRulesVersion: s.ZoneRulesVersion,
		ExcludedMembers:  s.ExcludedMembers,
		ResultTotals:     s.ResultTotals(),
		Failures:         s.Failures,
		ClusterTime:      p.clock.TimeAt(v.Now),
	}
	if p.scheduler != nil {
		out.Owned = p.scheduler.OwnedTriggers()
	}
	return out
}
