package membership

import "time"

// Bounds on received messages. Messages and updates that exceed them are rejected as invalid.
const (
	maxUpdates         = 20_000  // per message
	maxIncarnationJump = 1 << 20 // most by which an update may exceed the known incarnation
)

// Receive processes a message and returns the messages to send. from is the sender according to its
// certificate. Invalid messages and updates are counted in Counters.Rejected and are otherwise ignored.
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
	// The sender is alive. If it is recorded as suspect or failed, it is sent that update to refute it.
	if r := d.members[from]; r != nil && (r.state == Suspect || r.state == Failed) {
		d.queue.add(Update{ID: from, State: r.state, Incarnation: r.incarnation, ReportedBy: d.self})
	}
	return d.handle(now, from, m)
}

// handle dispatches a valid message by its kind.
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

// applyUpdate applies an update, and queues it for dissemination if it is new.
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
		// A late update about a member that was removed must not add it again. Failed and departed members
		// need not be known, so such an update is ignored.
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
		// The update is older than the recorded state.
	case u.Incarnation == r.incarnation && u.State == r.state:
		if u.State == Suspect && !r.suspectedBy[u.ReportedBy] &&
			len(r.suspectedBy) <= d.policy.IndirectProbes {
			d.setState(now, r, u) // an independent confirmation
		}
	default:
		d.setState(now, r, u)
	}
}

// refute handles an update about this member. Unless the update is correct or outdated, it is refuted with a
// greater incarnation.
//
// The update may be about an earlier process of this member whose incarnation is greater than the current
// one. Only an incarnation above that of the update refutes it.
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
		d.health.adjust(1) // another member missed an answer: this one may be slow
	}
	d.queue.add(Update{ID: d.self, State: Alive, Incarnation: d.incarnation})
}

// setState changes a member's state, or adds a confirmation to its suspicion, and queues the update for
// dissemination.
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
