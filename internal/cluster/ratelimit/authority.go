package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// grant is one that the front has not acknowledged.
type grant struct {
	seq  uint64
	jobs int
}

// line is a front in a bucket.
type line struct {
	seat   placement.Seat
	report uint64
	out    int // the most that it can have
	grants []grant
	lent   time.Duration // when it was answered last
	want   int
	asked  time.Duration // on its clock
	fresh  bool          // it waits for an answer
	got    time.Duration // when it was last lent something
}

// book is a bucket at its authority.
type book struct {
	shard int
	limit Limit
	level float64
	at    time.Duration
	lines map[placement.Seat]*line
	// What an owner before this one has lent, and when that has surely run out.
	before int
	until  time.Duration
}

// tenure is how a shard stands with this instance.
type tenure struct {
	mine  bool
	right time.Duration // until when whoever had it before may lend yet, as far as is known
	// Of one of ours: the view by which it came, who had it before, and whether it is known how that one left
	// it; then, since when buckets that are not known here have filled up.
	by     uint64
	before placement.Seat
	ceded  bool
	since  time.Duration
}

// Authority lends slices of the buckets that are this instance's by placement.
//
// The invariant, at every moment: what is in the bucket, what is out, and all floors are at most the burst.
// What is used counts as out until the front has said so; so in every window the admissions of all
// fronts together are at most rate times its length and the burst, by this instance's clock.
type Authority struct {
	policy Policy
	own    placement.Seat
	lease  time.Duration // the longest that was told
	begun  time.Duration // of the policy
	shards []tenure      // by shard
	recall recall

	table    *placement.Table
	cessions []*Cession
	books    map[Key]*book
	seq      uint64
}

// NewAuthority owns nothing yet.
func NewAuthority() *Authority {
	return &Authority{books: map[Key]*book{}, recall: newRecall(), shards: make([]tenure, placement.Shards)}
}

// Configure takes over a policy. Hazard: what was lent under another one is void at every front that runs
// this, so nothing is out; what had been spent is spent.
func (a *Authority) Configure(now time.Duration, p Policy) {
	if p.Version == a.policy.Version {
		return
	}
	for k, b := range a.books {
		a.refill(now, b)
		l, ok := p.Of(k)
		if !ok {
			delete(a.books, k)
			continue
		}
		_, burst := p.lent(l)
		b.level, b.limit = min(b.level, burst), l
		clear(b.lines)
	}
	// Hazard: a bucket that is not known here had another limit, or none, and may have been used up a moment
	// ago. It fills from here on.
	a.begun, a.policy = now, p
}

// View takes over who is there. Every view must be told, in order; skipped says that some were not. Lease
// is the longest for which an earlier owner may still act by an older view.
//
// Hazard: an earlier owner may have lent all there is a moment before it lost the shard, and may go on to
// until its lease has surely run out. A shard that comes to us is lent from only when the last such slice has
// surely run out, whatever the clocks' paces are. Where it is known that the owner has ended, its lease need
// not be waited for.
func (a *Authority) View(now time.Duration, t *placement.Table, own placement.Seat, lease time.Duration,
	skipped bool) {
	same := own == a.own && !skipped
	// Hazard: the configuration may name a shorter lease now than when an earlier owner's was granted.
	if a.cessions = nil; !skipped {
		a.cede(now, t)
	}
	was := a.table
	a.own, a.table, a.lease = own, t, max(a.lease, lease)
	lasts := now + rollout.Wait(a.lease)
	a.recall.view(t, was, lasts, skipped)
	for s := range a.shards {
		h := &a.shards[s]
		m, ok := t.Owner(s)
		x, had := was.Owner(s)
		switch {
		case skipped || !had:
			h.right = lasts
		case x.Seat == m.Seat && ok:
		case slices.Contains(t.View.Over, x.Seat):
			h.right = max(h.right, now)
		default:
			h.right = max(h.right, lasts)
		}
		mine := ok && own.Epoch != 0 && m.Seat == own
		if mine && !(same && h.mine) {
			h.ceded, h.by, h.before = false, t.View.Number, placement.Seat{}
			// Hazard: where views were passed over, the owner in the last one seen was not the last one.
			if had && !skipped {
				h.before = x.Seat
			}
		}
		h.mine = mine
	}
	for k := range a.books {
		if !a.shards[placement.ShardOf(k.Account)].mine || !same {
			delete(a.books, k)
		}
	}
	a.recalled(now)
}

// free is from when on an account may be lent from: once the last slice of an earlier owner, which it may
// have lent up to the end of its last lease, has surely run out.
func (a *Authority) free(account string) time.Duration { return a.freeAt(placement.ShardOf(account)) }

func (a *Authority) freeAt(shard int) time.Duration {
	h := &a.shards[shard]
	if h.ceded {
		return max(h.since, a.begun)
	}
	return max(h.right+rollout.Wait(a.policy.Term), a.begun)
}

// book finds a bucket, or makes it.
//
// Hazard: one that is not known here may have been used up by an earlier owner's fronts. It has what has come
// in since the shard is ours to lend from, as if it had been empty then.
func (a *Authority) book(now time.Duration, k Key) *book {
	if b := a.books[k]; b != nil {
		return b
	}
	l, ok := a.policy.Of(k)
	if !ok {
		return nil
	}
	rate, burst := a.policy.lent(l)
	shard := placement.ShardOf(k.Account)
	since := max(now-a.freeAt(shard), 0)
	b := &book{shard: shard, limit: l, at: now, lines: map[placement.Seat]*line{},
		level: min(burst, rate*since.Seconds())}
	a.books[k] = b
	return b
}

