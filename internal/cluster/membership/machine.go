package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// peer is what a machine knows of another member.
type peer struct {
	id    ID
	state State
	inc   uint64
	since time.Duration
	by    map[ID]bool   // of a suspicion: who has come to it
	ends  time.Duration // when a suspicion becomes a failure
	stood time.Duration // for how long this process has stood still meanwhile
	hears bool          // its own probes get through
	heard time.Duration // since when they do, or don't
}

// probe is the one that is under way.
type probe struct {
	seq     uint64
	target  ID
	asked   time.Duration // when others are asked to try, too
	ends    time.Duration
	helpers int // asked
	nacks   int // that have answered without it
	done    bool
	through bool // by others
}

// help is a ping that is made for another.
type help struct {
	for_ ID
	seq  uint64 // theirs
	to   ID
	nack time.Duration
}

// rumour is one that is being spread.
type rumour struct {
	Rumour
	sent int
}

// Machine is one member's side. It is not safe for use by several goroutines.
type Machine struct {
	self   ID
	inc    uint64
	policy Policy
	rng    *rand.Rand
	left   bool

	peers map[ID]*peer
	ill   map[ID]*peer // those of them that are suspect, failed or left
	order []ID         // this round's
	next  int
	live  int // members that are not failed or left, itself among them

	seq    uint64
	probe  probe
	helps  map[uint64]help // by our own ping's number
	due    time.Duration   // of the next probe
	sync   time.Duration   // of the next full exchange
	talk   time.Duration   // when rumours are told next
	wants  time.Duration   // when it was to look next, as of the last look
	slow   int             // how slow it takes itself to be: Lifeguard's local health
	words  map[ID]*rumour
	events []Belief
	// news counts what may have changed in what Members gives.
	news   uint64
	counts Counts
}

// Counts are what has happened.
type Counts struct {
	Refused  uint64 // words that make no sense
	Refuted  uint64 // suspicions of itself
	Stalls   uint64
	Messages uint64
}

// New begins a member's life, under an incarnation above that of every earlier one, if that is known: it
// refutes what is said of a life under a greater one.
func New(now time.Duration, self ID, inc, seed uint64, p Policy) *Machine {
	m := &Machine{self: self, inc: inc, policy: p, rng: rand.New(rand.NewPCG(seed, uint64(self))),
		peers: map[ID]*peer{}, ill: map[ID]*peer{}, helps: map[uint64]help{}, words: map[ID]*rumour{},
		live: 1}
	m.due = now + time.Duration(m.rng.Int64N(int64(p.Probe)))
	m.sync = now // at once
	m.probe.done = true
	if inc > 0 {
		m.spread(Rumour{ID: self, State: Alive, Inc: inc})
	}
	m.wants = m.Next()
	return m
}

// Join names members that are there by agreement, or that may be there.
func (m *Machine) Join(now time.Duration, ids ...ID) {
	for _, id := range ids {
		if id != m.self && m.peers[id] == nil {
			m.add(now, id)
		}
	}
}

// Drop forgets a member: it is no more by agreement.
func (m *Machine) Drop(id ID) {
	if x := m.peers[id]; x != nil {
		m.news++
		m.count(x.state, -1)
		delete(m.peers, id)
		delete(m.ill, id)
		delete(m.words, id)
		m.order = slices.DeleteFunc(m.order, func(x ID) bool { return x == id })
		m.next = min(m.next, len(m.order))
	}
}

func (m *Machine) add(now time.Duration, id ID) *peer {
	x := &peer{id: id, since: now, hears: true, heard: now}
	m.peers[id] = x
	m.news++
	m.count(Alive, 1)
	at := m.next + m.rng.IntN(len(m.order)-m.next+1)
	m.order = slices.Insert(m.order, at, id)
	return x
}

func (m *Machine) count(s State, n int) {
	if s == Alive || s == Suspect {
		m.live += n
	}
}

