package rollout

import "time"

// Report is what an instance reports to the leader, and its request for a lease.
type Report struct {
	Member      uint64
	Incarnation uint64
	Epoch       uint64 // of the session that it has; 0: it requests one
	// RequestedAt is the instance's clock before it sent the report; it comes back with the grant.
	RequestedAt        time.Duration
	StagedChange       string   // the change that the instance has staged, or can't stage
	Problems           []string // why it can't
	AdmissionClosedFor string   // the change for which it has stopped admitting
	Attempt            int      // of AdmissionClosedFor
	RunningRevision    uint64   // the revision of the configuration that its fronts run
}

// Grant is the leader's response to a report.
type Grant struct {
	Epoch       uint64
	RequestedAt time.Duration
	Duration    time.Duration // of the lease, from RequestedAt on; 0: none is granted
}

// reportsPerLease is how often an instance reports, and so renews its lease, while a lease lasts.
const reportsPerLease = 4

// LeaseHolder is one instance's side: its session, its lease and what it has to report.
type LeaseHolder struct {
	member, incarnation  uint64
	epoch                uint64        // of the session; 0: none
	leaseFrom, leaseLong time.Duration // when the lease was requested, and its duration
	unleased             bool          // this incarnation served before there were sessions

	stagedChange       string
	problems           []string
	admissionClosedFor string
	attempt            int
	runningRevision    uint64

	reportedAt time.Duration
	reported   bool // at least once
	reportDue  bool // there is something new to report
}

// NewLeaseHolder returns the side of one incarnation of an instance. No other incarnation of the instance may
// have the same number.
func NewLeaseHolder(member, incarnation uint64) *LeaseHolder {
	return &LeaseHolder{member: member, incarnation: incarnation}
}

// SetStaged records that the instance is ready to switch to a change, or why it can't.
func (h *LeaseHolder) SetStaged(change string, problems []string) {
	h.stagedChange, h.problems, h.reportDue = change, problems, true
}

// SetAdmissionClosed records that the fronts have stopped admitting for an attempt at a change.
func (h *LeaseHolder) SetAdmissionClosed(change string, attempt int) {
	h.admissionClosedFor, h.attempt, h.reportDue = change, attempt, true
}

// SetRunningRevision records which revision the fronts run.
func (h *LeaseHolder) SetRunningRevision(revision uint64) { h.runningRevision = revision }

// Incarnation returns the number of this incarnation.
func (h *LeaseHolder) Incarnation() uint64 { return h.incarnation }

// StagedChange returns the change that the instance is ready for; empty if there is none.
func (h *LeaseHolder) StagedChange() string {
	if len(h.problems) > 0 {
		return ""
	}
	return h.stagedChange
}

// Epoch returns the epoch of this incarnation's session; 0 if it has none.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// leaseExpiresAt is when the lease expires. Hazard: the policy may have come to name a shorter lease since it
// was granted.
func (h *LeaseHolder) leaseExpiresAt(p Policy) time.Duration {
	return h.leaseFrom + min(h.leaseLong, p.Lease)
}

// LeaseRemaining returns how long the lease lasts from now on.
func (h *LeaseHolder) LeaseRemaining(now time.Duration, p Policy) time.Duration {
	return max(h.leaseExpiresAt(p)-now, 0)
}

// SetUnleased records that this incarnation serves in a group that has no sessions yet.
func (h *LeaseHolder) SetUnleased() { h.unleased = true }

// session returns this incarnation's session, if it is open in the replicated state.
func (h *LeaseHolder) session(s *State) (Session, bool) {
	x, ok := s.Sessions[h.member]
	return x, ok && x.Open && (x.Incarnation == h.incarnation || x.Unleased)
}

// ObserveState takes over the replicated state after entries have been applied.
func (h *LeaseHolder) ObserveState(s *State) {
	x, ok := h.session(s)
	switch {
	case !ok:
		h.epoch, h.leaseFrom, h.leaseLong = 0, 0, 0
	case x.Epoch != h.epoch:
		h.epoch, h.leaseFrom, h.leaseLong, h.reportDue = x.Epoch, 0, 0, true
	}
	// What concerns a change that is no longer pending is not reported again.
	if s.Pending == nil || s.Pending.Change != h.stagedChange {
		h.stagedChange, h.problems = "", nil
	}
	if s.Pending == nil || s.Pending.Change != h.admissionClosedFor || s.Pending.Attempt != h.attempt {
		h.admissionClosedFor, h.attempt = "", 0
	}
}

// NextReport returns the report that must be sent to the leader now; false if none is due.
func (h *LeaseHolder) NextReport(now time.Duration, p Policy) (Report, bool) {
	if h.reported && !h.reportDue && now-h.reportedAt < p.Lease/reportsPerLease {
		return Report{}, false
	}
	h.reported, h.reportDue, h.reportedAt = true, false, now
	return Report{Member: h.member, Incarnation: h.incarnation, Epoch: h.epoch, RequestedAt: now,
		StagedChange: h.stagedChange, Problems: h.problems, AdmissionClosedFor: h.admissionClosedFor,
		Attempt: h.attempt, RunningRevision: h.runningRevision}, true
}

// ReportNow makes the next report due at once, because there is a new leader.
func (h *LeaseHolder) ReportNow() { h.reportDue = true }

// ObserveGrant takes the leader's response. Hazard: the lease counts from before it was requested. If it
// counted from the response on, the leader might have taken it for expired long before.
func (h *LeaseHolder) ObserveGrant(g Grant) {
	if g.Duration > 0 && g.Epoch == h.epoch && g.RequestedAt >= h.leaseFrom {
		h.leaseFrom, h.leaseLong = g.RequestedAt, g.Duration
	}
}
