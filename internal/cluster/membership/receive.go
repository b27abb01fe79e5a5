package membership

import "time"

// Bounds of what is received. Whatever exceeds them is rejected as invalid.
const (
	maxUpdates         = 20_000  // in a message
	maxIncarnationJump = 1 << 20 // from the incarnation that is known
)

// Receive takes a message, and returns the messages to send. From is the sender as its certificate names it.
// Invalid messages and updates are counted and change nothing.
func (d *Detector) Receive(now time.Duration, from ID, m Message) []Outbound {
	d.detectStall(now)
	defer func() { d.expectedTick = d.NextTick() }()
	if from == d.self || m.Kind < Ping || m.Kind > Gossip || len(m.Updates) > maxUpdates {
		d.counters.Rejected++
		return nil
	}
	if d.members[from] == nil {
		d.addMember(now, from)
	}
	for _, u := range m.Updates {
		d.applyUpdate(now, u)
	}
	// The sender is alive: it is sent what is known against it, so that it can refute that.
	if r := d.members[from]; r != nil && (r.state == Suspect || r.state == Failed) {
		d.queue.add(Update{ID: from, State: r.state, Incarnation: r.incarnation, ReportedBy: d.self})
	}
	return d.handle(now, from, m)
}

// handle answers a valid message by its kind.
func (d *Detector) handle(now time.Duration, from ID, m Message) []Outbound {
	switch m.Kind {
	case Ping:
		return []Outbound{d.newMessage(from, Message{Kind: Ack, Seq: m.Seq})}
	case Ack:
		return d.handleAck(now, from, m)
	case IndirectPing:
		return d.handleIndirectPing(now, from, m)
	case Nack:
		d.handleNack(m)
	case SyncRequest:
		return []Outbound{{To: from, Message: Message{Kind: SyncReply, Updates: d.fullState()}}}
	}
	return nil
}

// applyUpdate takes over an update, and spreads it if it brings anything new.
func (d *Detector) applyUpdate(now time.Duration, u Update) {
	if u.State > Departed || u.ID == 0 {
		d.counters.Rejected++
		return
	}
	if u.ID == d.self {
		d.refute(u)
		return
	}
	r := d.members[u.ID]
	if r == nil {
		// Hazard: a late update on a member that was removed must not add it again. Nothing need be known of
		// members that have failed.
		if u.State >= Failed {
			return
		}
		r = d.addMember(now, u.ID)
		r.incarnation = u.Incarnation
	}
	if u.Incarnation > r.incarnation+maxIncarnationJump {
		d.counters.Rejected++
		return
	}
	switch {
	case u.Incarnation < r.incarnation || u.Incarnation == r.incarnation && u.State < r.state:
		// It is older than what is known.
	case u.Incarnation == r.incarnation && u.State == r.state:
		if u.State == Suspect && !r.suspectedBy[u.ReportedBy] &&
			len(r.suspectedBy) <= d.policy.IndirectProbes {
			d.setState(now, r, u) // an independent confirmation
		}
	default:
		d.setState(now, r, u)
	}
}

// refute answers an update on this member itself with a greater incarnation, unless the update is correct.
//
// Hazard: the update may be on an earlier process of this member, with a greater incarnation than this one's.
// Only an incarnation above that refutes it.
func (d *Detector) refute(u Update) {
	if u.Incarnation > d.incarnation+maxIncarnationJump {
		d.counters.Rejected++
		return
	}
	if u.State == Alive && u.Incarnation <= d.incarnation || u.Incarnation < d.incarnation {
		return
	}
	d.incarnation = u.Incarnation + 1
	d.counters.Refutations++
	if u.State == Suspect {
		d.health.adjust(1) // a suspicion has its reason
	}
	d.queue.add(Update{ID: d.self, State: Alive, Incarnation: d.incarnation})
}

// setState changes a member's state, or adds a confirmation to its suspicion, and spreads the update.
func (d *Detector) setState(now time.Duration, r *memberRecord, u Update) {
	d.version++
	changed := u.State != r.state
	if changed || u.Incarnation != r.incarnation {
		d.countLive(r.state, -1)
		d.countLive(u.State, 1)
		r.state, r.incarnation, r.suspectedBy = u.State, u.Incarnation, nil
		if changed {
			r.changedAt = now
		}
		if u.State == Suspect {
			r.suspectedBy, r.changedAt, r.stalledFor = map[ID]bool{}, now, 0
		}
		delete(d.notAlive, r.id)
		if r.state != Alive {
			d.notAlive[r.id] = r
		}
	}
	if u.State == Suspect {
		r.suspectedBy[u.ReportedBy] = true
		timeout := d.policy.suspicionTimeout(d.liveCount, len(r.suspectedBy)-1)
		r.suspicionEnds = r.changedAt + r.stalledFor + timeout
	}
	d.queue.add(u)
	if changed {
		d.events = append(d.events, r.memberState())
	}
}
