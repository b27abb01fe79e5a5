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
	mostDues  = 500
	mostTurns = 20_000
	// mostSpan bounds what one turn makes up for, in seconds.
	mostSpan = 6 * 3600
	// patience is how many leases pass before an orphan that may not be repeated is given up.
	patience = 10
	// mostPassed is how many occurrences that are too late are counted; of more, so many are said.
	mostPassed = 10_000
)

// Owner is an instance's side: what it owns, and what is due there.
type Owner struct {
	zones  *calendar.Zones
	policy *Policy
	plans  []*calendar.Plan // nil: paused, or no plan can be made of the policy here
	rules  uint64           // version of the zone rules that are here, for the zones of the policy
	broken error

	table   *placement.Table // as it was when the queue was made
	seat    Seat
	queue   queue
	flying  map[int]flight // shards whose Intend is on its way
	stale   bool           // the queue must be made anew
	last    int64          // the fleet's time at the last look, and when that was
	looked  time.Duration
	settled map[uint64]settling
	asked   map[uint64]time.Duration // orphans whose Resolve is on its way
	orphans map[uint64]time.Duration // since when this instance knows of them
}

type flight struct {
	version uint64
	mark    int64
	at      time.Duration
}

type settling struct {
	seat   Seat // whose it was
	result Result
	at     time.Duration
	sent   bool
}

// next is a trigger and when it is fired next.
type next struct {
	at      int64 // of firing
	trigger int
	o       calendar.Occurrence
}

type queue []next

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(next)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// NewOwner goes by the zone rules that are here.
func NewOwner(zones *calendar.Zones) *Owner {
	return &Owner{zones: zones, policy: &Policy{}, flying: map[int]flight{},
		settled: map[uint64]settling{}, asked: map[uint64]time.Duration{},
		orphans: map[uint64]time.Duration{}}
}

// View is what an owner goes by.
type View struct {
	Mono  time.Duration // a clock that nobody sets
	Fleet int64         // the fleet's time, Unix seconds; 0: it is not known
	Seat  Seat
	Lease time.Duration
	// Repeatable says whether a job of a trigger, intended so long ago, may be sent once more under its
	// key.
	Repeatable func(t *Trigger, ago time.Duration) bool
}

// Configure takes over the policy in force.
func (o *Owner) Configure(p *Policy) {
	if o.policy.Version == p.Version {
		return
	}
	o.policy, o.stale = p, true
	o.plans, o.broken = p.Plans(o.zones)
	o.rules = o.zones.Version(p.ZoneNames())
}

// Owned is how many triggers this instance fires, as it knows.
func (o *Owner) Owned() int { return len(o.queue) }

// Broken says why no plan can be made of the policy here.
func (o *Owner) Broken() error { return o.broken }

// Rules is the version of the zone rules that are here.
func (o *Owner) Rules() uint64 { return o.rules }

// Result notes what became of an item that this instance had under a session.
func (o *Owner) Result(number uint64, seat Seat, r Result) {
	if _, known := o.settled[number]; !known {
		o.settled[number] = settling{seat: seat, result: r}
	}
}

// Look says what is to be put into the log now.
func (o *Owner) Look(s *State, v View) (out []Command) {
	out = o.settle(s, v, out)
	if o.policy.Version == 0 || o.broken != nil || v.Fleet == 0 || v.Seat == (Seat{}) ||
		s.Version != o.policy.Version || s.Zones != o.rules || s.Off[v.Seat.Member] != "" {
		o.stale, o.looked = true, 0
		return out
	}
	if o.stale || o.table != s.owners() || o.seat != v.Seat {
		o.rebuild(s, v.Seat)
	}
	out = o.resolve(s, v, out)
	out = o.intend(s, v, out)
	o.last, o.looked = v.Fleet, v.Mono
	return out
}

// rebuild makes the queue anew, from the marks of the shards that are owned.
func (o *Owner) rebuild(s *State, seat Seat) {
	o.table, o.seat, o.stale = s.owners(), seat, false
	o.queue = o.queue[:0]
	clear(o.flying)
	for k := range o.policy.Triggers {
		t := &o.policy.Triggers[k]
		if owner, ok := s.Owner(placement.ShardOf(t.Name)); !ok || owner != seat || t.Paused {
			continue
		}
		if at, ok := o.plans[k].Next(s.from(t)); ok {
			o.queue = append(o.queue, next{at.At + t.offset(), k, at})
		}
	}
	heap.Init(&o.queue)
}

