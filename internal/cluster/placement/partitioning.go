package placement

import (
	"slices"
	"time"
)

// Partitioning determines which partition of a shared budget an instance may use: one of as many equal
// partitions as the view has members. At any time the partitions in use by all instances add up to at most
// the whole budget, even while instances join, leave or stall.
//
// Instances learn of a view at different times. An instance that learns of a view stops using its partition
// of the earlier view at once. It has no partition for as long as others may still use the larger partitions
// of an earlier view, or a partition with the same index.
type Partitioning struct {
	index, count int
	viewNumber   uint64
	validFrom    time.Duration
}

// SetView replaces the view at the time now, on this instance's clock. The argument wait is how long others
// may still act on an earlier view, on the same clock.
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
