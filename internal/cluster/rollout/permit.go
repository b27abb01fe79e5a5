package rollout

import "time"

// Permit states whether an instance's fronts may admit jobs. It is passed to the fronts' loop by value.
type Permit struct {
	Revision     uint64 // of the configuration under which jobs may be admitted
	Open         bool
	ExpiresAt    time.Duration // on the instance's clock
	NoExpiry     bool          // ignore ExpiresAt: the instance continues to serve when it is isolated
	ClosedReason string        // why jobs are not admitted, if they are not; clients and operators see it
	// Change and Attempt identify the change for which admission is closed, if it is closed for one. The
	// fronts must confirm that they have closed admission.
	Change  string
	Attempt int
}

// Permit returns whether this instance may admit jobs under a revision, according to the replicated state
// that it has applied.
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
			s.Sessions[h.member].Unleased && h.unleased && h.leaseDuration == 0
		permit.ClosedReason = "its lease has run out: the leader is not reached"
	}
	return permit
}

// Admits reports whether fronts that run the revision runningRevision may admit a job now. The caller must
// read the clock in the same turn of the loop in which it admits the job: with an earlier reading, a process
// that stalls in between would admit the job after its lease has expired.
func (p Permit) Admits(now time.Duration, runningRevision uint64) bool {
	return p.Open && p.Revision == runningRevision && (p.NoExpiry || now < p.ExpiresAt)
}
