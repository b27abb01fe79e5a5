package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// memberRecord is what a detector knows of another member.
type memberRecord struct {
	id          ID
	state       State
	incarnation uint64
	changedAt   time.Duration
	// Of a suspect: who has come to the suspicion, when it becomes a failure, and for how long this process
	// has been stalled meanwhile.
	suspectedBy    map[ID]bool
	suspicionEnds  time.Duration
	stalledFor     time.Duration
	reachable      bool // this member's own pings are answered
	reachableSince time.Duration
}

// Detector is one member's side of the protocol.
type Detector struct {
	self        ID
	incarnation uint64
	policy      Policy
	rng         *rand.Rand

	members    map[ID]*memberRecord
	notAlive   map[ID]*memberRecord // those of members that are suspect, failed or departed
	probeOrder []ID                 // of this round
	probeIndex int                  // in probeOrder, of the next probe
	liveCount  int                  // members that are alive or suspect, this one among them

	seq          uint64 // of the newest ping
	probe        probe
	relayedPings map[uint64]relayedPing // by the sequence number of this member's own ping
	nextProbe    time.Duration
	nextSync     time.Duration
	nextGossip   time.Duration
	expectedTick time.Duration // what NextTick returned when the detector last ran
	health       health
	queue        updateQueue
	events       []MemberState
	version      uint64
	counters     Counters
}

// New makes the detector of a process that has just started. Its incarnation should be above that of every
// earlier process of this member, if that is known: where it is not, the detector refutes what is known of
// an earlier one. The seed decides all random choices.
func New(now time.Duration, self ID, incarnation, seed uint64, p Policy) *Detector {
	d := &Detector{
		self:         self,
		incarnation:  incarnation,
		policy:       p,
		rng:          rand.New(rand.NewPCG(seed, uint64(self))),
		members:      map[ID]*memberRecord{},
		notAlive:     map[ID]*memberRecord{},
		relayedPings: map[uint64]relayedPing{},
		health:       health{limit: p.MaxHealthScore},
		queue:        updateQueue{},
		liveCount:    1,
	}
	d.nextProbe = now + time.Duration(d.rng.Int64N(int64(p.ProbeInterval)))
	d.nextSync = now // at once
	d.probe.done = true
	if incarnation > 0 {
		d.queue.add(Update{ID: self, State: Alive, Incarnation: incarnation})
	}
	d.expectedTick = d.NextTick()
	return d
}

// AddMembers adds members of the agreed configuration, or contact points that may be members. Those that
// are known already keep their state.
func (d *Detector) AddMembers(now time.Duration, ids ...ID) {
	for _, id := range ids {
		if id != d.self && d.members[id] == nil {
			d.addMember(now, id)
		}
	}
}

// RemoveMember forgets a member that the agreed configuration does not hold any more.
func (d *Detector) RemoveMember(id ID) {
	r := d.members[id]
	if r == nil {
		return
	}
	d.version++
	d.countLive(r.state, -1)
	delete(d.members, id)
	delete(d.notAlive, id)
	d.queue.remove(id)
	d.probeOrder = slices.DeleteFunc(d.probeOrder, func(other ID) bool { return other == id })
	d.probeIndex = min(d.probeIndex, len(d.probeOrder))
}

// addMember adds a member as alive, at a random place of the rest of this round.
func (d *Detector) addMember(now time.Duration, id ID) *memberRecord {
	r := &memberRecord{id: id, changedAt: now, reachable: true, reachableSince: now}
	d.members[id] = r
	d.version++
	d.countLive(Alive, 1)
	at := d.probeIndex + d.rng.IntN(len(d.probeOrder)-d.probeIndex+1)
	d.probeOrder = slices.Insert(d.probeOrder, at, id)
	return r
}

func (d *Detector) countLive(s State, change int) {
	if s == Alive || s == Suspect {
		d.liveCount += change
	}
}

// Incarnation is this member's own. A later process of it should begin above it.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Counters are what has happened so far.
func (d *Detector) Counters() Counters { return d.counters }

