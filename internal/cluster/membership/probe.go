package membership

import "time"

// probe is the current probe: a ping, followed by indirect pings through helpers.
type probe struct {
	seq           uint64
	target        ID
	indirectAt    time.Duration // time at which indirect pings are requested
	deadline      time.Duration
	helpers       int // number of members asked for an indirect ping
	helperReplies int // number of helpers that have replied, whether the target answered them or not
	done          bool
	indirectAck   bool // whether a helper has reached the target
}

// relayedPing is a ping that this member sends on behalf of another.
type relayedPing struct {
	requester    ID
	requesterSeq uint64 // sequence number of the requester's own ping
	target       ID
	nackAt       time.Duration
}

// startProbe pings the next member of the round, unless the previous probe is still in progress.
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

// advanceProbe requests indirect pings for the current probe or ends it, if its timer has expired.
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

// endProbe ends a probe whose target has not answered in time, and marks the target as suspect unless a
// helper has reached it.
func (d *Detector) endProbe(now time.Duration, target *memberRecord) {
	d.probe.done = true
	d.setReachable(now, target, false)
	if d.probe.indirectAck {
		return
	}
	// Helpers that sent neither an Ack nor a Nack suggest that messages to this member are lost or late.
	d.health.adjust(d.probe.helpers - d.probe.helperReplies)
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
		p.indirectAt = p.deadline // no helper is available
	}
	return out
}

// pickMembers returns at most n reachable members with a state of at most worstState. They follow each other
// in the probe order, from a random start.
func (d *Detector) pickMembers(n int, exclude ID, worstState State) (list []ID) {
	if len(d.probeOrder) == 0 {
		return nil
	}
	first := d.rng.IntN(len(d.probeOrder))
	for k := range len(d.probeOrder) {
		id := d.probeOrder[(first+k)%len(d.probeOrder)]
		if r := d.members[id]; r.state <= worstState && id != exclude && r.reachable {
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

// expireRelayedPings sends a Nack for each relayed ping that was not answered in time.
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

// handleIndirectPing pings the target on behalf of the sender.
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

// handleAck handles the answer to this member's own ping, to a relayed ping, or to an indirect ping request.
func (d *Detector) handleAck(now time.Duration, from ID, m Message) []Outbound {
	if p, ok := d.relayedPings[m.Seq]; ok && p.target == from {
		delete(d.relayedPings, m.Seq)
		ack := Message{Kind: Ack, Seq: p.requesterSeq, Target: from}
		return []Outbound{d.newMessage(p.requester, ack)}
	}
	p := &d.probe
	if p.done || p.seq != m.Seq {
		return nil // the probe has ended
	}
	switch {
	case from == p.target:
		p.done = true
		d.health.adjust(-1)
		d.setReachable(now, d.members[from], true)
	case m.Target == p.target && !p.indirectAck:
		p.indirectAck = true
		p.helperReplies++ // an Ack is a reply too
		d.health.adjust(-1)
	}
	return nil
}

// handleNack counts the reply of a helper that could not reach the target.
func (d *Detector) handleNack(m Message) {
	p := &d.probe
	if !p.done && p.seq == m.Seq && p.target == m.Target {
		p.helperReplies = min(p.helperReplies+1, p.helpers)
	}
}
