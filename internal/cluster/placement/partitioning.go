package placement

import (
	"slices"
	"time"
)

// Partitioning is which part of something that all share an instance has: one of as many as there are
// instances. The parts of all never come to more than the whole, whoever joins, leaves or stands still.
//
// Hazard: instances learn of a view at different times. One that has learned that there are more takes
// less at once, but one that is new, or has learned that there are fewer, has nothing for as long as
// others may still have the larger parts of an earlier view, or a turn with the same number.
type Partitioning struct {
	me, n int
	view  uint64
	from  time.Duration // not before
}

// SetView takes over a view. Wait is how long others may act by an earlier one, by this instance's clock.
func (p *Partitioning) SetView(now time.Duration, v View, own Session, wait time.Duration) {
	if v.Number == p.view {
		return
	}
	p.view, p.n, p.from = v.Number, len(v.Members), now+wait
	p.me = slices.IndexFunc(v.Members, func(m Member) bool { return m.Session == own && own != Session{} })
}

// Partition is which of how many parts the instance has now, while its right lasts until a time; false: none.
func (p *Partitioning) Partition(now, until time.Duration) (me, n int, ok bool) {
	return p.me, p.n, p.n > 0 && p.me >= 0 && now >= p.from && now < until
}
