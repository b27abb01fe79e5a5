package rollout

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

// Two states are the same if all that can happen from them is. Times count from now, and what has expired has
// expired however long ago; sessions and incarnations are distinguished but have no numbers, instances are
// distinguished but have no names. What follows from the rest is left out: the state as each instance has
// it, which is that of the one furthest behind and the log from there on; and what has no effect any more.

var keySeed = maphash.MakeSeed()

// keyWriter writes a state so that states that are the same are written the same.
type keyWriter struct {
	m            *model
	b            []byte
	epochs       []uint64 // in the order in which they were met; likewise incarnations
	incarnations []uint64
	rank         [8]byte // of each instance, by member number
}

func (w *keyWriter) reset() {
	w.b, w.epochs, w.incarnations = w.b[:0], w.epochs[:0], w.incarnations[:0]
}

func (w *keyWriter) put(values ...int) {
	for _, x := range values {
		w.b = append(w.b, byte(x))
	}
}

func (w *keyWriter) bits(values ...bool) {
	n := 0
	for k, x := range values {
		if x {
			n |= 1 << k
		}
	}
	w.put(n)
}

// ordinal replaces a number by the order in which it was met; 0 stays 0.
func ordinal(met *[]uint64, v uint64) int {
	if v == 0 {
		return 0
	}
	k := slices.Index(*met, v)
	if k < 0 {
		k = len(*met)
		*met = append(*met, v)
	}
	return k + 1
}

// elapsed writes how long ago something was, up to a longest time.
func (w *keyWriter) elapsed(at, now, longest time.Duration) {
	w.put(int(max(min(now-at, longest), 0) / time.Second))
}

// remaining writes how long something lasts yet.
func (w *keyWriter) remaining(until, now time.Duration) {
	w.put(int((max(until-now, 0) + time.Second - 1) / time.Second))
}

// attempt writes an attempt: only whether it is the first, and the distance to the pending one, matter.
func (w *keyWriter) attempt(a int) {
	if p := w.m.leaderState.Pending; p != nil && a > 1 {
		a = max(2+a-p.Attempt+100, 2)
	}
	w.put(a)
}

func (w *keyWriter) pending(p *PendingChange) {
	if p == nil {
		w.put(255)
		return
	}
	w.put(int(p.Revision), int(p.Phase))
	w.attempt(p.Attempt)
}

func (w *keyWriter) report(r Report) {
	w.put(ordinal(&w.incarnations, r.Incarnation), ordinal(&w.epochs, r.Epoch))
	w.b = append(append(append(w.b, r.StagedChange...), '/'), r.AdmissionClosedFor...)
	w.attempt(r.Attempt)
}

// instance writes what belongs to one instance, and what the leader knows of it.
func (w *keyWriter) instance(i int) {
	m, x, now := w.m, &w.m.instances[i], w.m.instanceClock()
	h := &x.holder
	w.put(len(m.log)-x.applied, ordinal(&w.incarnations, h.incarnation))
	w.remaining(h.leaseFrom+h.leaseLong, now)
	w.bits(h.reported, h.reportDue, x.report != nil, x.grant != nil, x.justStarted)
	if !h.reportDue {
		w.elapsed(h.reportedAt, now, modelPolicy.Lease/4)
	}
	if x.report != nil {
		w.report(*x.report)
		w.elapsed(x.report.RequestedAt, now, modelPolicy.Lease)
	}
	if x.grant != nil {
		w.put(ordinal(&w.epochs, x.grant.Epoch))
		w.elapsed(x.grant.RequestedAt, now, modelPolicy.Lease)
	}
	w.member(i)
}

// member writes what the leader knows of an instance.
func (w *keyWriter) member(i int) {
	m, l, p := w.m, w.m.leader, w.m.leaderState.Pending
	s, x := m.leaderState.Sessions[uint64(i+1)], l.members[uint64(i+1)]
	if x == nil {
		x = &memberState{}
	}
	// What matters is whether the leader has a report of the session that is open now.
	current := x.reported && s.Open && x.report.Epoch == s.Epoch
	requests := x.unanswered && x.report.Epoch == 0
	w.bits(s.Open, current, requests, s.Open && x.expiringEpoch == s.Epoch, x.epoch == s.Epoch,
		p != nil && x.reportedAt == m.now, p != nil && x.reportedAt >= l.pendingSince)
	if requests {
		w.put(ordinal(&w.incarnations, x.report.Incarnation))
	}
	if p != nil && current {
		w.bits(x.report.StagedChange == p.Change, x.report.AdmissionClosedFor == p.Change,
			x.report.Attempt == p.Attempt)
	}
	if s.Open {
		w.remaining(l.leaseExpiry(x, modelPolicy), m.now)
	}
	w.remaining(l.startedAt+ExpiryWait(modelPolicy.Lease), m.now)
}

// Key distinguishes states that are not the same.
func (m *model) Key() uint64 {
	w := &keyWriter{m: m, b: make([]byte, 0, 256)}
	var signature [8]uint64
	order := make([]int, len(m.instances))
	furthestBehind := 0
	for i := range m.instances {
		w.reset()
		w.instance(i)
		signature[i], order[i] = maphash.Bytes(keySeed, w.b), i
		if m.instances[i].applied < m.instances[furthestBehind].applied {
			furthestBehind = i
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(signature[a], signature[b]) })
	w.reset()
	for k, i := range order {
		w.rank[i+1] = byte(k)
		w.instance(i)
	}
	w.replicated(&m.instances[furthestBehind], order)
	w.put(m.changes, m.crashes, m.losses, m.newLeaders, m.leaderStalls, m.isolations, int(m.newestAdmitted))
	if m.isolated > 0 {
		w.put(slices.Index(order, m.isolated-1), int((m.now-m.isolatedSince)/leaderStep))
	}
	if m.leaderState.Pending != nil {
		w.pending(&m.leader.pending)
		w.elapsed(m.leader.pendingSince, m.now, modelPolicy.MaxAdmissionPause+time.Second)
	}
	return maphash.Bytes(keySeed, w.b)
}

// replicated writes the state of the instance that is furthest behind, and the log from there on.
func (w *keyWriter) replicated(behind *modelInstance, order []int) {
	for _, i := range order {
		x := behind.state.Sessions[uint64(i+1)]
		w.bits(x.Open)
		w.put(ordinal(&w.epochs, x.Epoch), ordinal(&w.incarnations, x.Incarnation))
	}
	w.pending(behind.state.Pending)
	w.put(int(behind.revision))
	for _, e := range w.m.log[behind.applied:] {
		c := e.command
		w.put(e.change, int(c.Kind), int(w.rank[c.Member]), ordinal(&w.incarnations, c.Incarnation))
		w.attempt(c.Attempt)
		// The sessions on which a decision rests are a set.
		var sessions [8]int
		for _, s := range c.Sessions {
			sessions[w.rank[s.Member]] = ordinal(&w.epochs, s.Epoch)
		}
		w.put(sessions[:len(order)]...)
	}
}
