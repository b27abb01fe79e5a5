package ratelimit

import (
	"maps"
	"math"
	"time"

	"moorstack/internal/cluster/placement"
)

// Ask is a front's word to the authority of a bucket.
type Ask struct {
	Key
	Report uint64        // grows with every word of this front
	Acked  uint64        // the newest grant that has come
	Kept   int           // what is left of all that has come
	Back   int           // what is given back with this word
	Want   int           // more
	Asked  time.Duration // the front's clock, before it asked; comes back with the grant
}

// Grant is the authority's answer: so many jobs more, and all that was kept lasts from Asked on anew.
type Grant struct {
	Key
	Report uint64
	Seq    uint64
	Jobs   int
	Asked  time.Duration
	View   uint64 // by which it was lent; 0: by an older program, which does not say
}

// wallet is what a front has of one bucket.
type wallet struct {
	limit  Limit
	from   placement.Seat // the authority that what follows is from
	jobs   int
	ends   time.Duration
	acked  uint64
	since  uint64 // answers to this word, and to any before, are about what was here before
	old    int    // of an authority before that one
	oldEnd time.Duration

	floor   float64
	floorAt time.Duration

	calls, refused int     // since the last word
	demand         float64 // calls a tick, lately
	spoken         bool    // the last word said that something is kept or wanted
}

// Front is one front's side: what it may admit at once, and what it asks for.
type Front struct {
	policy  Policy
	own     placement.Seat
	table   *placement.Table
	wallets map[Key]*wallet
	reports uint64
	floors  time.Duration // since when this front has floors
	has     bool          // it has
	leaving int           // for so many ticks it says what it has of owners before
}

// NewFront is for one life of a front. Nothing is limited until it has a policy.
//
// Hazard: an earlier life may have spent its floors just now. So those of a new one begin empty.
func NewFront(now time.Duration) *Front {
	return &Front{wallets: map[Key]*wallet{}, floors: now}
}

// Configure takes over a policy, in the turn in which the front begins to run it. Hazard: what was lent
// under another one must not be used under this, where the same bucket may be smaller.
func (f *Front) Configure(now time.Duration, p Policy) {
	if p.Version == f.policy.Version {
		return
	}
	f.policy, f.leaving = p, saidLeft
	clear(f.wallets)
	f.floors = now
	f.viewed(now)
}

// View takes over who is there, and which session is this front's.
//
// Hazard: with its session a front loses what it was lent. It was not asked what it has while it had none,
// and an owner that has come since counts on its having nothing.
func (f *Front) View(now time.Duration, t *placement.Table, own placement.Seat) {
	if own != f.own {
		for _, w := range f.wallets {
			w.jobs, w.old = 0, 0
			w.leave(f.reports)
		}
	}
	f.table, f.own, f.leaving = t, own, saidLeft
	f.viewed(now)
}

// viewed begins and ends floors: they add up only while there are no more fronts than parts.
func (f *Front) viewed(now time.Duration) {
	has := f.table != nil && len(f.table.View.Members) <= f.policy.Parts
	if has && !f.has {
		f.floors = now
		for _, w := range f.wallets {
			w.floor, w.floorAt = 0, now
		}
	}
	f.has = has
}

// leave keeps what is left as an earlier authority's, which answered the words up to one.
func (w *wallet) leave(word uint64) {
	if w.jobs > 0 {
		w.old, w.oldEnd = w.jobs, w.ends // what was there before is given up: it ends sooner
	}
	w.jobs, w.acked, w.from, w.since = 0, 0, placement.Seat{}, word
}

// Limited says whether anything is.
func (f *Front) Limited() bool { return f.policy.Version != 0 }

// Policy is the one that is run.
func (f *Front) Policy() *Policy { return &f.policy }

// wallet finds the wallet of a key, or makes it; nil: the key has no limit.
func (f *Front) wallet(now time.Duration, k Key) *wallet {
	if w := f.wallets[k]; w != nil {
		return w
	}
	l, ok := f.policy.Of(k)
	if !ok {
		return nil
	}
	w := &wallet{limit: l, since: f.reports}
	// One that was not there has had nothing spent since the floors began.
	w.floor = min(f.policy.floorBurst(l), f.policy.floorRate(l)*(now-f.floors).Seconds())
	w.floorAt = now
	f.wallets[k] = w
	return w
}

// Refusal is why a job is not admitted, and when to come back.
type Refusal struct {
	Key   Key
	After time.Duration
}

