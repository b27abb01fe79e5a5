package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// drainConfirmations returns what is to be sent to the owners of the view, for some ticks after it was set.
// It must be called after the requests of the tick: from then on no grant of earlier owners is taken.
func (f *Limiter) drainConfirmations(now time.Duration) map[placement.Session][]DrainConfirmation {
	if f.confirmationsRemaining == 0 || f.session.Epoch == 0 || f.table == nil {
		return nil
	}
	f.confirmationsRemaining--
	buckets := map[placement.Session][]BucketState{}
	for k, b := range f.buckets {
		b.expire(now)
		// Hazard: an owner that lost the account and regained it between two ticks of this front has the same
		// session, and does not know what it has lent before.
		owner, ok := f.table.Owner(placement.ShardOf(k.Account))
		if outstanding := b.previousTokens + b.tokens; ok && outstanding > 0 {
			buckets[owner.Session] = append(buckets[owner.Session],
				BucketState{Key: k, Outstanding: outstanding})
		}
	}
	out := map[placement.Session][]DrainConfirmation{}
	for _, m := range f.table.View.Members {
		out[m.Session] = splitConfirmation(f.table.View.Number, buckets[m.Session])
	}
	return out
}

// splitConfirmation makes the messages of one confirmation: at least one, also where there are no buckets.
func splitConfirmation(view uint64, buckets []BucketState) (messages []DrainConfirmation) {
	if len(buckets) == 0 {
		return []DrainConfirmation{{View: view}}
	}
	for chunk := range slices.Chunk(buckets, maxConfirmationBuckets) {
		messages = append(messages, DrainConfirmation{View: view, Total: len(buckets), Buckets: chunk})
	}
	return messages
}

// confirmation is what a front has confirmed, as far as its messages have arrived.
type confirmation struct {
	view      uint64
	total     int
	remaining map[Key]int // tokens of earlier owners
}

// revocation collects the fronts' drain confirmations at an authority.
type revocation struct {
	members  []placement.Member
	complete map[placement.Session]confirmation // the newest of each front of which all messages arrived
	partial  map[placement.Session]confirmation
	// unsafeUntil is until when a member that left the view, and may not have ended, may still act.
	unsafeUntil time.Duration
}

func newRevocation() revocation {
	return revocation{
		complete: map[placement.Session]confirmation{},
		partial:  map[placement.Session]confirmation{},
	}
}

// setView takes over a view.
//
// Hazard: a member that left the view without having surely ended may act until its lease ends, and need not
// confirm anything.
func (r *revocation) setView(t, previous *placement.Table, leaseEnds time.Duration, skipped bool) {
	sessions := map[placement.Session]bool{}
	for _, m := range t.View.Members {
		sessions[m.Session] = true
	}
	unsafe := skipped || previous == nil
	if previous != nil {
		for _, m := range previous.View.Members {
			unsafe = unsafe || !sessions[m.Session] && !slices.Contains(t.View.Expired, m.Session)
		}
	}
	if unsafe {
		r.unsafeUntil = max(r.unsafeUntil, leaseEnds)
	}
	r.members = t.View.Members
	forgetOthers(r.complete, sessions)
	forgetOthers(r.partial, sessions)
}

// forgetOthers deletes the confirmations of sessions that are not in the view, once there are many: one may
// arrive before the view does that its session is in.
func forgetOthers(confirmations map[placement.Session]confirmation, sessions map[placement.Session]bool) {
	if len(confirmations) <= 4*len(sessions)+16 {
		return
	}
	for session := range confirmations {
		if !sessions[session] {
			delete(confirmations, session)
		}
	}
}

// receive takes a message of a front's confirmation.
//
// Hazard: only a confirmation that is complete, in however many messages, names all that is outstanding.
func (r *revocation) receive(from placement.Session, m DrainConfirmation) {
	if m.View <= r.complete[from].view {
		return
	}
	c := r.partial[from]
	if c.remaining == nil || m.View > c.view || m.View == c.view && m.Total != c.total {
		c = confirmation{view: m.View, total: m.Total, remaining: map[Key]int{}}
	} else if m.View < c.view {
		return
	}
	for _, b := range m.Buckets {
		c.remaining[b.Key] = max(c.remaining[b.Key], b.Outstanding)
	}
	if len(c.remaining) >= c.total {
		delete(r.partial, from)
		r.complete[from] = c
		return
	}
	r.partial[from] = c
}

// confirmedView is the newest view that all fronts of the current view have confirmed, or a later one.
func (r *revocation) confirmedView() uint64 {
	oldest := ^uint64(0)
	for _, m := range r.members {
		oldest = min(oldest, r.complete[m.Session].view)
	}
	return oldest
}

// outstanding is what all fronts of the current view together have of earlier owners.
func (r *revocation) outstanding() map[Key]int {
	sum := map[Key]int{}
	for _, m := range r.members {
		for k, tokens := range r.complete[m.Session].remaining {
			sum[k] += tokens
		}
	}
	return sum
}

// ReceiveDrainConfirmation takes a message of a front's confirmation.
func (a *Authority) ReceiveDrainConfirmation(now time.Duration, from placement.Session, m DrainConfirmation) {
	a.revocation.receive(from, m)
	a.settleRevoked(now)
}

// settleRevoked begins to lend from the shards of which all outstanding tokens are known.
//
// Hazard: an earlier owner may lend until its lease ends, and a front that has not confirmed the view may
// take that. So all fronts must have confirmed the view by which the shard came here, or a later one; the
// earlier owner is among them, or has ended.
func (a *Authority) settleRevoked(now time.Duration) {
	if now < a.revocation.unsafeUntil || len(a.revocation.members) == 0 || a.session.Epoch == 0 {
		return
	}
	confirmed := a.revocation.confirmedView()
	settled := map[int]bool{}
	for shard := range a.shards {
		term := &a.shards[shard]
		if term.owned && !term.settled && term.sinceView <= confirmed && now < a.lendableFrom(shard) {
			term.settled, term.settledAt = true, now
			settled[shard] = true
		}
	}
	if len(settled) == 0 {
		return
	}
	for k, tokens := range a.revocation.outstanding() {
		if !settled[placement.ShardOf(k.Account)] {
			continue
		}
		if l := a.ledgerFor(now, k); l != nil {
			l.inherit(now, tokens, &a.policy)
			l.level = 0
			a.refill(now, l)
		}
	}
}
