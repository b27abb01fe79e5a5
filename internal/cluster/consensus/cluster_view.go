package consensus

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// ClusterView is how an instance stands where something is owned by placement.
type ClusterView struct {
	// Views are those that have come to hold since the last word, in order. An owner must see each: one
	// that it is left out of may have had another owner act.
	Views []placement.View
	// SnapshotInstalled: before them there were others, which this instance was not told (a snapshot).
	SnapshotInstalled bool
	Session           placement.Session // the session that this instance has; the zero Seat: none
	ExpiresAt         time.Duration     // when its right to act on what it owns ends, on its clock
	LeaseDuration     time.Duration     // how long any instance's lasts
}

// seats are an instance's part in what is owned by placement.
type seats struct {
	right placement.LeaseClock
	views []placement.View // to be told
	last  placement.View   // the newest
	gap   bool
	told  ClusterView
}

// seat notes the view that holds after an entry of the log.
//
// Hazard: two entries may be applied in one turn, and the view between the two is one that another instance
// may have acted by. So each is noted, and told.
func (i *Instance) seat() {
	v := i.state.PlacementView()
	ended := i.state.TakeExpiredSessions()
	p := &i.ses.seats
	if v.Number == p.last.Number {
		return
	}
	for _, m := range p.last.Members {
		if slices.Contains(ended, m.Session) {
			v.Expired = append(v.Expired, m.Session)
		}
	}
	p.last = v
	p.views = append(p.views, v)
}

// reseat notes that views may have been passed over.
func (i *Instance) reseat() {
	p := &i.ses.seats
	p.views, p.last, p.gap = nil, placement.View{}, true
	for _, p := range i.ses.parts {
		p.part.SnapshotInstalled()
	}
	i.state.UpdateOwners()
	i.seat()
}

// tellStanding tells how this instance stands, when that has changed.
func (i *Instance) tellStanding() {
	p := &i.ses.seats
	p.right.ObserveApplied(i.applied)
	now := ClusterView{Views: p.views, SnapshotInstalled: p.gap, LeaseDuration: i.policy().Lease}
	if epoch := i.ses.holder.Epoch(); epoch != 0 && !i.gone() {
		now.Session = placement.Session{Member: i.identity.Id, Epoch: epoch}
		now.ExpiresAt = p.right.ExpiresAt(epoch, now.LeaseDuration)
	}
	same := now.Session == p.told.Session && now.ExpiresAt == p.told.ExpiresAt &&
		now.LeaseDuration == p.told.LeaseDuration
	if len(now.Views) == 0 && same {
		return
	}
	p.views, p.gap, p.told = nil, false, now
	i.out.ClusterView = &now
}
