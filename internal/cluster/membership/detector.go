package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// memberRecord is the detector's state for another member.
type memberRecord struct {
	id          ID
	state       State
	incarnation uint64
	changedAt   time.Duration
	// Only for a suspect: the members that raised or confirmed the suspicion, the time at which the member
	// is declared failed, and how long this process has been stalled since the suspicion began.
	suspectedBy    map[ID]bool
	suspicionEnds  time.Duration
	stalledFor     time.Duration
	reachable      bool // whether it answers this member's own pings
	reachableSince time.Duration
}

// Detector runs the protocol for one member.
type Detector struct {
	self        ID
	incarnation uint64
	policy      Policy
	rng         *rand.Rand

	members    map[ID]*memberRecord
	notAlive   map[ID]*memberRecord // the records in members that are suspect, failed or departed
	probeOrder []ID                 // of the current round
	probeIndex int                  // index in probeOrder of the next member to probe
	liveCount  int                  // number of alive and suspect members, including this one

	seq          uint64 // sequence number of the latest ping
	probe        probe
	relayedPings map[uint64]relayedPing // keyed by the sequence number of the ping that this member sent
	nextProbe    time.Duration
	nextSync     time.Duration
	nextGossip   time.Duration
	expectedTick time.Duration // result of NextTick after the latest call of Tick or Receive
	health       health
	queue        updateQueue
	events       []MemberState
	version      uint64
	counters     Counters
}

// New returns the detector of a process that has just started. The incarnation should be greater than that of
// every earlier process of this member. If those are not known, the detector refutes the updates about an
// earlier process as it receives them. The seed determines all random choices.
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
	d.nextSync = now // sync on the first tick
	d.probe.done = true
	if incarnation > 0 {
		d.queue.add(Update{ID: self, State: Alive, Incarnation: incarnation})
	}
	d.expectedTick = d.NextTick()
	return d
}

// AddMembers adds members of the replicated configuration, or contact points that may be members. Members
// that are already known keep their state.
func (d *Detector) AddMembers(now time.Duration, ids ...ID) {
	for _, id := range ids {
		if id != d.self && d.members[id] == nil {
			d.addMember(now, id)
		}
	}
}

// RemoveMember drops a member that is no longer in the replicated configuration.
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

// addMember adds a member as alive, at a random position in the rest of the current round.
func (d *Detector) addMember(now time.Duration, id ID) *memberRecord {
	r := &memberRecord{id: id, changedAt: now, reachable: true, reachableSince: now}
	d.members[id] = r
	d.version++
	d.countLive(Alive, 1)
	at := d.probeIndex + d.rng.IntN(len(d.probeOrder)-d.probeIndex+1)
	d.probeOrder = slices.Insert(d.probeOrder, at, id)
	return r
}

func (d *Detector) countLive(s State, delta int) {
	if s == Alive || s == Suspect {
		d.liveCount += delta
	}
}

// Incarnation returns this member's own incarnation. A later process of the member should start with a
// greater one.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Counters returns the event counts so far.
func (d *Detector) Counters() Counters { return d.counters }

// HealthScore returns Lifeguard's local health score: 0 is healthy. Probe times are multiplied by 1 + score.
func (d *Detector) HealthScore() int { return d.health.score }

// PopEvents returns the state changes since the last call. Each entry is a member's state right after the
// change.
func (d *Detector) PopEvents() []MemberState {
	events := d.events
	d.events = nil
	return events
}

// Version returns a number that increases whenever the result of Members may have changed.
func (d *Detector) Version() uint64 { return d.version }

// Members returns the state of all known members except this one, sorted by ID.
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

// NextTick returns the time by which Tick must be called. Each call of Tick or Receive may change it.
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

// Tick runs the timers that have expired and returns the messages to send.
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

// expireMembers declares suspects failed whose suspicion has timed out, and drops members that failed or
// departed longer than FailedRetention ago.
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

// sortedNotAlive returns the members that are not alive, sorted by ID. Map iteration order would differ
// between runs, and the detector must be deterministic.
func (d *Detector) sortedNotAlive() (list []ID) {
	for id := range d.notAlive {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// detectStall detects that this process did not run for longer than a probe interval.
//
// Messages that others sent during the stall are still queued behind this call, so missing answers are this
// member's fault first: its health score worsens, no member is suspected because of a ping sent before the
// stall, and the stall does not count towards the duration of suspicions.
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