// Leave says that this member goes by will. What it gives is to be said before it ends.
func (m *Machine) Leave(now time.Duration) (out []Out) {
	m.left = true
	m.inc++
	m.spread(Rumour{ID: m.self, State: Left, Inc: m.inc})
	for _, x := range m.some(m.policy.Others, 0, Alive) {
		m.seq++
		out = append(out, m.say(x, Message{Kind: Ping, Seq: m.seq}))
	}
	return out
}

// Incarnation is this member's. The next life must begin above it.
func (m *Machine) Incarnation() uint64 { return m.inc }

// Counts are what has happened so far.
func (m *Machine) Counts() Counts { return m.counts }

// Slow is by how much this member stretches its times, for it takes itself to be slow.
func (m *Machine) Slow() int { return m.slow }

// Events gives what has changed since it was asked last.
func (m *Machine) Events() []Belief {
	list := m.events
	m.events = nil
	return list
}

// News grows whenever what Members gives may have changed.
func (m *Machine) News() uint64 { return m.news }

// Members gives the beliefs, by number, without this member's own.
func (m *Machine) Members() []Belief {
	list := make([]Belief, 0, len(m.peers))
	for _, x := range m.peers {
		list = append(list, x.belief())
	}
	slices.SortFunc(list, func(a, b Belief) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (x *peer) belief() Belief {
	b := Belief{ID: x.id, State: x.state, Inc: x.inc, Since: x.since, Here: x.hears, HereSince: x.heard}
	if x.state == Suspect {
		for id := range x.by {
			b.By = append(b.By, id)
		}
		slices.Sort(b.By)
	}
	return b
}

// Next is when Tick is to be called at the latest, if nothing is heard.
func (m *Machine) Next() time.Duration {
	next := min(m.due, m.sync)
	if len(m.words) > 0 {
		next = min(next, m.talk)
	}
	if !m.probe.done {
		if next = min(next, m.probe.ends); m.probe.helpers == 0 {
			next = min(next, m.probe.asked)
		}
	}
	for _, h := range m.helps {
		next = min(next, h.nack)
	}
	for _, x := range m.ill {
		if x.state == Suspect {
			next = min(next, x.ends)
		}
	}
	return next
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) (out []Out) {
	m.woke(now)
	defer func() { m.wants = m.Next() }()
	if m.left {
		return nil
	}
	for seq, h := range m.helps {
		if now >= h.nack {
			delete(m.helps, seq)
			out = append(out, m.say(h.for_, Message{Kind: Nack, Seq: h.seq, Target: h.to}))
		}
	}
	out = append(out, m.probing(now)...)
	for _, id := range m.sorted() {
		if x := m.peers[id]; x.state == Suspect && now >= x.ends {
			m.becomes(now, x, Rumour{ID: id, State: Failed, Inc: x.inc, By: m.self})
		} else if x.state >= Failed && now-x.since > m.policy.Forget {
			m.Drop(id)
		}
	}
	if now >= m.due {
		out = append(out, m.begin(now)...)
	}
	if now >= m.sync {
		out = append(out, m.exchange(now)...)
	}
	if len(m.words) > 0 && now >= m.talk {
		out = append(out, m.tell(now)...)
	}
	return out
}

// tell tells some members rumours. Hazard: whom it suspects by itself it tells so each time, for as long as
// that may still be refuted; by chance alone that one would hear of it too late.
func (m *Machine) tell(now time.Duration) (out []Out) {
	m.talk = now + m.policy.Talk
	told := m.some(m.policy.Others, 0, Suspect)
	for _, id := range m.sorted() {
		if x := m.peers[id]; x.state == Suspect && x.by[m.self] && !slices.Contains(told, id) {
			m.spread(Rumour{ID: id, State: Suspect, Inc: x.inc, By: m.self})
			told = append(told, id)
		}
	}
	for _, id := range told {
		out = append(out, m.say(id, Message{Kind: Tell}))
	}
	if len(m.order) == 0 {
		clear(m.words) // there is nobody to tell
	}
	return out
}

// sorted gives the members that are to be looked at, in an order that does not depend on the run.
func (m *Machine) sorted() (list []ID) {
	for id := range m.ill {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// woke notices that this process stood still.
//
// Hazard: what others have said meanwhile waits in a queue behind this look. It doubts itself first:
// nobody is accused of what was asked before, and the time that a suspicion lasts stood still with it.
func (m *Machine) woke(now time.Duration) {
	gap := now - m.wants
	if gap <= m.policy.Probe {
		return
	}
	m.wants = now
	m.counts.Stalls++
	m.doubt(1)
	m.probe.done = true
	clear(m.helps)
	for _, x := range m.ill {
		if x.state == Suspect {
			x.ends += gap
			x.stood += gap
		}
	}
	m.due = max(m.due, now)
}

// doubt has this member take itself for slower, or for less so.
func (m *Machine) doubt(n int) { m.slow = max(0, min(m.policy.Slow, m.slow+n)) }

func (m *Machine) stretch(d time.Duration) time.Duration { return d * time.Duration(m.slow+1) }

// probing goes on with the probe that is under way.
func (m *Machine) probing(now time.Duration) (out []Out) {
	p := &m.probe
	if p.done {
		return nil
	}
	x := m.peers[p.target]
	switch {
	case x == nil:
		p.done = true
	case now >= p.ends:
		p.done = true
		m.reach(now, x, false)
		if p.through {
			return nil // others reach it: it is there
		}
		// Where those who were asked to try have said nothing at all, it is we who are not heard.
		if m.doubt(p.helpers - p.nacks); p.helpers == 0 {
			m.doubt(1)
		}
		if x.state == Alive || x.state == Suspect && !x.by[m.self] {
			m.becomes(now, x, Rumour{ID: x.id, State: Suspect, Inc: x.inc, By: m.self})
		}
	case now >= p.asked && p.helpers == 0:
		for _, id := range m.some(m.policy.Others, p.target, Alive) {
			p.helpers++
			out = append(out, m.say(id, Message{Kind: Ask, Seq: p.seq, Target: p.target}))
		}
		if p.helpers == 0 {
			p.asked = p.ends // there is nobody to ask
		}
	}
	return out
}

func (m *Machine) reach(now time.Duration, x *peer, hears bool) {
	if x.hears != hears {
		x.hears, x.heard = hears, now
		m.news++
	}
}

// begin probes the next member of the round.
func (m *Machine) begin(now time.Duration) []Out {
	m.due = now + m.stretch(m.policy.Probe)
	if !m.probe.done {
		return nil
	}
	for range len(m.order) {
		if m.next >= len(m.order) {
			m.next = 0
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		x := m.peers[m.order[m.next]]
		if m.next++; x.state >= Failed {
			continue
		}
		m.seq++
		m.probe = probe{seq: m.seq, target: x.id, asked: now + m.stretch(m.policy.Timeout), ends: m.due}
		return []Out{m.say(x.id, Message{Kind: Ping, Seq: m.seq})}
	}
	return nil
}

// exchange has a full exchange with one member, also with one that is held for dead: a cut may be over.
func (m *Machine) exchange(now time.Duration) []Out {
	m.sync = now + m.policy.Sync/2 + time.Duration(m.rng.Int64N(int64(m.policy.Sync)))
	if len(m.order) == 0 {
		return nil
	}
	id := m.order[m.rng.IntN(len(m.order))]
	return []Out{{To: id, Message: Message{Kind: Sync, Words: m.all()}}}
}

// some picks members that are alive, as far as is known, or no worse than most.
func (m *Machine) some(n int, but ID, most State) (list []ID) {
	if len(m.order) == 0 {
		return nil
	}
	at := m.rng.IntN(len(m.order))
	for k := range len(m.order) {
		id := m.order[(at+k)%len(m.order)]
		if x := m.peers[id]; x.state <= most && id != but && x.hears {
			if list = append(list, id); len(list) == n {
				break
			}
		}
	}
	return list
}
