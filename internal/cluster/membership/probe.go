package membership

import "time"

// probe is the probe that is under way: a ping, then indirect pings by helpers.
type probe struct {
	seq         uint64
	target      ID
	indirectAt  time.Duration // when indirect pings are requested
	deadline    time.Duration
	helpers     int // that an indirect ping was requested of
	nacks       int // helpers that have answered, with or without an answer of the target
	done        bool
	indirectAck bool // a helper has reached the target
}

// relayedPing is a ping that this member sends for another.
type relayedPing struct {
	requester    ID
	requesterSeq uint64 // sequence number of the requester's own ping
	target       ID
	nackAt       time.Duration
}

// startProbe pings the next member of the round.
func (d *Detector) startProbe(now time.Duration) []Outbound {
	d.nextProbe = now + d.health.scale(d.policy.ProbeInterval)
	if !d.probe.done {
		return nil
	}
	for range len(d.probeOrder) {
		if d.probeIndex >= len(d.probeOrder) {
			d.shuffleRound()
		}
		r := d.members[d.probeOrder[d.probeIndex]]
		if d.probeIndex++; r.state >= Failed {
			continue
		}
		d.seq++
		d.probe = probe{
			seq:        d.seq,
			target:     r.id,
			indirectAt: now + d.health.scale(d.policy.ProbeTimeout),
			deadline:   d.nextProbe,
		}
		return []Outbound{d.newMessage(r.id, Message{Kind: Ping, Seq: d.seq})}
	}
	return nil
}

func (d *Detector) shuffleRound() {
	d.probeIndex = 0
	d.rng.Shuffle(len(d.probeOrder), func(i, j int) {
		d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i]
	})
}

// advanceProbe takes the next step of the probe that is under way, if that is due.
func (d *Detector) advanceProbe(now time.Duration) []Outbound {
	if d.probe.done {
		return nil
	}
	target := d.members[d.probe.target]
	switch {
	case target == nil:
		d.probe.done = true
	case now >= d.probe.deadline:
		d.endProbe(now, target)
	case now >= d.probe.indirectAt && d.probe.helpers == 0:
		return d.requestIndirectPings()
	}
	return nil
}

// endProbe ends a probe whose target has not answered in time, and suspects the target unless others have
// reached it.
func (d *Detector) endProbe(now time.Duration, target *memberRecord) {
	d.probe.done = true
	d.setReachable(now, target, false)
	if d.probe.indirectAck {
		return
	}
	// Helpers that have sent no answer at all are a sign that this member is not reached itself.
	d.health.adjust(d.probe.helpers - d.probe.nacks)
	if d.probe.helpers == 0 {
		d.health.adjust(1)
	}
	if target.state == Alive || target.state == Suspect && !target.suspectedBy[d.self] {
		d.setState(now, target, Update{
			ID:          target.id,
			State:       Suspect,
			Incarnation: target.incarnation,
			ReportedBy:  d.self,
		})
	}
}

func (d *Detector) requestIndirectPings() (out []Outbound) {
	p := &d.probe
	for _, id := range d.pickMembers(d.policy.IndirectProbes, p.target, Alive) {
		p.helpers++
		out = append(out, d.newMessage(id, Message{Kind: IndirectPing, Seq: p.seq, Target: p.target}))
	}
	if p.helpers == 0 {
		p.indirectAt = p.deadline // there is no helper
	}
	return out
}

// pickMembers picks at most n reachable members whose state is no worse than the given one, at random.
func (d *Detector) pickMembers(n int, except ID, worst State) (list []ID) {
	if len(d.probeOrder) == 0 {
		return nil
	}
	first := d.rng.IntN(len(d.probeOrder))
	for k := range len(d.probeOrder) {
		id := d.probeOrder[(first+k)%len(d.probeOrder)]
		if r := d.members[id]; r.state <= worst && id != except && r.reachable {
			if list = append(list, id); len(list) == n {
				break
			}
		}
	}
	return list
}

func (d *Detector) setReachable(now time.Duration, r *memberRecord, reachable bool) {
	if r.reachable != reachable {
		r.reachable, r.reachableSince = reachable, now
		d.version++
	}
}

// expireRelayedPings reports pings for others that were not answered in time.
func (d *Detector) expireRelayedPings(now time.Duration) (out []Outbound) {
	for seq, p := range d.relayedPings {
		if now >= p.nackAt {
			delete(d.relayedPings, seq)
			nack := Message{Kind: Nack, Seq: p.requesterSeq, Target: p.target}
			out = append(out, d.newMessage(p.requester, nack))
		}
	}
	return out
}

// handleIndirectPing pings a member for another one.
func (d *Detector) handleIndirectPing(now time.Duration, from ID, m Message) []Outbound {
	if d.members[m.Target] == nil || m.Target == from {
		return nil
	}
	d.seq++
	d.relayedPings[d.seq] = relayedPing{
		requester:    from,
		requesterSeq: m.Seq,
		target:       m.Target,
		nackAt:       now + d.policy.ProbeTimeout,
	}
	return []Outbound{d.newMessage(m.Target, Message{Kind: Ping, Seq: d.seq})}
}

// handleAck takes the answer to this member's own ping, to a relayed one, or to an indirect ping.
func (d *Detector) handleAck(now time.Duration, from ID, m Message) []Outbound {
	if p, ok := d.relayedPings[m.Seq]; ok && p.target == from {
		delete(d.relayedPings, m.Seq)
		ack := Message{Kind: Ack, Seq: p.requesterSeq, Target: from}
		return []Outbound{d.newMessage(p.requester, ack)}
	}
	p := &d.probe
	if p.done || p.seq != m.Seq {
		return nil // late
	}
	switch {
	case from == p.target:
		p.done = true
		d.health.adjust(-1)
		d.setReachable(now, d.members[from], true)
	case m.Target == p.target && !p.indirectAck:
		p.indirectAck = true
		p.nacks++ // this helper has answered
		d.health.adjust(-1)
	}
	return nil
}

// handleNack counts a helper that could not reach the target, but has answered itself.
func (d *Detector) handleNack(m Message) {
	p := &d.probe
	if !p.done && p.seq == m.Seq && p.target == m.Target {
		p.nacks = min(p.nacks+1, p.helpers)
	}
}