// Take admits a job of an account and class, or refuses it. It must be called in the turn that admits, with
// the clock as it is then: the process may have stood still since anything else was looked at.
func (f *Front) Take(now time.Duration, account, class string) (Refusal, bool) {
	if f.policy.Version == 0 {
		return Refusal{}, true
	}
	a := f.wallet(now, Key{Account: account})
	var c *wallet
	if len(f.policy.Classes) > 0 {
		c = f.wallet(now, Key{account, class})
	}
	for i, w := range [...]*wallet{a, c} {
		if w == nil {
			continue
		}
		if w.calls++; !f.holds(now, w) {
			w.refused++
			k := Key{Account: account}
			if i == 1 {
				k.Class = class
			}
			return Refusal{k, f.after(w)}, false
		}
	}
	for _, w := range [...]*wallet{a, c} {
		if w != nil {
			w.spend()
		}
	}
	return Refusal{}, true
}

// holds says whether a wallet has one job left.
func (f *Front) holds(now time.Duration, w *wallet) bool {
	if f.has && w.limit.Floor > 0 {
		more := f.policy.floorRate(w.limit) * (now - w.floorAt).Seconds()
		w.floor = min(f.policy.floorBurst(w.limit), w.floor+more)
		w.floorAt = now
	} else {
		w.floor = 0
	}
	w.expire(now)
	return w.floor >= 1 || w.old > 0 || w.jobs > 0
}

// expire drops what has ended. Hazard: what has ended here may have been lent to another.
func (w *wallet) expire(now time.Duration) {
	if now >= w.ends {
		w.jobs = 0
	}
	if now >= w.oldEnd {
		w.old = 0
	}
}

// spend takes one job, first from what can't be given to others.
func (w *wallet) spend() {
	switch {
	case w.floor >= 1:
		w.floor--
	case w.old > 0:
		w.old--
	default:
		w.jobs--
	}
}

// after is when a job is likely to be admitted: the next words are said within a tick and heard of after
// another, and what an account has comes at its rate.
func (f *Front) after(w *wallet) time.Duration {
	one := time.Duration(float64(time.Second) / w.limit.Rate)
	return min(max(2*f.policy.Tick, one), time.Minute)
}

// ahead is for how many ticks of demand a front asks: until the word after the next one is answered.
const ahead = 3

// Tick gives the words that are to be said now, by the session of the authority: what is asked for, and
// after a view what was left of those before.
func (f *Front) Tick(now time.Duration) (map[placement.Seat][]Ask, map[placement.Seat][]Left) {
	out := map[placement.Seat][]Ask{}
	f.reports++
	for k, w := range f.wallets {
		f.holds(now, w)
		w.demand += (float64(w.calls) - w.demand) / 2
		calls := w.calls
		w.calls, w.refused = 0, 0
		owner, ok := f.table.Owner(placement.ShardOf(k.Account))
		if !ok || f.own.Epoch == 0 {
			continue
		}
		if w.from != owner.Seat {
			w.leave(f.reports - 1)
			w.from = owner.Seat
		}
		need := 0
		if calls > 0 || w.demand > 0.1 {
			need = int(math.Ceil(max(w.demand, float64(calls)) * ahead))
		}
		a := Ask{Key: k, Report: f.reports, Acked: w.acked, Asked: now}
		if a.Back = max(0, w.jobs-2*need); a.Back > 0 {
			w.jobs -= a.Back
		}
		a.Kept, a.Want = w.jobs, max(0, need-w.jobs)
		if a.Kept == 0 && a.Want == 0 && a.Back == 0 && !w.spoken {
			if w.old == 0 && (w.limit.Floor == 0 || w.floor >= f.policy.floorBurst(w.limit)) {
				delete(f.wallets, k) // it is as one that was never there
			}
			continue
		}
		w.spoken = a.Kept > 0 || a.Want > 0
		out[owner.Seat] = append(out[owner.Seat], a)
	}
	return out, f.leaves(now)
}

// Granted takes an authority's answer.
//
// Hazard: it may come late, twice, or after a newer one. What it grants lasts from the moment before it was
// asked for: from the answer on, the authority may have counted it as over long ago. A wallet that was
// given up as empty and made anew takes no answer to the one before, which has had and used it, perhaps. And
// one that has lost the account and got it back meanwhile does not know any more what it lent by an earlier
// view, while this front may have said already what it has.
func (f *Front) Granted(now time.Duration, from placement.Seat, g Grant) {
	w := f.wallets[g.Key]
	if g.View != 0 && f.table != nil && g.View < f.table.View.Number {
		return
	}
	if w == nil || w.from != from || g.Seq <= w.acked || g.Report <= w.since || g.Report > f.reports {
		return
	}
	w.acked = g.Seq
	w.expire(now)
	if ends := g.Asked + f.policy.Term; now < ends && ends >= w.ends {
		w.jobs += g.Jobs
		w.ends = ends
	}
}

// Left is what a front has of its buckets, for people.
func (f *Front) Left(now time.Duration) map[Key]int {
	out := map[Key]int{}
	for k, w := range maps.All(f.wallets) {
		f.holds(now, w)
		out[k] = w.jobs + w.old + int(w.floor)
	}
	return out
}
