package rollout

import (
	"time"
)

// Report is what an instance tells the leader. It asks for its lease with it, too.
type Report struct {
	Member             uint64
	Incarnation        uint64
	Epoch              uint64        // the session that it has; 0: it wants one
	RequestedAt        time.Duration // its clock, before it asked; comes back with the grant
	StagedChange       string        // the change that it has staged
	Problems           []string      // why it can't
	AdmissionClosedFor string        // the change for which it has ceased to admit
	Attempt            int           // with Closed
	RunningRevision    uint64        // the revision that its fronts run
}

// Grant is the leader's answer.
type Grant struct {
	Epoch       uint64
	RequestedAt time.Duration
	Duration    time.Duration // from Asked on; 0: none
}

// Permit is whether an instance may admit jobs.
type Permit struct {
	Revision     uint64 // under which policy
	Open         bool
	ExpiresAt    time.Duration // on the instance's clock
	NoExpiry     bool          // Until does not count: this instance serves on when cut off
	ClosedReason string        // it is not open
	// What it is closed for: the fronts' yes is awaited.
	Change  string
	Attempt int
}

// LeaseHolder is an instance's side.
type LeaseHolder struct {
	member, nonce uint64
	epoch         uint64
	asked, span   time.Duration // of the last grant
	old           bool          // this life served before there were sessions

	staged  string
	refused []string
	closed  string
	attempt int
	running uint64

	at    time.Duration // when
	ever  bool          // something was sent
	dirty bool
}

// NewLeaseHolder is for one life of an instance; no other one has its nonce.
func NewLeaseHolder(member, nonce uint64) *LeaseHolder {
	return &LeaseHolder{member: member, nonce: nonce}
}

// SetStaged says that the instance is ready to switch to a change, or why it can't.
func (h *LeaseHolder) SetStaged(change string, refused []string) {
	h.staged, h.refused, h.dirty = change, refused, true
}

// SetAdmissionClosed says that the fronts have ceased to admit for a change.
func (h *LeaseHolder) SetAdmissionClosed(change string, attempt int) {
	h.closed, h.attempt, h.dirty = change, attempt, true
}

// SetRunningRevision says which revision the fronts run.
func (h *LeaseHolder) SetRunningRevision(revision uint64) { h.running = revision }

// Incarnation is this life's.
func (h *LeaseHolder) Incarnation() uint64 { return h.nonce }

// StagedChange is the change that is staged.
func (h *LeaseHolder) StagedChange() string {
	if len(h.refused) > 0 {
		return ""
	}
	return h.staged
}

// Epoch is the session that this life has; 0: none.
func (h *LeaseHolder) Epoch() uint64 { return h.epoch }

// end is when the lease ends. Hazard: the policy may have come to name a shorter one since.
func (h *LeaseHolder) end(p Policy) time.Duration { return h.asked + min(h.span, p.Lease) }

// LeaseRemaining is what is left of the lease.
func (h *LeaseHolder) LeaseRemaining(now time.Duration, p Policy) time.Duration {
	return max(h.end(p)-now, 0)
}

// SetUnleased says that this life serves in a group that knows no sessions yet.
func (h *LeaseHolder) SetUnleased() { h.old = true }

// session is this life's session, if the agreed state has it open.
func (h *LeaseHolder) session(s *State) (Session, bool) {
	x, ok := s.Sessions[h.member]
	return x, ok && x.Open && (x.Incarnation == h.nonce || x.Unleased)
}

// ObserveState takes over what the agreed state says.
func (h *LeaseHolder) ObserveState(s *State) {
	x, ok := h.session(s)
	switch {
	case !ok:
		h.epoch, h.asked, h.span = 0, 0, 0
	case x.Epoch != h.epoch:
		h.epoch, h.asked, h.span, h.dirty = x.Epoch, 0, 0, true
	}
	// A word about a change that is over is not repeated.
	if s.Pending == nil || s.Pending.Change != h.staged {
		h.staged, h.refused = "", nil
	}
	if s.Pending == nil || s.Pending.Change != h.closed || s.Pending.Attempt != h.attempt {
		h.closed, h.attempt = "", 0
	}
}

// NextReport gives what must be told to the leader now, if anything must.
func (h *LeaseHolder) NextReport(now time.Duration, p Policy) (Report, bool) {
	if h.ever && !h.dirty && now-h.at < p.Lease/4 {
		return Report{}, false
	}
	h.ever, h.dirty, h.at = true, false, now
	return Report{
		Member:             h.member,
		Incarnation:        h.nonce,
		Epoch:              h.epoch,
		RequestedAt:        now,
		StagedChange:       h.staged,
		Problems:           h.refused,
		AdmissionClosedFor: h.closed,
		Attempt:            h.attempt,
		RunningRevision:    h.running,
	}, true
}

// ReportNow has the next Report come at once: there is another leader to tell.
func (h *LeaseHolder) ReportNow() { h.dirty = true }

// ObserveGrant takes the leader's answer. Hazard: the lease counts from the moment before it was
// asked for. From the answer on, the leader may have counted it as over long ago.
func (h *LeaseHolder) ObserveGrant(g Grant) {
	if g.Duration > 0 && g.Epoch == h.epoch && g.RequestedAt >= h.asked {
		h.asked, h.span = g.RequestedAt, g.Duration
	}
}

// Permit says whether this instance may admit jobs, as far as the state goes that it has.
func (h *LeaseHolder) Permit(s *State, revision uint64, p Policy) Permit {
	out := Permit{Revision: revision}
	_, ok := h.session(s)
	switch {
	case !ok && s.Sessions[h.member].ClosedReason != "":
		out.ClosedReason = "this instance has no session: " + s.Sessions[h.member].ClosedReason
	case !ok:
		out.ClosedReason = "this instance has not heard from its group since it started"
	case s.Pending != nil && s.Pending.Phase == ClosingAdmission:
		out.ClosedReason, out.Change, out.Attempt = "a change of policy is taking hold", s.Pending.Change,
			s.Pending.Attempt
	default:
		out.Open, out.ExpiresAt = true, h.end(p)
		out.NoExpiry = p.WhenIsolated == KeepServing || s.Sessions[h.member].Unleased && h.old && h.span == 0
		out.ClosedReason = "its lease has run out: the leader is not reached"
	}
	return out
}

// Admits says whether a job may be admitted at this moment, by fronts that run a revision.
// Hazard: the clock must be read in the turn that admits, for the process may have stood
// still since.
func (p Permit) Admits(now time.Duration, running uint64) bool {
	return p.Open && p.Revision == running && (p.NoExpiry || now < p.ExpiresAt)
}