// refill has the bucket fill up to where all that is out could come back to it.
func (a *Authority) refill(now time.Duration, b *book) {
	rate, burst := a.policy.lent(b.limit)
	if now > b.until {
		b.before = 0
	}
	out := b.before
	for seat, l := range b.lines {
		// Hazards: a front that is silent may use what it has until that has surely run out; and it may have
		// used it, so that what runs out does not come back to the bucket, which fills at its rate.
		if l.out > 0 && now-l.lent > rollout.Wait(a.policy.Term) {
			l.out, l.grants = 0, nil
		}
		if l.out == 0 && !l.fresh && now-l.lent > rollout.Wait(a.policy.Term) {
			delete(b.lines, seat)
		}
		out += l.out
	}
	// Hazard: until the shard is ours to lend from, what comes in may be lent by the owner before.
	since := max(b.at, a.freeAt(b.shard))
	b.level = min(b.level+rate*max(now-since, 0).Seconds(), burst-float64(out))
	b.at = now
}

// Hear takes a front's word on a bucket of ours.
func (a *Authority) Hear(now time.Duration, from placement.Seat, ask Ask) {
	if !a.shards[placement.ShardOf(ask.Account)].mine {
		return
	}
	b := a.book(now, ask.Key)
	if b == nil {
		return
	}
	// Hazard: up to now what was out could all be used at once, and so the bucket held no more than the rest.
	// It also drops lines that are silent: one that is found before would be lost with this word.
	a.refill(now, b)
	l := b.lines[from]
	if l == nil {
		l = &line{seat: from, lent: now}
		b.lines[from] = l
	}
	if ask.Report <= l.report {
		return // an older word, or the same again
	}
	l.report = ask.Report
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return g.seq <= ask.Acked })
	// Hazard: what is on its way to the front can be used by it, though it knows nothing of it yet.
	out := ask.Kept
	for _, g := range l.grants {
		out += g.jobs
	}
	// What the front gave back is in the bucket again; the rest of what is out no more was used.
	//
	// Hazard: an old word may come when what it is about has run out here, and with it a later one that
	// gives it back. What is not known to be out must come out of the bucket, or it would come back to it.
	less := l.out - out
	if less >= ask.Back {
		b.level += float64(ask.Back)
	} else if less < 0 {
		_, burst := a.policy.lent(b.limit)
		b.level = max(b.level+float64(less), min(b.level, -burst))
	}
	l.out = out
	a.refill(now, b)
	l.want, l.asked, l.fresh = ask.Want, ask.Asked, true
}

// Tick answers the fronts that have asked since the last one. It must be called in the turn in which the
// instance has looked at its right, and only while that lasts.
func (a *Authority) Tick(now time.Duration) map[placement.Seat][]Grant {
	out := map[placement.Seat][]Grant{}
	a.recalled(now)
	for k, b := range a.books {
		a.refill(now, b)
		lines := make([]*line, 0, len(b.lines))
		for _, l := range b.lines {
			if l.fresh {
				lines = append(lines, l)
			}
		}
		if len(lines) == 0 {
			if _, burst := a.policy.lent(b.limit); len(b.lines) == 0 && b.level >= burst && b.before == 0 &&
				now-a.free(k.Account) > time.Duration(burst/max(b.limit.Rate*(1-b.limit.Floor),
					1e-12)*1e9) {
				delete(a.books, k) // made anew, it would be full
			}
			continue
		}
		if now >= a.free(k.Account) {
			share(int(b.level), lines)
		} else {
			for _, l := range lines {
				l.want = 0
			}
		}
		for _, l := range lines {
			l.fresh = false
			if l.want > 0 {
				b.level -= float64(l.want)
				l.got = now
			} else if l.out == 0 {
				continue // there is nothing to renew
			}
			a.seq++
			l.out += l.want
			l.grants = append(l.grants, grant{a.seq, l.want})
			l.lent = now
			out[l.seat] = append(out[l.seat], Grant{k, l.report, a.seq, l.want, l.asked, a.table.View.Number})
		}
	}
	return out
}

// share cuts what is there to what is wanted, by max-min: who has least gets first, and nobody gets more
// while another that wants it has less. What is left of parts goes to who has waited longest.
func share(there int, lines []*line) {
	wanted := 0
	for _, l := range lines {
		wanted += l.want
	}
	if wanted <= there {
		return
	}
	gives := func(level int) (sum int) {
		for _, l := range lines {
			sum += min(max(level-l.out, 0), l.want)
		}
		return sum
	}
	low, high := 0, 1 // all can have low, and not high
	for gives(high) <= there {
		low, high = high, 2*high
	}
	for high-low > 1 {
		if mid := (low + high) / 2; gives(mid) <= there {
			low = mid
		} else {
			high = mid
		}
	}
	slices.SortFunc(lines, func(x, y *line) int {
		return cmp.Or(cmp.Compare(x.got, y.got), cmp.Compare(x.seat.Member, y.seat.Member))
	})
	rest := there - gives(low)
	for _, l := range lines {
		most := l.want
		l.want = min(max(low-l.out, 0), most)
		if rest > 0 && l.want < most && l.out+l.want <= low {
			l.want++
			rest--
		}
	}
}
