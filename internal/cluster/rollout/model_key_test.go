package rollout

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

// Two states of the model are equivalent if the same events can follow. The key therefore abstracts from
// details: times are relative to now, and it does not matter how long ago something expired; the numbers of
// sessions and incarnations are replaced by their order, and instances have no names. The key omits data that
// has no effect any more, and data that follows from the rest: the states of the instances follow from the
// state of the instance that has applied the fewest entries and from the log after that.

var keySeed = maphash.MakeSeed()

// keyWriter encodes a state. Equivalent states have the same encoding.
type keyWriter struct {
	m            *model
	buf          []byte
	epochs       []uint64 // in the order of their first use; the same for incarnations
	incarnations []uint64
	rank         [8]byte // position of each instance in the order of the key, by member number
}

func (w *keyWriter) reset() {
	w.buf, w.epochs, w.incarnations = w.buf[:0], w.epochs[:0], w.incarnations[:0]
}

func (w *keyWriter) put(values ...int) {
	for _, x := range values {
		w.buf = append(w.buf, byte(x))
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

// ordinal returns the position of a number in the order of first use, from 1; 0 stays 0.
func ordinal(seen *[]uint64, v uint64) int {
	if v == 0 {
		return 0
	}
	k := slices.Index(*seen, v)
	if k < 0 {
		k = len(*seen)
		*seen = append(*seen, v)
	}
	return k + 1
}

// elapsed writes the time since at, limited to the given maximum.
func (w *keyWriter) elapsed(at, now, limit time.Duration) {
	w.put(int(max(min(now-at, limit), 0) / time.Second))
}

// remaining writes the time that remains until the given time.
func (w *keyWriter) remaining(until, now time.Duration) {
	w.put(int((max(until-now, 0) + time.Second - 1) / time.Second))
}

// attempt writes an attempt. Only whether it is the first and its distance to the pending attempt matter.
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
	w.buf = append(append(append(w.buf, r.StagedChange...), '/'), r.AdmissionClosedFor...)
	w.attempt(r.Attempt)
}

// instance writes the state of an instance, and what the leader knows about it.
func (w *keyWriter) instance(i int) {
	m, inst, now := w.m, &w.m.instances[i], w.m.instanceClock()
	h := &inst.holder
	w.put(len(m.log)-inst.applied, ordinal(&w.incarnations, h.incarnation))
	w.remaining(h.leaseRequestedAt+h.leaseDuration, now)
	w.bits(h.reported, h.reportDue, inst.report != nil, inst.grant != nil, inst.justStarted)
	if !h.reportDue {
		w.elapsed(h.reportedAt, now, modelPolicy.Lease/4)
	}
	if inst.report != nil {
		w.report(*inst.report)
		w.elapsed(inst.report.RequestedAt, now, modelPolicy.Lease)
	}
	if inst.grant != nil {
		w.put(ordinal(&w.epochs, inst.grant.Epoch))
		w.elapsed(inst.grant.RequestedAt, now, modelPolicy.Lease)
	}
	w.member(i)
}

// member writes what the leader knows about an instance.
func (w *keyWriter) member(i int) {
	m, l, p := w.m, w.m.leader, w.m.leaderState.Pending
	session, member := m.leaderState.Sessions[uint64(i+1)], l.members[uint64(i+1)]
	if member == nil {
		member = &memberState{}
	}
	// Only whether the latest report is from the holder of the open session matters.
	current := member.reported && session.Open && member.report.Epoch == session.Epoch
	requests := member.unhandled && member.report.Epoch == 0
	w.bits(session.Open, current, requests, session.Open && member.expiringEpoch == session.Epoch,
		member.epoch == session.Epoch,
		p != nil && member.reportedAt == m.now, p != nil && member.reportedAt >= l.pendingSince)
	if requests {
		w.put(ordinal(&w.incarnations, member.report.Incarnation))
	}
	if p != nil && current {
		w.bits(member.report.StagedChange == p.Change, member.report.AdmissionClosedFor == p.Change,
			member.report.Attempt == p.Attempt)
	}
	if session.Open {
		w.remaining(l.leaseExpiry(member, modelPolicy), m.now)
	}
	w.remaining(l.startedAt+ExpiryWait(modelPolicy.Lease), m.now)
}

// Key implements modelcheck.State: it returns a hash of the state that is equal for equivalent states.
func (m *model) Key() uint64 {
	w := &keyWriter{m: m, buf: make([]byte, 0, 256)}
	var signature [8]uint64
	order := make([]int, len(m.instances))
	furthestBehind := 0
	for i := range m.instances {
		w.reset()
		w.instance(i)
		signature[i], order[i] = maphash.Bytes(keySeed, w.buf), i
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
	return maphash.Bytes(keySeed, w.buf)
}

// replicated writes the state of the instance that has applied the fewest entries, and the entries after
// that.
func (w *keyWriter) replicated(behind *modelInstance, order []int) {
	for _, i := range order {
		session := behind.state.Sessions[uint64(i+1)]
		w.bits(session.Open)
		w.put(ordinal(&w.epochs, session.Epoch), ordinal(&w.incarnations, session.Incarnation))
	}
	w.pending(behind.state.Pending)
	w.put(int(behind.revision))
	for _, e := range w.m.log[behind.applied:] {
		c := e.command
		w.put(e.change, int(c.Kind), int(w.rank[c.Member]), ordinal(&w.incarnations, c.Incarnation))
		w.attempt(c.Attempt)
		// The order of the sessions that a decision is based on does not matter.
		var sessions [8]int
		for _, s := range c.Sessions {
			sessions[w.rank[s.Member]] = ordinal(&w.epochs, s.Epoch)
		}
		w.put(sessions[:len(order)]...)
	}
}
