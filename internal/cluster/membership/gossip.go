package membership

import (
	"cmp"
	"slices"
	"time"
)

// updateQueue holds the updates to disseminate: the latest one about each member.
type updateQueue map[ID]*queuedUpdate

type queuedUpdate struct {
	Update
	sent int // number of times it has been sent
}

// add queues an update, replacing an older one about the same member.
func (q updateQueue) add(u Update) { q[u.ID] = &queuedUpdate{Update: u} }

func (q updateQueue) remove(id ID) { delete(q, id) }

func (q updateQueue) len() int { return len(q) }

// pick returns at most limit updates to put into a message to the given member, those sent least often first.
// An update that has been sent retransmitLimit times is removed from the queue.
func (q updateQueue) pick(to ID, limit, retransmitLimit int) []Update {
	list := make([]*queuedUpdate, 0, len(q))
	for _, u := range q {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		// Updates that the receiver can refute come first.
		return cmp.Or(compareTrueFirst(a.refutableBy(to), b.refutableBy(to)),
			cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	var updates []Update
	for _, u := range list[:min(len(list), limit)] {
		updates = append(updates, u.Update)
		if u.sent++; u.sent >= retransmitLimit {
			delete(q, u.ID)
		}
	}
	return updates
}

func (u *queuedUpdate) refutableBy(id ID) bool { return u.ID == id && u.State != Alive }

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// newMessage addresses a message and piggybacks updates on it, unless it already carries updates.
func (d *Detector) newMessage(to ID, m Message) Outbound {
	d.counters.Messages++
	if m.Updates == nil {
		m.Updates = d.queue.pick(to, d.policy.MaxPiggyback, d.policy.retransmitLimit(d.liveCount))
	}
	return Outbound{To: to, Message: m}
}

// sendGossip sends updates to randomly picked members.
//
// A member that this one suspects because of its own probe is sent the suspicion in every round, as long as
// the suspicion can still be refuted. If it were only picked at random, it would learn of the suspicion too
// late.
func (d *Detector) sendGossip(now time.Duration) (out []Outbound) {
	d.nextGossip = now + d.policy.GossipInterval
	receivers := d.pickMembers(d.policy.IndirectProbes, 0, Suspect)
	for _, id := range d.sortedNotAlive() {
		r := d.members[id]
		if r.state == Suspect && r.suspectedBy[d.self] && !slices.Contains(receivers, id) {
			d.queue.add(Update{ID: id, State: Suspect, Incarnation: r.incarnation, ReportedBy: d.self})
			receivers = append(receivers, id)
		}
	}
	for _, id := range receivers {
		out = append(out, d.newMessage(id, Message{Kind: Gossip}))
	}
	if len(d.probeOrder) == 0 {
		clear(d.queue) // no other member to send to
	}
	return out
}

// startSync starts a full state sync with a random member. Failed members are included, because a partition
// may have healed.
func (d *Detector) startSync(now time.Duration) []Outbound {
	d.nextSync = now + d.policy.SyncInterval/2 + time.Duration(d.rng.Int64N(int64(d.policy.SyncInterval)))
	if len(d.probeOrder) == 0 {
		return nil
	}
	id := d.probeOrder[d.rng.IntN(len(d.probeOrder))]
	return []Outbound{{To: id, Message: Message{Kind: SyncRequest, Updates: d.fullState()}}}
}

// fullState returns the contents of a full state sync: the state of all known members, including this one.
func (d *Detector) fullState() []Update {
	updates := []Update{{ID: d.self, State: Alive, Incarnation: d.incarnation}}
	for _, s := range d.Members() {
		u := Update{ID: s.ID, State: s.State, Incarnation: s.Incarnation}
		if len(s.SuspectedBy) > 0 {
			u.ReportedBy = s.SuspectedBy[0]
		}
		updates = append(updates, u)
	}
	return updates
}
