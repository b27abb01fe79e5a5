package membership

import (
	"cmp"
	"slices"
	"time"
)

// newMessage makes a message, with rumours along.
func (m *Detector) newMessage(to ID, w Message) Outbound {
	m.counters.Messages++
	if w.Updates == nil {
		w.Updates = m.piggyback(to)
	}
	return Outbound{To: to, Message: w}
}

// enqueue has a rumour go round, in the place of an older one on the same member.
func (m *Detector) enqueue(r Update) { m.queue[r.ID] = &queuedUpdate{Update: r} }

// piggyback picks what is said along with a message: what was said least often.
func (m *Detector) piggyback(to ID) []Update {
	most := m.policy.retransmits(m.liveCount)
	list := make([]*queuedUpdate, 0, len(m.queue))
	for _, r := range m.queue {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		// First what its subject is to hear: a suspicion that it can refute.
		return cmp.Or(-compareBool(a.ID == to && a.State != Alive, b.ID == to && b.State != Alive),
			cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	var words []Update
	for _, r := range list[:min(len(list), m.policy.MaxPiggyback)] {
		words = append(words, r.Update)
		if r.sent++; r.sent >= most {
			delete(m.queue, r.ID)
		}
	}
	return words
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// fullState is what a full exchange says.
func (m *Detector) fullState() []Update {
	words := []Update{{ID: m.self, State: Alive, Incarnation: m.incarnation}}
	for _, b := range m.Members() {
		r := Update{ID: b.ID, State: b.State, Incarnation: b.Incarnation}
		if len(b.SuspectedBy) > 0 {
			r.ReportedBy = b.SuspectedBy[0]
		}
		words = append(words, r)
	}
	return words
}

// Receive takes a message. From is who has sent it, as the certificate says.
func (m *Detector) Receive(now time.Duration, from ID, w Message) (out []Outbound) {
	m.detectStall(now)
	defer func() { m.expectedTick = m.NextTick() }()
	if m.departed || from == m.self {
		m.counters.Rejected++
		return nil
	}
	if w.Kind < Ping || w.Kind > Gossip || len(w.Updates) > maxUpdates {
		m.counters.Rejected++
		return nil
	}
	if m.members[from] == nil {
		m.addMember(now, from)
	}
	for _, r := range w.Updates {
		m.applyUpdate(now, r)
	}
	// What is held against it, it is to hear: it is there, and can refute that.
	if x := m.members[from]; x != nil && (x.state == Suspect || x.state == Failed) {
		m.enqueue(Update{ID: from, State: x.state, Incarnation: x.incarnation, ReportedBy: m.self})
	}
	switch w.Kind {
	case Ping:
		out = append(out, m.newMessage(from, Message{Kind: Ack, Seq: w.Seq}))
	case Ack:
		out = m.handleAck(now, from, w)
	case IndirectPing:
		if t := m.members[w.Target]; t != nil && w.Target != from {
			m.seq++
			m.relayedPings[m.seq] = relayedPing{
				requester:    from,
				requesterSeq: w.Seq,
				target:       w.Target,
				nackAt:       now + m.policy.ProbeTimeout,
			}
			out = append(out, m.newMessage(w.Target, Message{Kind: Ping, Seq: m.seq}))
		}
	case Nack:
		if !m.probe.done && m.probe.seq == w.Seq && m.probe.target == w.Target {
			m.probe.nacks = min(m.probe.nacks+1, m.probe.helpers)
		}
	case SyncRequest:
		out = append(out, Outbound{To: from, Message: Message{Kind: SyncReply, Updates: m.fullState()}})
	}
	return out
}

// handleAck takes an answer: to our own probe, or to one that we made for another.
func (m *Detector) handleAck(now time.Duration, from ID, w Message) (out []Outbound) {
	if h, ok := m.relayedPings[w.Seq]; ok && h.target == from {
		delete(m.relayedPings, w.Seq)
		return []Outbound{m.newMessage(h.requester, Message{Kind: Ack, Seq: h.requesterSeq, Target: from})}
	}
	p := &m.probe
	if p.done || p.seq != w.Seq {
		return nil // late
	}
	switch from {
	case p.target:
		p.done = true
		m.adjustHealth(-1)
		m.setReachable(now, m.members[from], true)
	default:
		if w.Target == p.target && !p.indirectAck {
			p.indirectAck = true
			p.nacks++ // who tried has answered
			m.adjustHealth(-1)
		}
	}
	return nil
}

// applyUpdate takes a rumour, and says it on if it is news.
func (m *Detector) applyUpdate(now time.Duration, r Update) {
	if r.State > Departed || r.ID == 0 {
		m.counters.Rejected++
		return
	}
	if r.ID == m.self {
		m.refute(r)
		return
	}
	x := m.members[r.ID]
	if x == nil {
		// Hazard: a rumour of one that is long gone must not raise it; of the dead nothing need be known.
		if r.State >= Failed {
			return
		}
		x = m.addMember(now, r.ID)
		x.incarnation = r.Incarnation
	}
	if r.Incarnation > x.incarnation+maxIncarnationJump {
		m.counters.Rejected++
		return
	}
	switch {
	case r.Incarnation < x.incarnation || r.Incarnation == x.incarnation && r.State < x.state:
	case r.Incarnation == x.incarnation && r.State == x.state:
		if r.State == Suspect && !x.suspectedBy[r.ReportedBy] &&
			len(x.suspectedBy) <= m.policy.IndirectProbes {
			m.setState(now, x, r) // another who has come to it by itself
		}
	default:
		m.setState(now, x, r)
	}
}

// refute answers a rumour on this member itself: with a greater incarnation, where it is not what it is.
//
// Hazard: the rumour may be of an earlier life, whose incarnation was greater. Only a greater one refutes.
func (m *Detector) refute(r Update) {
	if r.Incarnation > m.incarnation+maxIncarnationJump {
		m.counters.Rejected++
		return
	}
	if r.State == Alive && r.Incarnation <= m.incarnation || r.Incarnation < m.incarnation {
		return
	}
	m.incarnation = r.Incarnation + 1
	m.counters.Refutations++
	if r.State == Suspect {
		m.adjustHealth(1) // there must be a reason
	}
	m.enqueue(Update{ID: m.self, State: Alive, Incarnation: m.incarnation})
}

// setState takes over what a member is believed to be.
func (m *Detector) setState(now time.Duration, x *memberRecord, r Update) {
	m.version++
	if r.State != x.state || r.Incarnation != x.incarnation {
		m.countLive(x.state, -1)
		m.countLive(r.State, 1)
		changed := r.State != x.state
		x.state, x.incarnation, x.suspectedBy = r.State, r.Incarnation, nil
		if delete(m.notAlive, x.id); x.state != Alive {
			m.notAlive[x.id] = x
		}
		if changed {
			x.changedAt = now
		}
		if r.State == Suspect {
			x.suspectedBy, x.changedAt, x.stalledFor = map[ID]bool{}, now, 0
		}
		defer func() {
			if changed {
				m.events = append(m.events, x.memberState())
			}
		}()
	}
	if r.State == Suspect {
		x.suspectedBy[r.ReportedBy] = true
		x.suspicionEnds = x.changedAt + x.stalledFor + m.policy.suspicionTimeout(
			m.liveCount,
			len(x.suspectedBy)-1,
		)
	}
	m.enqueue(r)
}
