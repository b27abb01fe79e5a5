package schedule

import (
	"container/heap"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// Scheduler proposes the commands for the shards that an instance owns. It is not safe for concurrent use.
type Scheduler struct {
	zones            *calendar.ZoneDB
	policy           *Policy
	recurrences      []*calendar.Recurrence // by index in the policy; nil if policyErr is set
	zoneRulesVersion uint64                 // of this instance's rules for the policy's zones
	policyErr        error

	ownership *placement.Table        // the ownership that the queue was built for
	session   Session                 // the session that the queue was built for
	queue     firingQueue             // the next firing of each owned trigger
	stale     bool                    // the queue must be rebuilt
	inFlight  map[int]inFlightAdvance // by shard
	// lastClusterTime is the cluster time of the last evaluation, and lastEvaluated the monotonic time.
	// lastEvaluated is 0 if there was none or the instance was not allowed to schedule then.
	lastClusterTime int64
	lastEvaluated   time.Duration
	pendingResults  map[uint64]pendingResult // by firing number
	resolveSentAt   map[uint64]time.Duration // by firing number: when ResolveOrphans was last proposed
	orphanSeenAt    map[uint64]time.Duration // by firing number: when this instance first saw it orphaned
}

// Input is what Scheduler.Evaluate needs besides the replicated state.
type Input struct {
	Now         time.Duration // on a monotonic clock
	ClusterTime int64         // Unix seconds; 0: unknown
	// Session is the instance's session; zero: the instance may not act on the shards that it owns.
	Session       Session
	LeaseDuration time.Duration
	// Retryable reports whether a trigger's job may be sent again under its idempotency key. Age is the time
	// since the intent.
	Retryable func(t *Trigger, age time.Duration) bool
}

// NewScheduler returns a scheduler with this instance's time zone rules.
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

// OwnedTriggers returns the number of triggers that this instance fires, as of the last evaluation.
func (sc *Scheduler) OwnedTriggers() int { return len(sc.queue) }

// ZoneRulesVersion returns the version of this instance's time zone rules for the policy's zones.
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

// maySchedule reports whether this instance may intend firings: it has a session and is not excluded, knows
// the cluster time, and has the policy and the zone rules in force.
func (sc *Scheduler) maySchedule(s *State, in Input) bool {
	return sc.policy.Version != 0 && sc.policyErr == nil &&
		in.ClusterTime != 0 && in.Session != (Session{}) &&
		s.PolicyVersion == sc.policy.Version && s.ZoneRulesVersion == sc.zoneRulesVersion &&
		s.ExcludedMembers[in.Session.Member] == ""
}

// rebuildQueue rebuilds the queue from the watermarks of the shards that the session owns.
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

// nextFiring returns a trigger's firing for its first occurrence after an instant.
func (sc *Scheduler) nextFiring(trigger int, after int64) (queuedFiring, bool) {
	occurrence, ok := sc.recurrences[trigger].Next(after)
	fireAt := occurrence.At + sc.policy.Triggers[trigger].jitterSeconds()
	return queuedFiring{fireAt, trigger, occurrence}, ok
}

// queuedFiring is the next firing of a trigger.
type queuedFiring struct {
	fireAt     int64 // Unix seconds
	trigger    int   // index in the policy
	occurrence calendar.Occurrence
}

// firingQueue implements heap.Interface, ordered by fireAt.
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