// HealthScore is Lifeguard's local health: 0 is healthy, and the probe's times are stretched by 1 + score.
func (d *Detector) HealthScore() int { return d.health.score }

// PopEvents returns the members whose state has changed since the last call, as they were after the change.
func (d *Detector) PopEvents() []MemberState {
	events := d.events
	d.events = nil
	return events
}

// Version increases whenever the result of Members may have changed.
func (d *Detector) Version() uint64 { return d.version }

// Members returns the state of all known members but this one, by ID.
func (d *Detector) Members() []MemberState {
	list := make([]MemberState, 0, len(d.members))
	for _, r := range d.members {
		list = append(list, r.memberState())
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (r *memberRecord) memberState() MemberState {
	s := MemberState{
		ID:             r.id,
		State:          r.state,
		Incarnation:    r.incarnation,
		Since:          r.changedAt,
		Reachable:      r.reachable,
		ReachableSince: r.reachableSince,
	}
	if r.state == Suspect {
		for id := range r.suspectedBy {
			s.SuspectedBy = append(s.SuspectedBy, id)
		}
		slices.Sort(s.SuspectedBy)
	}
	return s
}

// NextTick is when Tick must be called at the latest. Each call of Tick and of Receive may change it.
func (d *Detector) NextTick() time.Duration {
	next := min(d.nextProbe, d.nextSync)
	if d.queue.len() > 0 {
		next = min(next, d.nextGossip)
	}
	if !d.probe.done {
		next = min(next, d.probe.deadline)
		if d.probe.helpers == 0 {
			next = min(next, d.probe.indirectAt)
		}
	}
	for _, p := range d.relayedPings {
		next = min(next, p.nackAt)
	}
	for _, r := range d.notAlive {
		if r.state == Suspect {
			next = min(next, r.suspicionEnds)
		}
	}
	return next
}

// Tick does what is due, and returns the messages to send.
func (d *Detector) Tick(now time.Duration) (out []Outbound) {
	d.detectStall(now)
	defer func() { d.expectedTick = d.NextTick() }()
	out = append(out, d.expireRelayedPings(now)...)
	out = append(out, d.advanceProbe(now)...)
	d.expireMembers(now)
	if now >= d.nextProbe {
		out = append(out, d.startProbe(now)...)
	}
	if now >= d.nextSync {
		out = append(out, d.startSync(now)...)
	}
	if d.queue.len() > 0 && now >= d.nextGossip {
		out = append(out, d.sendGossip(now)...)
	}
	return out
}

// expireMembers turns suspicions that have timed out into failures, and forgets members that failed long ago.
func (d *Detector) expireMembers(now time.Duration) {
	for _, id := range d.sortedNotAlive() {
		r := d.members[id]
		switch {
		case r.state == Suspect && now >= r.suspicionEnds:
			d.setState(now, r, Update{ID: id, State: Failed, Incarnation: r.incarnation, ReportedBy: d.self})
		case r.state >= Failed && now-r.changedAt > d.policy.FailedRetention:
			d.RemoveMember(id)
		}
	}
}

// sortedNotAlive returns the members that are not alive by ID: the order of a map differs between runs.
func (d *Detector) sortedNotAlive() (list []ID) {
	for id := range d.notAlive {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// detectStall notices that this process did not run for a while.
//
// Hazard: messages that others sent meanwhile are queued behind this call. So it takes itself for unhealthy
// first: no member is suspected for a ping that was sent before the stall, and the time that a suspicion
// lasts does not pass during it.
func (d *Detector) detectStall(now time.Duration) {
	stall := now - d.expectedTick
	if stall <= d.policy.ProbeInterval {
		return
	}
	d.expectedTick = now
	d.counters.Stalls++
	d.health.adjust(1)
	d.probe.done = true
	clear(d.relayedPings)
	for _, r := range d.notAlive {
		if r.state == Suspect {
			r.suspicionEnds += stall
			r.stalledFor += stall
		}
	}
	d.nextProbe = max(d.nextProbe, now)
}
