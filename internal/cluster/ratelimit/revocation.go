package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// DrainConfirmation is a front's word to an owner: by this view it takes nothing more from those before it,
// and this is what it has left of theirs. With the words of all that are in its view, an owner knows all
// that is out, and need not wait until what may be out has surely run out.
type DrainConfirmation struct {
	View    uint64
	Total   int           // books, over all of the words that this is one of
	Buckets []BucketState // Out is what is left
}

const (
	// how often it is said: a word may be lost, or come before the view that it is about
	confirmationSends      = 5
	maxConfirmationBuckets = 2000 // books in a word
)

// drainConfirmations gives what is to be said to owners, for some ticks after a view. It must be called
// after Tick: from there on nothing is taken from those before.
func (f *Limiter) drainConfirmations(now time.Duration) map[placement.Session][]DrainConfirmation {
	if f.confirmationsLeft == 0 || f.session.Epoch == 0 || f.table == nil {
		return nil
	}
	f.confirmationsLeft--
	books := map[placement.Session][]BucketState{}
	for k, w := range f.buckets {
		w.expire(now)
		// Hazard: an owner that lost the account and got it back between two ticks here is the same session,
		// and knows nothing of what it has lent before.
		if owner, ok := f.table.Owner(placement.ShardOf(k.Account)); ok && w.previousTokens+w.tokens > 0 {
			books[owner.Session] = append(
				books[owner.Session],
				BucketState{Key: k, Outstanding: w.previousTokens + w.tokens},
			)
		}
	}
	out := map[placement.Session][]DrainConfirmation{}
	for _, m := range f.table.View.Members {
		all := books[m.Session]
		word := DrainConfirmation{View: f.table.View.Number, Total: len(all)}
		for part := range slices.Chunk(all, maxConfirmationBuckets) {
			word.Buckets = part
			out[m.Session] = append(out[m.Session], word)
		}
		if len(all) == 0 {
			out[m.Session] = []DrainConfirmation{word}
		}
	}
	return out
}

// confirmation is what a front has said that it has left.
type confirmation struct {
	view      uint64
	total     int
	remaining map[Key]int
}

// revocation is what an authority has heard of fronts that have left earlier owners.
type revocation struct {
	members     []placement.Member
	complete    map[placement.Session]confirmation // the newest that is complete
	partial     map[placement.Session]confirmation
	unsafeUntil time.Duration // until when one that left the set, and may not have ended, may act
}

func newRevocation() revocation {
	return revocation{
		complete: map[placement.Session]confirmation{},
		partial:  map[placement.Session]confirmation{},
	}
}

// setView takes over who is there. Hazard: one that left the set without having surely ended may act until
// its lease ends, and need not say anything.
func (r *revocation) setView(t, was *placement.Table, lasts time.Duration, skipped bool) {
	in := map[placement.Session]bool{}
	for _, m := range t.View.Members {
		in[m.Session] = true
	}
	left := skipped || was == nil
	if was != nil {
		for _, m := range was.View.Members {
			left = left || !in[m.Session] && !slices.Contains(t.View.Expired, m.Session)
		}
	}
	if left {
		r.unsafeUntil = max(r.unsafeUntil, lasts)
	}
	r.members = t.View.Members
	// Words may come before the view that they are about, of sessions that are not known yet.
	for _, m := range []map[placement.Session]confirmation{r.complete, r.partial} {
		if len(m) > 4*len(in)+16 {
			for seat := range m {
				if !in[seat] {
					delete(m, seat)
				}
			}
		}
	}
}

// receive takes a front's word. Hazard: only one that is complete, in however many parts, says what is out.
func (r *revocation) receive(from placement.Session, l DrainConfirmation) {
	if l.View <= r.complete[from].view {
		return
	}
	x := r.partial[from]
	if x.remaining == nil || l.View > x.view || l.View == x.view && l.Total != x.total {
		x = confirmation{view: l.View, total: l.Total, remaining: map[Key]int{}}
	} else if l.View < x.view {
		return
	}
	for _, b := range l.Buckets {
		x.remaining[b.Key] = max(x.remaining[b.Key], b.Outstanding)
	}
	if len(x.remaining) >= x.total {
		delete(r.partial, from)
		r.complete[from] = x
		return
	}
	r.partial[from] = x
}

// oldestConfirmedView is the oldest view by which any front that is there has left those before.
func (r *revocation) oldestConfirmedView() uint64 {
	least := ^uint64(0)
	for _, m := range r.members {
		least = min(least, r.complete[m.Session].view)
	}
	return least
}

// ReceiveDrainConfirmation takes a front's word on what it has left.
func (a *Authority) ReceiveDrainConfirmation(now time.Duration, from placement.Session, l DrainConfirmation) {
	a.revocation.receive(from, l)
	a.settleRevoked(now)
}

// settleRevoked begins to lend from the shards of which it is known what is out.
//
// Hazard: an owner before this one may lend until its lease ends, and a front that has not said that it left
// it may take that. So all that are there must have said so, by the view by which the shard came here or a
// later one; the owner before is among them, or has ended.
func (a *Authority) settleRevoked(now time.Duration) {
	if now < a.revocation.unsafeUntil || len(a.revocation.members) == 0 || a.session.Epoch == 0 {
		return
	}
	least := a.revocation.oldestConfirmedView()
	free := map[int]bool{}
	for s := range a.shards {
		if h := &a.shards[s]; h.owned && !h.settled && h.sinceView <= least && now < a.shardLendableFrom(s) {
			h.settled, h.settledAt = true, now
			free[s] = true
		}
	}
	if len(free) == 0 {
		return
	}
	out := map[Key]int{}
	for _, m := range a.revocation.members {
		for k, n := range a.revocation.complete[m.Session].remaining {
			out[k] += n
		}
	}
	for k, n := range out {
		if !free[placement.ShardOf(k.Account)] {
			continue
		}
		if b := a.ledgerFor(now, k); b != nil {
			b.inherited, b.inheritedUntil, b.level = n, now+rollout.ExpiryWait(a.policy.GrantDuration), 0
			a.refill(now, b)
		}
	}
}
