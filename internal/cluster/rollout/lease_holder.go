package rollout

import "time"

// Report is a report of an instance to the leader, which also requests a lease.
type Report struct {
	Member      uint64
	Incarnation uint64
	Epoch       uint64 // of the instance's session; 0: it requests a session
	// RequestedAt is the time on the instance's clock before it sent the report. The grant returns it.
	RequestedAt        time.Duration
	StagedChange       string   // the change that the instance has staged or failed to stage
	Problems           []string // why staging failed; empty if it succeeded
	AdmissionClosedFor string   // the change for which it has stopped admitting
	Attempt            int      // of AdmissionClosedFor
	RunningRevision    uint64   // the revision of the configuration that its fronts run
}

// Grant is the leader's response to a report.
type Grant struct {
	Epoch       uint64
	RequestedAt time.Duration
	Duration    time.Duration // of the lease, which starts at RequestedAt; 0: no lease is granted
}

// reportsPerLease is the number of reports, each of which renews the lease, per duration of a lease.
const reportsPerLease = 4

// LeaseHolder is the part of the rollout that runs on each instance: its session, its lease, and what it has
// to report.
type LeaseHolder struct {
	member, incarnation             uint64
	epoch                           uint64        // of the session; 0: it has none
	leaseRequestedAt, leaseDuration time.Duration // a duration of 0: it has no lease
	unleased                        bool          // this incarnation served before the group had sessions

	stagedChange       string
	problems           []string
	admissionClosedFor string
	attempt            int
	runningRevision    uint64

	reportedAt time.Duration
	reported   bool // at least once
	reportDue  bool // a report is due before the interval ends
}

// NewLeaseHolder returns the lease holder of an incarnation of an instance. Each incarnation of an instance
// must have a different number.
func NewLeaseHolder(member, incarnation uint64) *LeaseHolder {
	return &LeaseHolder{member: member, incarnation: incarnation}
}

// SetStaged records that the instance is ready to switch to a change or, with problems, why it is not.
func (h *LeaseHolder) SetStaged(change string, problems []string) {
	h.stagedChange, h.problems, h.reportDue = change, problems, true
}

// SetAdmissionClosed records that the fronts have stopped admitting jobs for an attempt at a change.
func (h *LeaseHolder) SetAdmissionClosed(change string, attempt int) {
	h.admissionClosedFor, h.attempt, h.reportDue = change, attempt, true
}

// SetRunningRevision records the revision that the fronts run.
func (h *LeaseHolder) SetRunningRevision(revision uint64) { h.runningRevision = revision }

// Incarnation returns the number of this incarnation.
func (h *LeaseHolder) Incarnation() uint64 { return h.incarnation }

// StagedChange returns the change that the instance is ready to switch to; empty if there is none.
func (h *LeaseHolder) StagedChange() string {
	if len(h.problems) > 0 {
		return ""
	}
	return h.stagedChange
}

// Epoch returns the epoch of this incarnation's session; 0 if it has none.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// leaseExpiresAt returns when the lease expires. The policy limits its duration, because a change may have
// shortened leases since this one was granted.
func (h *LeaseHolder) leaseExpiresAt(p Policy) time.Duration {
	return h.leaseRequestedAt + min(h.leaseDuration, p.Lease)
}

// LeaseRemaining returns the remaining duration of the lease.
func (h *LeaseHolder) LeaseRemaining(now time.Duration, p Policy) time.Duration {
	return max(h.leaseExpiresAt(p)-now, 0)
}

// SetUnleased records that this incarnation has served in a group that had no sessions yet.
func (h *LeaseHolder) SetUnleased() { h.unleased = true }

// session returns this incarnation's session in the replicated state; false if it is not open.
func (h *LeaseHolder) session(s *State) (Session, bool) {
	session, ok := s.Sessions[h.member]
	return session, ok && session.Open && (session.Incarnation == h.incarnation || session.Unleased)
}

// ObserveState updates the lease holder after entries have been applied to the replicated state.
func (h *LeaseHolder) ObserveState(s *State) {
	session, ok := h.session(s)
	switch {
	case !ok:
		h.epoch, h.leaseRequestedAt, h.leaseDuration = 0, 0, 0
	case session.Epoch != h.epoch:
		h.epoch, h.leaseRequestedAt, h.leaseDuration, h.reportDue = session.Epoch, 0, 0, true
	}
	// Reports omit a change that is no longer pending.
	if s.Pending == nil || s.Pending.Change != h.stagedChange {
		h.stagedChange, h.problems = "", nil
	}
	if s.Pending == nil || s.Pending.Change != h.admissionClosedFor || s.Pending.Attempt != h.attempt {
		h.admissionClosedFor, h.attempt = "", 0
	}
}

// NextReport returns the report to send to the leader now; false if none is due.
func (h *LeaseHolder) NextReport(now time.Duration, p Policy) (Report, bool) {
	if h.reported && !h.reportDue && now-h.reportedAt < p.Lease/reportsPerLease {
		return Report{}, false
	}
	h.reported, h.reportDue, h.reportedAt = true, false, now
	return Report{Member: h.member, Incarnation: h.incarnation, Epoch: h.epoch, RequestedAt: now,
		StagedChange: h.stagedChange, Problems: h.problems, AdmissionClosedFor: h.admissionClosedFor,
		Attempt: h.attempt, RunningRevision: h.runningRevision}, true
}

// ReportNow makes the next report due immediately, for example because there is a new leader.
func (h *LeaseHolder) ReportNow() { h.reportDue = true }

// ObserveGrant records the leader's response. The lease starts at the time before it was requested. If it
// started when the response arrives, the leader might consider it expired long before it ends here.
func (h *LeaseHolder) ObserveGrant(g Grant) {
	if g.Duration > 0 && g.Epoch == h.epoch && g.RequestedAt >= h.leaseRequestedAt {
		h.leaseRequestedAt, h.leaseDuration = g.RequestedAt, g.Duration
	}
}
