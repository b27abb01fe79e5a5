package leasedtask

import (
	"time"
)

// Lease is a duty as its holder has it.
type Lease struct {
	Task          string
	FencingToken  uint64
	ExpiresAt     time.Duration // on the holder's clock
	ReleaseReason string        // why it is to end its step and give it back; empty: it goes on
	Note          []byte
	NoteRevision  uint64 // of the note
}

// Valid says whether the holder may act at this moment. Hazard: the clock must be read in the turn that
// acts, for the process may have stood still since. What leaves the process must carry the number
// besides: it may stand still after the look, too.
func (h Lease) Valid(now time.Duration) bool { return h.FencingToken > 0 && now < h.ExpiresAt }

// LeaseClock is an instance's own side: when its lease ends, as far as duties go.
//
// Hazard: a lease counts for duties only at an instance whose state is as new as the leader's was
// when it granted it. One that was cut off, whose duty has been given to another since, would
// otherwise act for as long as the log lags behind the lease.
type LeaseClock struct {
	epoch     uint64
	now, next lease
	index     uint64 // next counts from that entry of the log on
}

// lease was asked for at a time, and lasts for another.
type lease struct{ asked, span time.Duration }

// ObserveGrant takes a lease, granted by a leader that had applied the log up to index; 0: not for duties.
func (h *LeaseClock) ObserveGrant(epoch uint64, asked, span time.Duration, index, applied uint64) {
	if index == 0 || span <= 0 {
		return
	}
	if h.epoch != epoch {
		*h = LeaseClock{epoch: epoch}
	}
	if asked >= h.next.asked {
		h.next, h.index = lease{asked, span}, index
	}
	h.ObserveApplied(applied)
}

// ObserveApplied says how far the instance's own state goes.
func (h *LeaseClock) ObserveApplied(applied uint64) {
	if h.index > 0 && applied >= h.index {
		h.now, h.index = h.next, 0
	}
}

// HeldLeases gives the duties that a session holds in the agreed state, under the lease that the
// configuration has now. Hazard: it may have come to name a shorter one since the grant.
func (h *LeaseClock) HeldLeases(s *State, own Session, most time.Duration) []Lease {
	var list []Lease
	for _, d := range s.List() {
		if own.Epoch == 0 || d.Holder != own {
			continue
		}
		until := h.now.asked + min(h.now.span, most)
		if h.epoch != own.Epoch || h.now.span == 0 {
			until = 0
		}
		list = append(
			list,
			Lease{
				Task:          d.Name,
				FencingToken:  d.FencingToken,
				ExpiresAt:     until,
				ReleaseReason: d.ReleaseReason,
				Note:          d.Note,
				NoteRevision:  d.NoteRevision,
			},
		)
	}
	return list
}
