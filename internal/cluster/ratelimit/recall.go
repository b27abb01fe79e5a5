package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// Left is a front's word to an owner: by this view it takes nothing more from those before it, and this is
// what it has left of theirs. With the words of all that are in its view, an owner knows all that is out,
// and need not wait until what may be out has surely run out.
type Left struct {
	View  uint64
	Total int     // books, over all of the words that this is one of
	Books []Ceded // Out is what is left
}

const (
	saidLeft = 5    // how often it is said: a word may be lost, or come before the view that it is about
	mostLeft = 2000 // books in a word
)

// leaves gives what is to be said to owners, for some ticks after a view. It must be called after Tick: from
// there on nothing is taken from those before.
func (f *Front) leaves(now time.Duration) map[placement.Seat][]Left {
	if f.leaving == 0 || f.own.Epoch == 0 || f.table == nil {
		return nil
	}
	f.leaving--
	books := map[placement.Seat][]Ceded{}
	for k, w := range f.wallets {
		w.expire(now)
		// Hazard: an owner that lost the account and got it back between two ticks here is the same session,
		// and knows nothing of what it has lent before.
		if owner, ok := f.table.Owner(placement.ShardOf(k.Account)); ok && w.old+w.jobs > 0 {
			books[owner.Seat] = append(books[owner.Seat], Ceded{Key: k, Out: w.old + w.jobs})
		}
	}
	out := map[placement.Seat][]Left{}
	for _, m := range f.table.View.Members {
		all := books[m.Seat]
		word := Left{View: f.table.View.Number, Total: len(all)}
		for part := range slices.Chunk(all, mostLeft) {
			word.Books = part
			out[m.Seat] = append(out[m.Seat], word)
		}
		if len(all) == 0 {
			out[m.Seat] = []Left{word}
		}
	}
	return out
}

// testimony is what a front has said that it has left.
type testimony struct {
	view  uint64
	total int
	kept  map[Key]int
}

// recall is what an authority has heard of fronts that have left earlier owners.
type recall struct {
	members []placement.Member
	whole   map[placement.Seat]testimony // the newest that is complete
	coming  map[placement.Seat]testimony
	unsure  time.Duration // until when one that left the set, and may not have ended, may act
}

func newRecall() recall {
	return recall{whole: map[placement.Seat]testimony{}, coming: map[placement.Seat]testimony{}}
}

// view takes over who is there. Hazard: one that left the set without having surely ended may act until its
// lease ends, and need not say anything.
func (r *recall) view(t, was *placement.Table, lasts time.Duration, skipped bool) {
	in := map[placement.Seat]bool{}
	for _, m := range t.View.Members {
		in[m.Seat] = true
	}
	left := skipped || was == nil
	if was != nil {
		for _, m := range was.View.Members {
			left = left || !in[m.Seat] && !slices.Contains(t.View.Over, m.Seat)
		}
	}
	if left {
		r.unsure = max(r.unsure, lasts)
	}
	r.members = t.View.Members
	// Words may come before the view that they are about, of sessions that are not known yet.
	for _, m := range []map[placement.Seat]testimony{r.whole, r.coming} {
		if len(m) > 4*len(in)+16 {
			for seat := range m {
				if !in[seat] {
					delete(m, seat)
				}
			}
		}
	}
}

// hear takes a front's word. Hazard: only one that is complete, in however many parts, says what is out.
func (r *recall) hear(from placement.Seat, l Left) {
	if l.View <= r.whole[from].view {
		return
	}
	x := r.coming[from]
	if x.kept == nil || l.View > x.view || l.View == x.view && l.Total != x.total {
		x = testimony{view: l.View, total: l.Total, kept: map[Key]int{}}
	} else if l.View < x.view {
		return
	}
	for _, b := range l.Books {
		x.kept[b.Key] = max(x.kept[b.Key], b.Out)
	}
	if len(x.kept) >= x.total {
		delete(r.coming, from)
		r.whole[from] = x
		return
	}
	r.coming[from] = x
}

// least is the oldest view by which any front that is there has left those before.
func (r *recall) least() uint64 {
	least := ^uint64(0)
	for _, m := range r.members {
		least = min(least, r.whole[m.Seat].view)
	}
	return least
}

// Leave takes a front's word on what it has left.
func (a *Authority) Leave(now time.Duration, from placement.Seat, l Left) {
	a.recall.hear(from, l)
	a.recalled(now)
}

// recalled begins to lend from the shards of which it is known what is out.
//
// Hazard: an owner before this one may lend until its lease ends, and a front that has not said that it left
// it may take that. So all that are there must have said so, by the view by which the shard came here or a
// later one; the owner before is among them, or has ended.
func (a *Authority) recalled(now time.Duration) {
	if now < a.recall.unsure || len(a.recall.members) == 0 || a.own.Epoch == 0 {
		return
	}
	least := a.recall.least()
	free := map[int]bool{}
	for s := range a.shards {
		if h := &a.shards[s]; h.mine && !h.ceded && h.by <= least && now < a.freeAt(s) {
			h.ceded, h.since = true, now
			free[s] = true
		}
	}
	if len(free) == 0 {
		return
	}
	out := map[Key]int{}
	for _, m := range a.recall.members {
		for k, n := range a.recall.whole[m.Seat].kept {
			out[k] += n
		}
	}
	for k, n := range out {
		if !free[placement.ShardOf(k.Account)] {
			continue
		}
		if b := a.book(now, k); b != nil {
			b.before, b.until, b.level = n, now+rollout.Wait(a.policy.Term), 0
			a.refill(now, b)
		}
	}
}
