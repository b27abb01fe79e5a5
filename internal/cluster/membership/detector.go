package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// memberRecord is what a machine knows of another member.
type memberRecord struct {
	id             ID
	state          State
	incarnation    uint64
	changedAt      time.Duration
	suspectedBy    map[ID]bool   // of a suspicion: who has come to it
	suspicionEnds  time.Duration // when a suspicion becomes a failure
	stalledFor     time.Duration // for how long this process has stood still meanwhile
	reachable      bool          // its own probes get through
	reachableSince time.Duration // since when they do, or don't
}

// probe is the one that is under way.
type probe struct {
	seq         uint64
	target      ID
	indirectAt  time.Duration // when others are asked to try, too
	deadline    time.Duration
	helpers     int // asked
	nacks       int // that have answered without it
	done        bool
	indirectAck bool // by others
}

// relayedPing is a ping that is made for another.
type relayedPing struct {
	requester    ID
	requesterSeq uint64 // theirs
	target       ID
	nackAt       time.Duration
}

// queuedUpdate is one that is being spread.
type queuedUpdate struct {
	Update
	sent int
}

// Detector is one member's side. It is not safe for use by several goroutines.
type Detector struct {
	self        ID
	incarnation uint64
	policy      Policy
	rng         *rand.Rand
	departed    bool

	members    map[ID]*memberRecord
	notAlive   map[ID]*memberRecord // those of them that are suspect, failed or left
	probeOrder []ID                 // this round's
	probeIndex int
	liveCount  int // members that are not failed or left, itself among them

	seq          uint64
	probe        probe
	relayedPings map[uint64]relayedPing // by our own ping's number
	nextProbe    time.Duration          // of the next probe
	nextSync     time.Duration          // of the next full exchange
	nextGossip   time.Duration          // when rumours are told next
	expectedTick time.Duration          // when it was to look next, as of the last look
	healthScore  int                    // how slow it takes itself to be: Lifeguard's local health
	queue        map[ID]*queuedUpdate
	events       []MemberState
	// version counts what may have changed in what Members gives.
	version  uint64
	counters Counters
}

// Counters are what has happened.
type Counters struct {
	Rejected    uint64 // words that make no sense
	Refutations uint64 // suspicions of itself
	Stalls      uint64
	Messages    uint64
}

// New begins a member's life, under an incarnation above that of every earlier one, if that is known: it
// refutes what is said of a life under a greater one.
func New(now time.Duration, self ID, inc, seed uint64, p Policy) *Detector {
	m := &Detector{self: self, incarnation: inc, policy: p, rng: rand.New(rand.NewPCG(seed, uint64(self))),
		members: map[ID]*memberRecord{}, notAlive: map[ID]*memberRecord{},
		relayedPings: map[uint64]relayedPing{}, queue: map[ID]*queuedUpdate{},
		liveCount: 1}
	m.nextProbe = now + time.Duration(m.rng.Int64N(int64(p.ProbeInterval)))
	m.nextSync = now // at once
	m.probe.done = true
	if inc > 0 {
		m.enqueue(Update{ID: self, State: Alive, Incarnation: inc})
	}
	m.expectedTick = m.NextTick()
	return m
}

// AddMembers names members that are there by agreement, or that may be there.
func (m *Detector) AddMembers(now time.Duration, ids ...ID) {
	for _, id := range ids {
		if id != m.self && m.members[id] == nil {
			m.addMember(now, id)
		}
	}
}

// RemoveMember forgets a member: it is no more by agreement.
func (m *Detector) RemoveMember(id ID) {
	if x := m.members[id]; x != nil {
		m.version++
		m.countLive(x.state, -1)
		delete(m.members, id)
		delete(m.notAlive, id)
		delete(m.queue, id)
		m.probeOrder = slices.DeleteFunc(m.probeOrder, func(x ID) bool { return x == id })
		m.probeIndex = min(m.probeIndex, len(m.probeOrder))
	}
}

func (m *Detector) addMember(now time.Duration, id ID) *memberRecord {
	x := &memberRecord{id: id, changedAt: now, reachable: true, reachableSince: now}
	m.members[id] = x
	m.version++
	m.countLive(Alive, 1)
	at := m.probeIndex + m.rng.IntN(len(m.probeOrder)-m.probeIndex+1)
	m.probeOrder = slices.Insert(m.probeOrder, at, id)
	return x
}

func (m *Detector) countLive(s State, n int) {
	if s == Alive || s == Suspect {
		m.liveCount += n
	}
}

