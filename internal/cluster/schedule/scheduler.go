package schedule

import (
	"container/heap"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// Scheduler proposes the commands for the shards that an instance owns. It is used by one goroutine.
type Scheduler struct {
	zones            *calendar.ZoneDB
	policy           *Policy
	recurrences      []*calendar.Recurrence // by index in the policy; nil: see policyErr
	zoneRulesVersion uint64                 // of this instance's rules for the zones of the policy
	policyErr        error

	ownership *placement.Table // that the queue was built for
	session   Session          // that the queue was built for
	queue     firingQueue      // the next firing of each trigger that is owned
	stale     bool             // the queue is to be rebuilt
	inFlight  map[int]inFlightAdvance
	// lastClusterTime is the cluster time at the last evaluation, which was at lastEvaluated; 0: there was
	// none, or it proposed nothing.
	lastClusterTime int64
	lastEvaluated   time.Duration
	pendingResults  map[uint64]pendingResult // by number of the firing
	resolveSentAt   map[uint64]time.Duration // of orphaned firings with a ResolveOrphans in flight
	orphanSeenAt    map[uint64]time.Duration // when this instance first found a firing orphaned
}

// Input is what a Scheduler's evaluation depends on besides the replicated state.
type Input struct {
	Now         time.Duration // on a monotonic clock
	ClusterTime int64         // Unix seconds; 0: not known
	// Session is the instance's, if it may act on what it owns; zero: it may not.
	Session       Session
	LeaseDuration time.Duration
	// Retryable reports whether a trigger's job that was intended so long ago may be sent once more under its
	// idempotency key.
	Retryable func(t *Trigger, ago time.Duration) bool
}

// NewScheduler returns a scheduler that uses this instance's time zone rules.
func NewScheduler(zones *calendar.ZoneDB) *Scheduler {
	return &Scheduler{zones: zones, policy: &Policy{}, inFlight: map[int]inFlightAdvance{},
		pendingResults: map[uint64]pendingResult{}, resolveSentAt: map[uint64]time.Duration{},
		orphanSeenAt: map[uint64]time.Duration{}}
}

// Configure sets the policy in force.
func (sc *Scheduler) Configure(p *Policy) {
	if sc.policy.Version == p.Version {
		return
	}
	sc.policy, sc.stale = p, true
	sc.recurrences, sc.policyErr = p.Recurrences(sc.zones)
	sc.zoneRulesVersion = sc.zones.RulesVersion(p.ZoneNames())
}

// OwnedTriggers is the number of triggers that this instance fires, as of the last evaluation.
func (sc *Scheduler) OwnedTriggers() int { return len(sc.queue) }

// ZoneRulesVersion is the version of this instance's time zone rules.
func (sc *Scheduler) ZoneRulesVersion() uint64 { return sc.zoneRulesVersion }

// Evaluate returns the commands to propose now.
func (sc *Scheduler) Evaluate(s *State, in Input) []Command {
	out := sc.recordResults(s, in)
	if !sc.maySchedule(s, in) {
		sc.stale, sc.lastEvaluated = true, 0
		return out
	}
	if sc.stale || sc.ownership != s.ownershipTable() || sc.session != in.Session {
		sc.rebuildQueue(s, in.Session)
	}
	out = append(out, sc.resolveOrphans(s, in)...)
	out = append(out, sc.intendFirings(s, in)...)
	sc.lastClusterTime, sc.lastEvaluated = in.ClusterTime, in.Now
	return out
}

// maySchedule reports whether this instance may intend firings: it has a session, knows the time, and has
// the policy and the zone rules that are in force.
func (sc *Scheduler) maySchedule(s *State, in Input) bool {
	return sc.policy.Version != 0 && sc.policyErr == nil &&
		in.ClusterTime != 0 && in.Session != (Session{}) &&
		s.PolicyVersion == sc.policy.Version && s.ZoneRulesVersion == sc.zoneRulesVersion &&
		s.ExcludedMembers[in.Session.Member] == ""
}

// rebuildQueue fills the queue from the watermarks of the shards that the session owns.
func (sc *Scheduler) rebuildQueue(s *State, session Session) {
	sc.ownership, sc.session, sc.stale = s.ownershipTable(), session, false
	sc.queue = sc.queue[:0]
	clear(sc.inFlight)
	for k := range sc.policy.Triggers {
		t := &sc.policy.Triggers[k]
		if t.Paused || !s.ownsTrigger(session, t.Name) {
			continue
		}
		if next, ok := sc.nextFiring(k, s.intendedThrough(t)); ok {
			sc.queue = append(sc.queue, next)
		}
	}
	heap.Init(&sc.queue)
}

// nextFiring returns a trigger's first firing whose occurrence is after an instant.
func (sc *Scheduler) nextFiring(trigger int, after int64) (queuedFiring, bool) {
	occurrence, ok := sc.recurrences[trigger].Next(after)
	fireAt := occurrence.At + sc.policy.Triggers[trigger].jitterSeconds()
	return queuedFiring{fireAt, trigger, occurrence}, ok
}

// queuedFiring is a trigger and its next firing.
type queuedFiring struct {
	fireAt     int64 // Unix seconds
	trigger    int   // its index in the policy
	occurrence calendar.Occurrence
}

// firingQueue is a heap (container/heap) by fireAt.
type firingQueue []queuedFiring

func (q firingQueue) Len() int           { return len(q) }
func (q firingQueue) Less(a, b int) bool { return q[a].fireAt < q[b].fireAt }
func (q firingQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *firingQueue) Push(x any)        { *q = append(*q, x.(queuedFiring)) }
func (q *firingQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
