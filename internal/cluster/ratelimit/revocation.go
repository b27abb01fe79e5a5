package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// drainConfirmations returns the confirmations to send to the owners in the view, for some ticks after the
// view or the policy was set. It must be called after the tick's requests are built: from then on no grants
// of earlier owners are accepted.
func (l *Limiter) drainConfirmations(now time.Duration) map[placement.Session][]DrainConfirmation {
	if l.confirmationsRemaining == 0 || l.session.Epoch == 0 || l.table == nil {
		return nil
	}
	l.confirmationsRemaining--
	buckets := map[placement.Session][]BucketState{}
	for k, b := range l.buckets {
		b.expire(now)
		// Tokens of the current owner are confirmed, too: an owner that lost the account and regained it
		// between two ticks of this front has the same session, but no longer knows what it lent before.
		owner, ok := l.table.Owner(placement.ShardOf(k.Account))
		if outstanding := b.previousTokens + b.tokens; ok && outstanding > 0 {
			buckets[owner.Session] = append(buckets[owner.Session],
				BucketState{Key: k, Outstanding: outstanding})
		}
	}
	confirmations := map[placement.Session][]DrainConfirmation{}
	for _, m := range l.table.View.Members {
		confirmations[m.Session] = splitConfirmation(l.table.View.Number, buckets[m.Session])
	}
	return confirmations
}

// splitConfirmation splits a confirmation into messages. It returns at least one, even without any buckets.
func splitConfirmation(view uint64, buckets []BucketState) (messages []DrainConfirmation) {
	if len(buckets) == 0 {
		return []DrainConfirmation{{View: view}}
	}
	for chunk := range slices.Chunk(buckets, maxConfirmationBuckets) {
		messages = append(messages, DrainConfirmation{View: view, Total: len(buckets), Buckets: chunk})
	}
	return messages
}

// confirmation is the part of a front's drain confirmation that has arrived so far.
type confirmation struct {
	view      uint64
	total     int
	remaining map[Key]int // tokens of earlier owners
}

// revocation collects the fronts' drain confirmations at an authority.
type revocation struct {
	members  []placement.Member
	complete map[placement.Session]confirmation // each front's newest one that has arrived completely
	partial  map[placement.Session]confirmation
	// departedLeaseEnds is when the leases of all members that left the view, and may still be running, have
	// certainly expired.
	departedLeaseEnds time.Duration
}

func newRevocation() revocation {
	return revocation{
		complete: map[placement.Session]confirmation{},
		partial:  map[placement.Session]confirmation{},
	}
}

// setView sets the view. A member that left the view and is not known to have ended may act until its lease
// expires, and no confirmation is expected from it.
func (r *revocation) setView(t, previous *placement.Table, leaseEnds time.Duration, skipped bool) {
	sessions := map[placement.Session]bool{}
	for _, m := range t.View.Members {
		sessions[m.Session] = true
	}
	departedMayAct := skipped || previous == nil
	if previous != nil {
		for _, m := range previous.View.Members {
			departedMayAct = departedMayAct ||
				!sessions[m.Session] && !slices.Contains(t.View.Expired, m.Session)
		}
	}
	if departedMayAct {
		r.departedLeaseEnds = max(r.departedLeaseEnds, leaseEnds)
	}
	r.members = t.View.Members
	pruneConfirmations(r.complete, sessions)
	pruneConfirmations(r.partial, sessions)
}

// pruneConfirmations deletes the confirmations of sessions outside the view, but only once there are many: a
// confirmation may arrive before the view that contains its session.
func pruneConfirmations(confirmations map[placement.Session]confirmation,
	sessions map[placement.Session]bool) {
	if len(confirmations) <= 4*len(sessions)+16 {
		return
	}
	for session := range confirmations {
		if !sessions[session] {
			delete(confirmations, session)
		}
	}
}

// receive processes one message of a front's drain confirmation. A confirmation is used only when all of its
// messages have arrived, since only then does it list all outstanding tokens.
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

// confirmedView returns the newest view that every front in the current view has confirmed. A confirmation of
// a later view counts for earlier ones, too.
func (r *revocation) confirmedView() uint64 {
	oldest := ^uint64(0)
	for _, m := range r.members {
		oldest = min(oldest, r.complete[m.Session].view)
	}
	return oldest
}

// outstanding returns how many tokens of earlier owners the fronts in the current view hold together.
func (r *revocation) outstanding() map[Key]int {
	sum := map[Key]int{}
	for _, m := range r.members {
		for k, tokens := range r.complete[m.Session].remaining {
			sum[k] += tokens
		}
	}
	return sum
}

// ReceiveDrainConfirmation processes one message of a front's drain confirmation.
func (a *Authority) ReceiveDrainConfirmation(now time.Duration, from placement.Session, m DrainConfirmation) {
	a.revocation.receive(from, m)
	a.activateConfirmedShards(now)
}

// activateConfirmedShards starts lending from the shards whose outstanding tokens have all been confirmed.
//
// An earlier owner may lend until its lease expires, and a front that has not confirmed the view may accept
// those grants. So all fronts must have confirmed the view in which this instance acquired the shard, or a
// later one. The earlier owner is one of these fronts, or has ended.
func (a *Authority) activateConfirmedShards(now time.Duration) {
	if now < a.revocation.departedLeaseEnds || len(a.revocation.members) == 0 || a.session.Epoch == 0 {
		return
	}
	confirmed := a.revocation.confirmedView()
	activated := map[int]bool{}
	for shard := range a.shards {
		ownership := &a.shards[shard]
		if ownership.owned && !ownership.outstandingKnown && ownership.sinceView <= confirmed &&
			now < a.lendableFrom(shard) {
			ownership.outstandingKnown, ownership.fillingSince = true, now
			activated[shard] = true
		}
	}
	if len(activated) == 0 {
		return
	}
	for k, tokens := range a.revocation.outstanding() {
		if !activated[placement.ShardOf(k.Account)] {
			continue
		}
		if l := a.ledgerFor(now, k); l != nil {
			l.inherit(now, tokens, &a.policy)
			l.level = 0
			a.refill(now, l)
		}
	}
}
