package consensus

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
)

// Standing is how an instance stands where something is owned by placement.
type Standing struct {
	// Views are those that have come to hold since the last word, in order. An owner must see each: one
	// that it is left out of may have had another owner act.
	Views []placement.View
	// Skipped: before them there were others, which this instance was not told (a snapshot).
	Skipped bool
	Own     placement.Seat // the session that this instance has; the zero Seat: none
	Until   time.Duration  // when its right to act on what it owns ends, on its clock
	Lease   time.Duration  // how long any instance's lasts
}

// seats are an instance's part in what is owned by placement.
type seats struct {
	right placement.Right
	views []placement.View // to be told
	last  placement.View   // the newest
	gap   bool
	told  Standing
}

// seat notes the view that holds after an entry of the log.
//
// Hazard: two entries may be applied in one turn, and the view between the two is one that another instance
// may have acted by. So each is noted, and told.
func (i *Instance) seat() {
	v := i.state.View()
	ended := i.state.Ended()
	p := &i.ses.seats
	if v.Number == p.last.Number {
		return
	}
	for _, m := range p.last.Members {
		if slices.Contains(ended, m.Seat) {
			v.Over = append(v.Over, m.Seat)
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
		p.part.Skipped()
	}
	i.state.Settled()
	i.seat()
}

// tellStanding tells how this instance stands, when that has changed.
func (i *Instance) tellStanding() {
	p := &i.ses.seats
	p.right.Applied(i.applied)
	now := Standing{Views: p.views, Skipped: p.gap, Lease: i.policy().Lease}
	if epoch := i.ses.holder.Epoch(); epoch != 0 && !i.gone() {
		now.Own = placement.Seat{Member: i.identity.Id, Epoch: epoch}
		now.Until = p.right.Until(epoch, now.Lease)
	}
	same := now.Own == p.told.Own && now.Until == p.told.Until && now.Lease == p.told.Lease
	if len(now.Views) == 0 && same {
		return
	}
	p.views, p.gap, p.told = nil, false, now
	i.out.Standing = &now
}