// Leave says that this member goes by will. What it gives is to be said before it ends.
func (m *Detector) Leave(now time.Duration) (out []Outbound) {
	m.departed = true
	m.incarnation++
	m.enqueue(Update{ID: m.self, State: Departed, Incarnation: m.incarnation})
	for _, x := range m.pickMembers(m.policy.IndirectProbes, 0, Alive) {
		m.seq++
		out = append(out, m.newMessage(x, Message{Kind: Ping, Seq: m.seq}))
	}
	return out
}

// Incarnation is this member's. The next life must begin above it.
func (m *Detector) Incarnation() uint64 { return m.incarnation }

// Counters are what has happened so far.
func (m *Detector) Counters() Counters { return m.counters }

// HealthScore is by how much this member stretches its times, for it takes itself to be slow.
func (m *Detector) HealthScore() int { return m.healthScore }

// TakeEvents gives what has changed since it was asked last.
func (m *Detector) TakeEvents() []MemberState {
	list := m.events
	m.events = nil
	return list
}

// Version grows whenever what Members gives may have changed.
func (m *Detector) Version() uint64 { return m.version }

// Members gives the beliefs, by number, without this member's own.
func (m *Detector) Members() []MemberState {
	list := make([]MemberState, 0, len(m.members))
	for _, x := range m.members {
		list = append(list, x.memberState())
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (x *memberRecord) memberState() MemberState {
	b := MemberState{
		ID:             x.id,
		State:          x.state,
		Incarnation:    x.incarnation,
		Since:          x.changedAt,
		Reachable:      x.reachable,
		ReachableSince: x.reachableSince,
	}
	if x.state == Suspect {
		for id := range x.suspectedBy {
			b.SuspectedBy = append(b.SuspectedBy, id)
		}
		slices.Sort(b.SuspectedBy)
	}
	return b
}

// NextTick is when Tick is to be called at the latest, if nothing is heard.
func (m *Detector) NextTick() time.Duration {
	next := min(m.nextProbe, m.nextSync)
	if len(m.queue) > 0 {
		next = min(next, m.nextGossip)
	}
	if !m.probe.done {
		if next = min(next, m.probe.deadline); m.probe.helpers == 0 {
			next = min(next, m.probe.indirectAt)
		}
	}
	for _, h := range m.relayedPings {
		next = min(next, h.nackAt)
	}
	for _, x := range m.notAlive {
		if x.state == Suspect {
			next = min(next, x.suspicionEnds)
		}
	}
	return next
}

// Tick does what is due.
func (m *Detector) Tick(now time.Duration) (out []Outbound) {
	m.detectStall(now)
	defer func() { m.expectedTick = m.NextTick() }()
	if m.departed {
		return nil
	}
	for seq, h := range m.relayedPings {
		if now >= h.nackAt {
			delete(m.relayedPings, seq)
			out = append(
				out,
				m.newMessage(h.requester, Message{Kind: Nack, Seq: h.requesterSeq, Target: h.target}),
			)
		}
	}
	out = append(out, m.advanceProbe(now)...)
	for _, id := range m.sortedNotAlive() {
		if x := m.members[id]; x.state == Suspect && now >= x.suspicionEnds {
			m.setState(now, x, Update{ID: id, State: Failed, Incarnation: x.incarnation, ReportedBy: m.self})
		} else if x.state >= Failed && now-x.changedAt > m.policy.FailedRetention {
			m.RemoveMember(id)
		}
	}
	if now >= m.nextProbe {
		out = append(out, m.startProbe(now)...)
	}
	if now >= m.nextSync {
		out = append(out, m.startSync(now)...)
	}
	if len(m.queue) > 0 && now >= m.nextGossip {
		out = append(out, m.sendGossip(now)...)
	}
	return out
}

// sendGossip tells some members rumours. Hazard: whom it suspects by itself it tells so each time, for as
// long as that may still be refuted; by chance alone that one would hear of it too late.
func (m *Detector) sendGossip(now time.Duration) (out []Outbound) {
	m.nextGossip = now + m.policy.GossipInterval
	told := m.pickMembers(m.policy.IndirectProbes, 0, Suspect)
	for _, id := range m.sortedNotAlive() {
		if x := m.members[id]; x.state == Suspect && x.suspectedBy[m.self] && !slices.Contains(told, id) {
			m.enqueue(Update{ID: id, State: Suspect, Incarnation: x.incarnation, ReportedBy: m.self})
			told = append(told, id)
		}
	}
	for _, id := range told {
		out = append(out, m.newMessage(id, Message{Kind: Gossip}))
	}
	if len(m.probeOrder) == 0 {
		clear(m.queue) // there is nobody to tell
	}
	return out
}

// sortedNotAlive gives the members that are to be looked at, in an order that does not depend on the run.
func (m *Detector) sortedNotAlive() (list []ID) {
	for id := range m.notAlive {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// detectStall notices that this process stood still.
//
// Hazard: what others have said meanwhile waits in a queue behind this look. It doubts itself first:
// nobody is accused of what was asked before, and the time that a suspicion lasts stood still with it.
func (m *Detector) detectStall(now time.Duration) {
	gap := now - m.expectedTick
	if gap <= m.policy.ProbeInterval {
		return
	}
	m.expectedTick = now
	m.counters.Stalls++
	m.adjustHealth(1)
	m.probe.done = true
	clear(m.relayedPings)
	for _, x := range m.notAlive {
		if x.state == Suspect {
			x.suspicionEnds += gap
			x.stalledFor += gap
		}
	}
	m.nextProbe = max(m.nextProbe, now)
}

// adjustHealth has this member take itself for slower, or for less so.
func (m *Detector) adjustHealth(n int) {
	m.healthScore = max(0, min(m.policy.MaxHealthScore, m.healthScore+n))
}

func (m *Detector) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(m.healthScore+1)
}

// advanceProbe goes on with the probe that is under way.
func (m *Detector) advanceProbe(now time.Duration) (out []Outbound) {
	p := &m.probe
	if p.done {
		return nil
	}
	x := m.members[p.target]
	switch {
	case x == nil:
		p.done = true
	case now >= p.deadline:
		p.done = true
		m.setReachable(now, x, false)
		if p.indirectAck {
			return nil // others reach it: it is there
		}
		// Where those who were asked to try have said nothing at all, it is we who are not heard.
		if m.adjustHealth(p.helpers - p.nacks); p.helpers == 0 {
			m.adjustHealth(1)
		}
		if x.state == Alive || x.state == Suspect && !x.suspectedBy[m.self] {
			m.setState(
				now,
				x,
				Update{ID: x.id, State: Suspect, Incarnation: x.incarnation, ReportedBy: m.self},
			)
		}
	case now >= p.indirectAt && p.helpers == 0:
		for _, id := range m.pickMembers(m.policy.IndirectProbes, p.target, Alive) {
			p.helpers++
			out = append(out, m.newMessage(id, Message{Kind: IndirectPing, Seq: p.seq, Target: p.target}))
		}
		if p.helpers == 0 {
			p.indirectAt = p.deadline // there is nobody to ask
		}
	}
	return out
}

func (m *Detector) setReachable(now time.Duration, x *memberRecord, hears bool) {
	if x.reachable != hears {
		x.reachable, x.reachableSince = hears, now
		m.version++
	}
}

// startProbe probes the next member of the round.
func (m *Detector) startProbe(now time.Duration) []Outbound {
	m.nextProbe = now + m.scaleByHealth(m.policy.ProbeInterval)
	if !m.probe.done {
		return nil
	}
	for range len(m.probeOrder) {
		if m.probeIndex >= len(m.probeOrder) {
			m.probeIndex = 0
			m.rng.Shuffle(
				len(m.probeOrder),
				func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] },
			)
		}
		x := m.members[m.probeOrder[m.probeIndex]]
		if m.probeIndex++; x.state >= Failed {
			continue
		}
		m.seq++
		m.probe = probe{
			seq:        m.seq,
			target:     x.id,
			indirectAt: now + m.scaleByHealth(m.policy.ProbeTimeout),
			deadline:   m.nextProbe,
		}
		return []Outbound{m.newMessage(x.id, Message{Kind: Ping, Seq: m.seq})}
	}
	return nil
}

// startSync has a full exchange with one member, also with one that is held for dead: a cut may be over.
func (m *Detector) startSync(now time.Duration) []Outbound {
	m.nextSync = now + m.policy.SyncInterval/2 + time.Duration(m.rng.Int64N(int64(m.policy.SyncInterval)))
	if len(m.probeOrder) == 0 {
		return nil
	}
	id := m.probeOrder[m.rng.IntN(len(m.probeOrder))]
	return []Outbound{{To: id, Message: Message{Kind: SyncRequest, Updates: m.fullState()}}}
}

// pickMembers picks members that are alive, as far as is known, or no worse than most.
func (m *Detector) pickMembers(n int, but ID, most State) (list []ID) {
	if len(m.probeOrder) == 0 {
		return nil
	}
	at := m.rng.IntN(len(m.probeOrder))
	for k := range len(m.probeOrder) {
		id := m.probeOrder[(at+k)%len(m.probeOrder)]
		if x := m.members[id]; x.state <= most && id != but && x.reachable {
			if list = append(list, id); len(list) == n {
				break
			}
		}
	}
	return list
}
