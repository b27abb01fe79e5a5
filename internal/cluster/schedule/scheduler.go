package schedule

import (
	"container/heap"
	"maps"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// How much one command holds, about, and how much is looked at in one turn.
const (
	maxOccurrencesPerCommand    = 500
	maxOccurrencesPerEvaluation = 20_000
	// maxCatchUpSeconds bounds what one turn makes up for, in seconds.
	maxCatchUpSeconds = 6 * 3600
	// orphanGraceLeases is how many leases pass before an orphan that may not be repeated is given up.
	orphanGraceLeases = 10
	// maxCountedMissed is how many occurrences that are too late are counted; of more, so many are said.
	maxCountedMissed = 10_000
)

// Scheduler is an instance's side: what it owns, and what is due there.
type Scheduler struct {
	zones       *calendar.ZoneDB
	policy      *Policy
	recurrences []*calendar.Recurrence // nil: paused, or no plan can be made of the policy here
	// version of the zone rules that are here, for the zones of the policy
	zoneRulesVersion uint64
	policyErr        error

	ownership       *placement.Table // as it was when the queue was made
	session         Session
	queue           firingQueue
	inFlight        map[int]inFlightAdvance // shards whose Intend is on its way
	stale           bool                    // the queue must be made anew
	lastClusterTime int64                   // the fleet's time at the last look, and when that was
	lastEvaluated   time.Duration
	pendingResults  map[uint64]pendingResult
	resolveSentAt   map[uint64]time.Duration // orphans whose Resolve is on its way
	orphanSeenAt    map[uint64]time.Duration // since when this instance knows of them
}

type inFlightAdvance struct {
	fromVersion uint64
	watermark   int64
	sentAt      time.Duration
}

type pendingResult struct {
	session Session // whose it was
	result  Result
	sentAt  time.Duration
	sent    bool
}

// queuedFiring is a trigger and when it is fired next.
type queuedFiring struct {
	fireAt     int64 // of firing
	trigger    int
	occurrence calendar.Occurrence
}

type firingQueue []queuedFiring

func (q firingQueue) Len() int           { return len(q) }
func (q firingQueue) Less(a, b int) bool { return q[a].fireAt < q[b].fireAt }
func (q firingQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *firingQueue) Push(x any)        { *q = append(*q, x.(queuedFiring)) }
func (q *firingQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// NewScheduler goes by the zone rules that are here.
func NewScheduler(zones *calendar.ZoneDB) *Scheduler {
	return &Scheduler{zones: zones, policy: &Policy{}, inFlight: map[int]inFlightAdvance{},
		pendingResults: map[uint64]pendingResult{}, resolveSentAt: map[uint64]time.Duration{},
		orphanSeenAt: map[uint64]time.Duration{}}
}

// Input is what an owner goes by.
type Input struct {
	Now           time.Duration // a clock that nobody sets
	ClusterTime   int64         // the fleet's time, Unix seconds; 0: it is not known
	Session       Session
	LeaseDuration time.Duration
	// Retryable says whether a job of a trigger, intended so long ago, may be sent once more under its
	// key.
	Retryable func(t *Trigger, ago time.Duration) bool
}

// Configure takes over the policy in force.
func (o *Scheduler) Configure(p *Policy) {
	if o.policy.Version == p.Version {
		return
	}
	o.policy, o.stale = p, true
	o.recurrences, o.policyErr = p.Recurrences(o.zones)
	o.zoneRulesVersion = o.zones.RulesVersion(p.ZoneNames())
}

// OwnedTriggers is how many triggers this instance fires, as it knows.
func (o *Scheduler) OwnedTriggers() int { return len(o.queue) }

// PolicyError says why no plan can be made of the policy here.
func (o *Scheduler) PolicyError() error { return o.policyErr }

// ZoneRulesVersion is the version of the zone rules that are here.
func (o *Scheduler) ZoneRulesVersion() uint64 { return o.zoneRulesVersion }

// RecordResult notes what became of an item that this instance had under a session.
func (o *Scheduler) RecordResult(number uint64, seat Session, r Result) {
	if _, known := o.pendingResults[number]; !known {
		o.pendingResults[number] = pendingResult{session: seat, result: r}
	}
}

// Evaluate says what is to be put into the log now.
func (o *Scheduler) Evaluate(s *State, v Input) (out []Command) {
	out = o.recordResults(s, v, out)
	if o.policy.Version == 0 || o.policyErr != nil || v.ClusterTime == 0 || v.Session == (Session{}) ||
		s.PolicyVersion != o.policy.Version || s.ZoneRulesVersion != o.zoneRulesVersion ||
		s.ExcludedMembers[v.Session.Member] != "" {
		o.stale, o.lastEvaluated = true, 0
		return out
	}
	if o.stale || o.ownership != s.ownershipTable() || o.session != v.Session {
		o.rebuild(s, v.Session)
	}
	out = o.resolveOrphans(s, v, out)
	out = o.intendFirings(s, v, out)
	o.lastClusterTime, o.lastEvaluated = v.ClusterTime, v.Now
	return out
}

// rebuild makes the queue anew, from the marks of the shards that are owned.
func (o *Scheduler) rebuild(s *State, seat Session) {
	o.ownership, o.session, o.stale = s.ownershipTable(), seat, false
	o.queue = o.queue[:0]
	clear(o.inFlight)
	for k := range o.policy.Triggers {
		t := &o.policy.Triggers[k]
		if owner, ok := s.Owner(placement.ShardOf(t.Name)); !ok || owner != seat || t.Paused {
			continue
		}
		if at, ok := o.recurrences[k].Next(s.intendedThrough(t)); ok {
			o.queue = append(o.queue, queuedFiring{at.At + t.jitterSeconds(), k, at})
		}
	}
	heap.Init(&o.queue)
}

// intendFirings collects what is due.
func (o *Scheduler) intendFirings(s *State, v Input, out []Command) []Command {
	for shard, f := range o.inFlight {
		switch now := s.Shards[shard]; {
		// Hazard: an earlier one, which was held for lost, may have moved the shard on, and less far.
		case now == ShardProgress{f.fromVersion + 1, f.watermark}:
			delete(o.inFlight, shard)
		case now.Version != f.fromVersion || v.Now-f.sentAt > v.LeaseDuration:
			// It was lost, or came to nothing: what was taken off the queue must be on it again.
			o.rebuild(s, v.Session)
			return out
		}
	}
	// Hazard: where the fleet's time leaps forward, what it leaps over is no later than that.
	punctual := v.ClusterTime
	if o.lastEvaluated > 0 && v.Now-o.lastEvaluated < v.LeaseDuration {
		punctual = o.lastClusterTime
	}
	var ready, held []queuedFiring
	for len(o.queue) > 0 && o.queue[0].fireAt <= v.ClusterTime {
		// A turn ends between two instants, for the mark must be one.
		if n := len(ready); n >= maxOccurrencesPerEvaluation && o.queue[0].fireAt > ready[n-1].fireAt {
			break
		}
		x := heap.Pop(&o.queue).(queuedFiring)
		if _, flies := o.inFlight[placement.ShardOf(o.policy.Triggers[x.trigger].Name)]; flies {
			held = append(held, x)
			continue
		}
		ready = append(ready, x)
	}
	upTo := v.ClusterTime
	if n := len(ready); n >= maxOccurrencesPerEvaluation && len(o.queue) > 0 &&
		o.queue[0].fireAt <= v.ClusterTime {
		upTo = ready[n-1].fireAt
	}
	if len(ready) > 0 {
		upTo = min(upTo, ready[0].fireAt+maxCatchUpSeconds)
	}
	shards := map[int][]DueOccurrence{}
	for _, x := range ready {
		t := &o.policy.Triggers[x.trigger]
		// Hazard: a shard may have been moved on since the queue was made, by what was held for lost.
		if from := s.intendedThrough(t); x.occurrence.At <= from {
			at, ok := o.recurrences[x.trigger].Next(from)
			if !ok {
				continue
			}
			x = queuedFiring{at.At + t.jitterSeconds(), x.trigger, at}
		}
		if x.fireAt > upTo {
			held = append(held, x)
			continue
		}
		shard := placement.ShardOf(t.Name)
		late := min(v.ClusterTime-int64(t.StartingDeadline/time.Second), punctual)
		shards[shard] = o.appendDue(shards[shard], x, t, upTo, late, punctual)
		if at, ok := o.recurrences[x.trigger].Next(max(x.occurrence.At, upTo-t.jitterSeconds())); ok {
			held = append(held, queuedFiring{at.At + t.jitterSeconds(), x.trigger, at})
		}
	}
	for _, x := range held {
		heap.Push(&o.queue, x)
	}
	c := Command{}
	flush := func() {
		if len(c.Advances) > 0 {
			out = append(out, c)
		}
		c = Command{
			Kind:             IntendFirings,
			Session:          v.Session,
			PolicyVersion:    o.policy.Version,
			ZoneRulesVersion: s.ZoneRulesVersion,
			ClusterTime:      upTo,
		}
	}
	flush()
	for shard, dues := range shards {
		version := s.Shards[shard].Version
		c.Advances = append(c.Advances, ShardAdvance{shard, version})
		c.Occurrences = append(c.Occurrences, dues...)
		o.inFlight[shard] = inFlightAdvance{version, upTo, v.Now}
		if len(c.Occurrences) >= maxOccurrencesPerCommand {
			flush()
		}
	}
	flush()
	return out
}

// appendDue adds what is due of a trigger, up to an instant of firing. What was to be fired before late is
// too late, and what was to be after punctual could not have been fired earlier.
func (o *Scheduler) appendDue(
	list []DueOccurrence,
	x queuedFiring,
	t *Trigger,
	upTo, late, punctual int64,
) []DueOccurrence {
	passed := 0
	var fire []DueOccurrence
	for at, ok := x.occurrence, true; ok && at.At+t.jitterSeconds() <= upTo; at,
		ok = o.recurrences[x.trigger].Next(at.At) {
		d := DueOccurrence{Trigger: x.trigger, LocalTime: at.LocalTime, At: at.At, WallClock: at.WallClock}
		switch {
		case at.At+t.jitterSeconds() < late:
			passed++
			if passed >= maxCountedMissed {
				at.At = max(at.At, late-t.jitterSeconds()-1)
			}
		case t.Coalesce && len(fire) > 0 && at.At+t.jitterSeconds() <= punctual:
			passed++
			fire[0] = d
		default:
			fire = append(fire, d)
		}
	}
	switch {
	case len(fire) > 0:
		fire[0].Missed = passed
	case passed > 0:
		fire = []DueOccurrence{{Trigger: x.trigger, Missed: passed}}
	}
	return append(list, fire...)
}

// recordResults says what became of items, until the agreed state knows; also of those of a session that has
// ended, as long as nobody else has taken them over.
func (o *Scheduler) recordResults(s *State, v Input, out []Command) []Command {
	by := map[Session]*Command{}
	for n, x := range o.pendingResults {
		if item, ok := s.OpenFiring(n); !ok && n <= s.LastNumber || ok && item.Session != x.session {
			delete(o.pendingResults, n)
			continue
		}
		if x.sent && v.Now-x.sentAt < v.LeaseDuration {
			continue
		}
		x.sentAt, x.sent = v.Now, true
		o.pendingResults[n] = x
		c := by[x.session]
		if c == nil {
			c = &Command{Kind: RecordResults, Session: x.session}
			by[x.session] = c
		}
		c.Numbers = append(c.Numbers, n)
		if c.Results = append(c.Results, x.result); len(c.Numbers) >= 4*maxOccurrencesPerCommand {
			out = append(out, *c)
			delete(by, x.session)
		}
	}
	for _, c := range by {
		out = append(out, *c)
	}
	return out
}

// resolveOrphans takes over orphans of the shards that are owned, or gives them up.
func (o *Scheduler) resolveOrphans(s *State, v Input, out []Command) []Command {
	c := Command{Kind: ResolveOrphans, Session: v.Session}
	for n, i := range s.open {
		if !i.Orphaned {
			continue
		}
		if owner, ok := s.Owner(placement.ShardOf(i.Trigger)); !ok || owner != v.Session {
			continue
		}
		if at, ok := o.resolveSentAt[n]; ok && v.Now-at < v.LeaseDuration {
			continue
		}
		result := Unknown
		k := o.policy.indexOf(i.Trigger)
		ago := time.Duration(v.ClusterTime-i.IntendedAt+1) * time.Second
		if i.NeverStarted || k >= 0 && v.Retryable(&o.policy.Triggers[k], ago) {
			result = Succeeded
		}
		// Who had it may live, and say what became of it, or that it never ran.
		if _, known := o.orphanSeenAt[n]; !known {
			o.orphanSeenAt[n] = v.Now
		}
		if result == Unknown && v.Now-o.orphanSeenAt[n] < orphanGraceLeases*v.LeaseDuration {
			continue
		}
		o.resolveSentAt[n] = v.Now
		c.Numbers, c.Results = append(c.Numbers, n), append(c.Results, result)
	}
	maps.DeleteFunc(o.orphanSeenAt, func(n uint64, _ time.Duration) bool { return s.open[n] == nil })
	maps.DeleteFunc(o.resolveSentAt, func(n uint64, _ time.Duration) bool { return s.open[n] == nil })
	if len(c.Numbers) > 0 {
		out = append(out, c)
	}
	return out
}
