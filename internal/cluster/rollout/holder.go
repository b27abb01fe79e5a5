package rollout

import (
	"time"
)

// Report is what an instance tells the leader. It asks for its lease with it, too.
type Report struct {
	Member  uint64
	Nonce   uint64
	Epoch   uint64        // the session that it has; 0: it wants one
	Asked   time.Duration // its clock, before it asked; comes back with the grant
	Staged  string        // the change that it has staged
	Refused []string      // why it can't
	Closed  string        // the change for which it has ceased to admit
	Attempt int           // with Closed
	Running uint64        // the revision that its fronts run
}

// Grant is the leader's answer.
type Grant struct {
	Epoch uint64
	Asked time.Duration
	For   time.Duration // from Asked on; 0: none
}

// Permit is whether an instance may admit jobs.
type Permit struct {
	Revision uint64 // under which policy
	Open     bool
	Until    time.Duration // on the instance's clock
	Forever  bool          // Until does not count: this instance serves on when cut off
	Why      string        // it is not open
	// What it is closed for: the fronts' yes is awaited.
	Change  string
	Attempt int
}

// Holder is an instance's side.
type Holder struct {
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

// NewHolder is for one life of an instance; no other one has its nonce.
func NewHolder(member, nonce uint64) *Holder { return &Holder{member: member, nonce: nonce} }

// Staged says that the instance is ready to switch to a change, or why it can't.
func (h *Holder) Staged(change string, refused []string) {
	h.staged, h.refused, h.dirty = change, refused, true
}

// Closed says that the fronts have ceased to admit for a change.
func (h *Holder) Closed(change string, attempt int) {
	h.closed, h.attempt, h.dirty = change, attempt, true
}

// Running says which revision the fronts run.
func (h *Holder) Running(revision uint64) { h.running = revision }

// Nonce is this life's.
func (h *Holder) Nonce() uint64 { return h.nonce }

// Ready is the change that is staged.
func (h *Holder) Ready() string {
	if len(h.refused) > 0 {
		return ""
	}
	return h.staged
}

// Epoch is the session that this life has; 0: none.
func (h *Holder) Epoch() uint64 { return h.epoch }

// end is when the lease ends. Hazard: the policy may have come to name a shorter one since.
func (h *Holder) end(p Policy) time.Duration { return h.asked + min(h.span, p.Lease) }

// Left is what is left of the lease.
func (h *Holder) Left(now time.Duration, p Policy) time.Duration { return max(h.end(p)-now, 0) }

// Old says that this life serves in a group that knows no sessions yet.
func (h *Holder) Old() { h.old = true }

// session is this life's session, if the agreed state has it open.
func (h *Holder) session(s *State) (Session, bool) {
	x, ok := s.Sessions[h.member]
	return x, ok && x.Open && (x.Nonce == h.nonce || x.Loose)
}

// Follow takes over what the agreed state says.
func (h *Holder) Follow(s *State) {
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

// Report gives what must be told to the leader now, if anything must.
func (h *Holder) Report(now time.Duration, p Policy) (Report, bool) {
	if h.ever && !h.dirty && now-h.at < p.Lease/4 {
		return Report{}, false
	}
	h.ever, h.dirty, h.at = true, false, now
	return Report{Member: h.member, Nonce: h.nonce, Epoch: h.epoch, Asked: now, Staged: h.staged,
		Refused: h.refused, Closed: h.closed, Attempt: h.attempt, Running: h.running}, true
}

// Again has the next Report come at once: there is another leader to tell.
func (h *Holder) Again() { h.dirty = true }

// Granted takes the leader's answer. Hazard: the lease counts from the moment before it was
// asked for. From the answer on, the leader may have counted it as over long ago.
func (h *Holder) Granted(g Grant) {
	if g.For > 0 && g.Epoch == h.epoch && g.Asked >= h.asked {
		h.asked, h.span = g.Asked, g.For
	}
}

// Permit says whether this instance may admit jobs, as far as the state goes that it has.
func (h *Holder) Permit(s *State, revision uint64, p Policy) Permit {
	out := Permit{Revision: revision}
	_, ok := h.session(s)
	switch {
	case !ok && s.Sessions[h.member].Why != "":
		out.Why = "this instance has no session: " + s.Sessions[h.member].Why
	case !ok:
		out.Why = "this instance has not heard from its group since it started"
	case s.Pending != nil && s.Pending.Phase == Holding:
		out.Why, out.Change, out.Attempt = "a change of policy is taking hold", s.Pending.Change,
			s.Pending.Attempt
	default:
		out.Open, out.Until = true, h.end(p)
		out.Forever = p.CutOff == Serve || s.Sessions[h.member].Loose && h.old && h.span == 0
		out.Why = "its lease has run out: the leader is not reached"
	}
	return out
}

// May says whether a job may be admitted at this moment, by fronts that run a revision.
// Hazard: the clock must be read in the turn that admits, for the process may have stood
// still since.
func (p Permit) May(now time.Duration, running uint64) bool {
	return p.Open && p.Revision == running && (p.Forever || now < p.Until)
}
