package placement

import (
	"slices"
	"time"
)

// Partitioning determines for an instance which partition of a shared budget is its own: one of as many equal
// partitions as the view has members. At any time the partitions in use by all instances add up to at most
// the whole budget, whichever instances join, leave or stall.
//
// Hazard: instances learn of a view at different times. An instance that learns that there are more members
// uses its smaller partition at once. One that is new, or learns that there are fewer members, has no
// partition for as long as others may still use the larger partitions of an earlier view, or a partition
// with the same index.
type Partitioning struct {
	index, count int
	viewNumber   uint64
	validFrom    time.Duration
}

// SetView takes over a view at the time now, on this instance's clock. The argument wait is the time for
// which others may still act by an earlier view, on the same clock.
func (p *Partitioning) SetView(now time.Duration, v View, own Session, wait time.Duration) {
	if v.Number == p.viewNumber {
		return
	}
	p.viewNumber, p.count, p.validFrom = v.Number, len(v.Members), now+wait
	p.index = slices.IndexFunc(v.Members, func(m Member) bool {
		return m.Session == own && own != Session{}
	})
}

// Partition returns the index of the instance's partition and the count of partitions, for an instance whose
// lease expires at leaseExpiresAt. It returns false while the instance has no partition.
func (p *Partitioning) Partition(now, leaseExpiresAt time.Duration) (index, count int, ok bool) {
	ok = p.count > 0 && p.index >= 0 && now >= p.validFrom && now < leaseExpiresAt
	return p.index, p.count, ok
}