// intend collects what is due.
func (o *Owner) intend(s *State, v View, out []Command) []Command {
	for shard, f := range o.flying {
		switch now := s.Shards[shard]; {
		// Hazard: an earlier one, which was held for lost, may have moved the shard on, and less far.
		case now == Shard{f.version + 1, f.mark}:
			delete(o.flying, shard)
		case now.Version != f.version || v.Mono-f.at > v.Lease:
			// It was lost, or came to nothing: what was taken off the queue must be on it again.
			o.rebuild(s, v.Seat)
			return out
		}
	}
	// Hazard: where the fleet's time leaps forward, what it leaps over is no later than that.
	punctual := v.Fleet
	if o.looked > 0 && v.Mono-o.looked < v.Lease {
		punctual = o.last
	}
	var ready, held []next
	for len(o.queue) > 0 && o.queue[0].at <= v.Fleet {
		// A turn ends between two instants, for the mark must be one.
		if n := len(ready); n >= mostTurns && o.queue[0].at > ready[n-1].at {
			break
		}
		x := heap.Pop(&o.queue).(next)
		if _, flies := o.flying[placement.ShardOf(o.policy.Triggers[x.trigger].Name)]; flies {
			held = append(held, x)
			continue
		}
		ready = append(ready, x)
	}
	upTo := v.Fleet
	if n := len(ready); n >= mostTurns && len(o.queue) > 0 && o.queue[0].at <= v.Fleet {
		upTo = ready[n-1].at
	}
	if len(ready) > 0 {
		upTo = min(upTo, ready[0].at+mostSpan)
	}
	shards := map[int][]Due{}
	for _, x := range ready {
		t := &o.policy.Triggers[x.trigger]
		// Hazard: a shard may have been moved on since the queue was made, by what was held for lost.
		if from := s.from(t); x.o.At <= from {
			at, ok := o.plans[x.trigger].Next(from)
			if !ok {
				continue
			}
			x = next{at.At + t.offset(), x.trigger, at}
		}
		if x.at > upTo {
			held = append(held, x)
			continue
		}
		shard := placement.ShardOf(t.Name)
		late := min(v.Fleet-int64(t.Late/time.Second), punctual)
		shards[shard] = o.due(shards[shard], x, t, upTo, late, punctual)
		if at, ok := o.plans[x.trigger].Next(max(x.o.At, upTo-t.offset())); ok {
			held = append(held, next{at.At + t.offset(), x.trigger, at})
		}
	}
	for _, x := range held {
		heap.Push(&o.queue, x)
	}
	c := Command{}
	flush := func() {
		if len(c.Steps) > 0 {
			out = append(out, c)
		}
		c = Command{Kind: Intend, Seat: v.Seat, Version: o.policy.Version, Zones: s.Zones, Now: upTo}
	}
	flush()
	for shard, dues := range shards {
		version := s.Shards[shard].Version
		c.Steps = append(c.Steps, Step{shard, version})
		c.Dues = append(c.Dues, dues...)
		o.flying[shard] = flight{version, upTo, v.Mono}
		if len(c.Dues) >= mostDues {
			flush()
		}
	}
	flush()
	return out
}

// due adds what is due of a trigger, up to an instant of firing. What was to be fired before late is too
// late, and what was to be after punctual could not have been fired earlier.
func (o *Owner) due(list []Due, x next, t *Trigger, upTo, late, punctual int64) []Due {
	passed := 0
	var fire []Due
	for at, ok := x.o, true; ok && at.At+t.offset() <= upTo; at, ok = o.plans[x.trigger].Next(at.At) {
		d := Due{Trigger: x.trigger, Name: at.Name, At: at.At, Wall: at.Wall}
		switch {
		case at.At+t.offset() < late:
			passed++
			if passed >= mostPassed {
				at.At = max(at.At, late-t.offset()-1)
			}
		case t.LastOnly && len(fire) > 0 && at.At+t.offset() <= punctual:
			passed++
			fire[0] = d
		default:
			fire = append(fire, d)
		}
	}
	switch {
	case len(fire) > 0:
		fire[0].Passed = passed
	case passed > 0:
		fire = []Due{{Trigger: x.trigger, Passed: passed}}
	}
	return append(list, fire...)
}

// settle says what became of items, until the agreed state knows; also of those of a session that has
// ended, as long as nobody else has taken them over.
func (o *Owner) settle(s *State, v View, out []Command) []Command {
	by := map[Seat]*Command{}
	for n, x := range o.settled {
		if item, ok := s.Open(n); !ok && n <= s.Number || ok && item.Seat != x.seat {
			delete(o.settled, n)
			continue
		}
		if x.sent && v.Mono-x.at < v.Lease {
			continue
		}
		x.at, x.sent = v.Mono, true
		o.settled[n] = x
		c := by[x.seat]
		if c == nil {
			c = &Command{Kind: Settle, Seat: x.seat}
			by[x.seat] = c
		}
		c.Numbers = append(c.Numbers, n)
		if c.Results = append(c.Results, x.result); len(c.Numbers) >= 4*mostDues {
			out = append(out, *c)
			delete(by, x.seat)
		}
	}
	for _, c := range by {
		out = append(out, *c)
	}
	return out
}

// resolve takes over orphans of the shards that are owned, or gives them up.
func (o *Owner) resolve(s *State, v View, out []Command) []Command {
	c := Command{Kind: Resolve, Seat: v.Seat}
	for n, i := range s.open {
		if !i.Orphan {
			continue
		}
		if owner, ok := s.Owner(placement.ShardOf(i.Trigger)); !ok || owner != v.Seat {
			continue
		}
		if at, ok := o.asked[n]; ok && v.Mono-at < v.Lease {
			continue
		}
		result := MayHave
		k := o.policy.place(i.Trigger)
		ago := time.Duration(v.Fleet-i.Since+1) * time.Second
		if i.Unrun || k >= 0 && v.Repeatable(&o.policy.Triggers[k], ago) {
			result = Done
		}
		// Who had it may live, and say what became of it, or that it never ran.
		if _, known := o.orphans[n]; !known {
			o.orphans[n] = v.Mono
		}
		if result == MayHave && v.Mono-o.orphans[n] < patience*v.Lease {
			continue
		}
		o.asked[n] = v.Mono
		c.Numbers, c.Results = append(c.Numbers, n), append(c.Results, result)
	}
	maps.DeleteFunc(o.orphans, func(n uint64, _ time.Duration) bool { return s.open[n] == nil })
	maps.DeleteFunc(o.asked, func(n uint64, _ time.Duration) bool { return s.open[n] == nil })
	if len(c.Numbers) > 0 {
		out = append(out, c)
	}
	return out
}
