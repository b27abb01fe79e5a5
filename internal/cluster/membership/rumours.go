package membership

import (
	"cmp"
	"slices"
	"time"
)

// say makes a message, with rumours along.
func (m *Machine) say(to ID, w Message) Out {
	m.counts.Messages++
	if w.Words == nil {
		w.Words = m.gossip(to)
	}
	return Out{To: to, Message: w}
}

// spread has a rumour go round, in the place of an older one on the same member.
func (m *Machine) spread(r Rumour) { m.words[r.ID] = &rumour{Rumour: r} }

// gossip picks what is said along with a message: what was said least often.
func (m *Machine) gossip(to ID) []Rumour {
	most := m.policy.sends(m.live)
	list := make([]*rumour, 0, len(m.words))
	for _, r := range m.words {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *rumour) int {
		// First what its subject is to hear: a suspicion that it can refute.
		return cmp.Or(-compare(a.ID == to && a.State != Alive, b.ID == to && b.State != Alive),
			cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	var words []Rumour
	for _, r := range list[:min(len(list), m.policy.Words)] {
		words = append(words, r.Rumour)
		if r.sent++; r.sent >= most {
			delete(m.words, r.ID)
		}
	}
	return words
}

func compare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// all is what a full exchange says.
func (m *Machine) all() []Rumour {
	words := []Rumour{{ID: m.self, State: Alive, Inc: m.inc}}
	for _, b := range m.Members() {
		r := Rumour{ID: b.ID, State: b.State, Inc: b.Inc}
		if len(b.By) > 0 {
			r.By = b.By[0]
		}
		words = append(words, r)
	}
	return words
}

// Hear takes a message. From is who has sent it, as the certificate says.
func (m *Machine) Hear(now time.Duration, from ID, w Message) (out []Out) {
	m.woke(now)
	defer func() { m.wants = m.Next() }()
	if m.left || from == m.self {
		m.counts.Refused++
		return nil
	}
	if w.Kind < Ping || w.Kind > Tell || len(w.Words) > mostWords {
		m.counts.Refused++
		return nil
	}
	if m.peers[from] == nil {
		m.add(now, from)
	}
	for _, r := range w.Words {
		m.take(now, r)
	}
	// What is held against it, it is to hear: it is there, and can refute that.
	if x := m.peers[from]; x != nil && (x.state == Suspect || x.state == Failed) {
		m.spread(Rumour{ID: from, State: x.state, Inc: x.inc, By: m.self})
	}
	switch w.Kind {
	case Ping:
		out = append(out, m.say(from, Message{Kind: Ack, Seq: w.Seq}))
	case Ack:
		out = m.acked(now, from, w)
	case Ask:
		if t := m.peers[w.Target]; t != nil && w.Target != from {
			m.seq++
			m.helps[m.seq] = help{for_: from, seq: w.Seq, to: w.Target, nack: now + m.policy.Timeout}
			out = append(out, m.say(w.Target, Message{Kind: Ping, Seq: m.seq}))
		}
	case Nack:
		if !m.probe.done && m.probe.seq == w.Seq && m.probe.target == w.Target {
			m.probe.nacks = min(m.probe.nacks+1, m.probe.helpers)
		}
	case Sync:
		out = append(out, Out{To: from, Message: Message{Kind: Reply, Words: m.all()}})
	}
	return out
}

// acked takes an answer: to our own probe, or to one that we made for another.
func (m *Machine) acked(now time.Duration, from ID, w Message) (out []Out) {
	if h, ok := m.helps[w.Seq]; ok && h.to == from {
		delete(m.helps, w.Seq)
		return []Out{m.say(h.for_, Message{Kind: Ack, Seq: h.seq, Target: from})}
	}
	p := &m.probe
	if p.done || p.seq != w.Seq {
		return nil // late
	}
	switch from {
	case p.target:
		p.done = true
		m.doubt(-1)
		m.reach(now, m.peers[from], true)
	default:
		if w.Target == p.target && !p.through {
			p.through = true
			p.nacks++ // who tried has answered
			m.doubt(-1)
		}
	}
	return nil
}

// take takes a rumour, and says it on if it is news.
func (m *Machine) take(now time.Duration, r Rumour) {
	if r.State > Left || r.ID == 0 {
		m.counts.Refused++
		return
	}
	if r.ID == m.self {
		m.accused(r)
		return
	}
	x := m.peers[r.ID]
	if x == nil {
		// Hazard: a rumour of one that is long gone must not raise it; of the dead nothing need be known.
		if r.State >= Failed {
			return
		}
		x = m.add(now, r.ID)
		x.inc = r.Inc
	}
	if r.Inc > x.inc+mostInc {
		m.counts.Refused++
		return
	}
	switch {
	case r.Inc < x.inc || r.Inc == x.inc && r.State < x.state:
	case r.Inc == x.inc && r.State == x.state:
		if r.State == Suspect && !x.by[r.By] && len(x.by) <= m.policy.Others {
			m.becomes(now, x, r) // another who has come to it by itself
		}
	default:
		m.becomes(now, x, r)
	}
}

// accused answers a rumour on this member itself: with a greater incarnation, where it is not what it is.
//
// Hazard: the rumour may be of an earlier life, whose incarnation was greater. Only a greater one refutes.
func (m *Machine) accused(r Rumour) {
	if r.Inc > m.inc+mostInc {
		m.counts.Refused++
		return
	}
	if r.State == Alive && r.Inc <= m.inc || r.Inc < m.inc {
		return
	}
	m.inc = r.Inc + 1
	m.counts.Refuted++
	if r.State == Suspect {
		m.doubt(1) // there must be a reason
	}
	m.spread(Rumour{ID: m.self, State: Alive, Inc: m.inc})
}

// becomes takes over what a member is believed to be.
func (m *Machine) becomes(now time.Duration, x *peer, r Rumour) {
	m.news++
	if r.State != x.state || r.Inc != x.inc {
		m.count(x.state, -1)
		m.count(r.State, 1)
		changed := r.State != x.state
		x.state, x.inc, x.by = r.State, r.Inc, nil
		if delete(m.ill, x.id); x.state != Alive {
			m.ill[x.id] = x
		}
		if changed {
			x.since = now
		}
		if r.State == Suspect {
			x.by, x.since, x.stood = map[ID]bool{}, now, 0
		}
		defer func() {
			if changed {
				m.events = append(m.events, x.belief())
			}
		}()
	}
	if r.State == Suspect {
		x.by[r.By] = true
		x.ends = x.since + x.stood + m.policy.suspicion(m.live, len(x.by)-1)
	}
	m.spread(r)
}
