package membership

import (
	"cmp"
	"slices"
	"time"
)

// updateQueue holds the updates that are being spread: the newest on each member.
type updateQueue map[ID]*queuedUpdate

type queuedUpdate struct {
	Update
	sent int // how often
}

// add has an update spread, in the place of an older one on the same member.
func (q updateQueue) add(u Update) { q[u.ID] = &queuedUpdate{Update: u} }

func (q updateQueue) remove(id ID) { delete(q, id) }

func (q updateQueue) len() int { return len(q) }

// pick returns at most count updates for a message to a member, those that were sent least often first. An
// update that has been sent so many times in all is dropped.
func (q updateQueue) pick(to ID, count, retransmits int) []Update {
	list := make([]*queuedUpdate, 0, len(q))
	for _, u := range q {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		// What the receiver can refute comes first.
		return cmp.Or(compareTrueFirst(a.refutableBy(to), b.refutableBy(to)),
			cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	var updates []Update
	for _, u := range list[:min(len(list), count)] {
		updates = append(updates, u.Update)
		if u.sent++; u.sent >= retransmits {
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

// newMessage completes a message with updates to piggyback, unless it has its own.
func (d *Detector) newMessage(to ID, m Message) Outbound {
	d.counters.Messages++
	if m.Updates == nil {
		m.Updates = d.queue.pick(to, d.policy.MaxPiggyback, d.policy.retransmits(d.liveCount))
	}
	return Outbound{To: to, Message: m}
}

// sendGossip sends updates to some members.
//
// Hazard: a member that this one suspects by its own probe is sent the suspicion each time, while it may
// still be refuted: by random choice alone it would learn of it too late.
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
		clear(d.queue) // there is no other member
	}
	return out
}

// startSync begins a full exchange of states with one member. It may be one that has failed: a partition may
// have healed.
func (d *Detector) startSync(now time.Duration) []Outbound {
	d.nextSync = now + d.policy.SyncInterval/2 + time.Duration(d.rng.Int64N(int64(d.policy.SyncInterval)))
	if len(d.probeOrder) == 0 {
		return nil
	}
	id := d.probeOrder[d.rng.IntN(len(d.probeOrder))]
	return []Outbound{{To: id, Message: Message{Kind: SyncRequest, Updates: d.fullState()}}}
}

// fullState is what a full exchange carries: the state of all known members, this one among them.
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
