package rollout

import "time"

// Permit is whether an instance's fronts may admit jobs. It is a value that is handed to the fronts' loop.
type Permit struct {
	Revision     uint64 // of the configuration under which jobs may be admitted
	Open         bool
	ExpiresAt    time.Duration // on the instance's clock
	NoExpiry     bool          // ExpiresAt does not count: the instance keeps serving when it is cut off
	ClosedReason string        // why jobs are not admitted, if they are not; shown to operators
	// Change and Attempt are what admission is closed for: the fronts must confirm that they have closed it.
	Change  string
	Attempt int
}

// Permit returns whether this instance may admit jobs under a revision, as far as its state goes.
func (h *LeaseHolder) Permit(s *State, revision uint64, p Policy) Permit {
	permit := Permit{Revision: revision}
	_, ok := h.session(s)
	switch {
	case !ok && s.Sessions[h.member].ClosedReason != "":
		permit.ClosedReason = "this instance has no session: " + s.Sessions[h.member].ClosedReason
	case !ok:
		permit.ClosedReason = "this instance has not heard from its group since it started"
	case s.Pending != nil && s.Pending.Phase == ClosingAdmission:
		permit.ClosedReason = "a change of policy is taking hold"
		permit.Change, permit.Attempt = s.Pending.Change, s.Pending.Attempt
	default:
		permit.Open, permit.ExpiresAt = true, h.leaseExpiresAt(p)
		permit.NoExpiry = p.WhenIsolated == KeepServing ||
			s.Sessions[h.member].Unleased && h.unleased && h.leaseLong == 0
		permit.ClosedReason = "its lease has run out: the leader is not reached"
	}
	return permit
}

// Admits reports whether a job may be admitted at the time now by fronts that run a revision. Hazard: the
// clock must be read in the same turn that admits the job, for the process may have stalled since.
func (p Permit) Admits(now time.Duration, runningRevision uint64) bool {
	return p.Open && p.Revision == runningRevision && (p.NoExpiry || now < p.ExpiresAt)
}
