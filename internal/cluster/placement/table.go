// Package placement says which instance of a group owns what: a function of what is agreed on, and of
// nothing else. Every instance that has applied the same log computes the same.
//
// A View is the set of instances that may own anything, under a number that grows with every change of
// the set. Keys fall into a fixed number of shards, and shards to instances by rendezvous hashing with
// bounded loads: nothing is stored for a key, a change of the set moves few shards, and none has more
// than its part and a little.
//
// Hazard: two instances may have different views for a while, and so two may take themselves for the
// owner of a shard. Placement says who is to act, and never that nobody else does: who acts looks at its
// lease (see Right), and whoever begins waits for as long as an earlier owner may still act.
package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is how many shards there are. It is part of what all instances must have alike.
const ShardCount = 4096

// slack is how much more than its even part an instance may own.
const slack = 0.08

// Session is an instance's session: its member number and the session's epoch.
type Session struct {
	Member uint64
	Epoch  uint64
}

// Member is an instance that may own something.
type Member struct {
	Session
	Name   string
	Weight float64 // its part beside the others'; 1, if not above 0
}

// View is who may own what.
type View struct {
	// Number grows with every change of the set. It is no count: numbers are left out.
	Number  uint64
	Members []Member // by member number
	// Expired are those that left the set with this view and have surely ended: their lease has run out, or
	// their process is no more. Who else left it may act until its lease ends.
	Expired []Session
}

// ViewNumber gives the number of a view: of a group whose newest session has that epoch, and so many open.
//
// Hazard: a number of its own would be one more thing to agree on, and to carry through snapshots. A new
// session has a new epoch, which only grows; without a new one sessions only end, and so fewer are open.
func ViewNumber(epoch uint64, open int) uint64 {
	return epoch<<16 | uint64(math.MaxUint16-min(open, math.MaxUint16))
}

// Table is a view's answer to who owns each shard.
type Table struct {
	View   View
	owners [ShardCount]int // in View.Members
}

// NewTable makes the table of a view.
func NewTable(v View) *Table {
	t := &Table{View: v}
	if len(v.Members) == 0 {
		return t
	}
	total := 0.0
	for i := range v.Members {
		total += v.Members[i].weight()
	}
	room := make([]int, len(v.Members))
	for i := range v.Members {
		room[i] = int(math.Ceil(ShardCount * v.Members[i].weight() / total * (1 + slack)))
	}
	for shard := range ShardCount {
		best, most := -1, 0.0
		for i := range v.Members {
			if room[i] == 0 {
				continue
			}
			if score := v.Members[i].score(uint64(shard)); best < 0 || score > most {
				best, most = i, score
			}
		}
		room[best]--
		t.owners[shard] = best
	}
	return t
}

func (m *Member) weight() float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

// score is the member's bid for a shard: weighted rendezvous hashing. It goes by the member and not by
// its session: an instance that starts anew owns what it did.
func (m *Member) score(shard uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], m.Member)
	binary.BigEndian.PutUint64(b[8:], shard)
	// 53 bits, above 0 and below 1.
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -m.weight() / math.Log(u)
}

// ShardOf is a key's shard.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// OwnedFractions is which part of the shards each member owns.
func (t *Table) OwnedFractions() map[uint64]float64 {
	shares := map[uint64]float64{}
	for s := range ShardCount {
		if m, ok := t.Owner(s); ok {
			shares[m.Member] += 1.0 / ShardCount
		}
	}
	return shares
}

// MovedFraction is which part of the shards has another owner in another table.
func (t *Table) MovedFraction(to *Table) (part float64) {
	for s := range ShardCount {
		a, _ := t.Owner(s)
		if b, _ := to.Owner(s); a.Member != b.Member {
			part += 1.0 / ShardCount
		}
	}
	return part
}

// Owner is whose a shard is; false: nobody may own anything.
func (t *Table) Owner(shard int) (Member, bool) {
	if t == nil || len(t.View.Members) == 0 {
		return Member{}, false
	}
	return t.View.Members[t.owners[shard]], true
}

// LeaseClock is until when an instance may act on what it owns in its view.
//
// Hazard: a lease counts only at an instance whose state is as new as the leader's was when it granted
// it. One that was cut off, whose shards have gone to another since, would otherwise act for as long as
// the log lags behind the lease. So, once an entry is applied by the leader, nobody acts by a view from
// before it for longer than a lease that was granted before it lasts.
type LeaseClock struct {
	epoch     uint64
	now, next lease
	index     uint64 // next counts from that entry of the log on; 0: there is none
}

// lease was asked for at a time, on the clock of who asked, and lasts for another.
type lease struct{ asked, span time.Duration }

// ObserveGrant takes a lease for a session, from a leader that had applied the log up to index.
func (r *LeaseClock) ObserveGrant(epoch uint64, asked, span time.Duration, index, applied uint64) {
	if index == 0 || span <= 0 {
		return
	}
	if r.epoch != epoch {
		*r = LeaseClock{epoch: epoch}
	}
	if asked >= r.next.asked {
		r.next, r.index = lease{asked, span}, index
	}
	r.ObserveApplied(applied)
}

// ObserveApplied says how far the instance's own state goes.
func (r *LeaseClock) ObserveApplied(applied uint64) {
	if r.index > 0 && applied >= r.index {
		r.now, r.index = r.next, 0
	}
}

// ExpiresAt is when the right of a session ends, under the lease that the configuration has now. Hazard: it
// may have come to name a shorter one since the grant.
func (r *LeaseClock) ExpiresAt(epoch uint64, most time.Duration) time.Duration {
	if epoch == 0 || r.epoch != epoch || r.now.span == 0 {
		return 0
	}
	return r.now.asked + min(r.now.span, most)
}
