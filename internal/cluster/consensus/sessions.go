package consensus

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// sessions are this instance's side of the rollout: its own session and lease and, while it leads, the leases
// of all members.
type sessions struct {
	replica      *replica
	participants *participants
	ownership    *ownership

	lease        *rollout.LeaseHolder
	leader       *rollout.Leader // nil unless it leads, and has applied an entry of its term
	confirmation leaseConfirmation
	formats      *formatTracker

	reportedTo uint64 // the leader that was reported to last
	leaderSeen bool   // a leader was known at any time since the start

	permit           rollout.Permit // as emitted last
	permitEmitted    bool
	stagingChange    string // the change that the fronts are to stage
	departing        bool   // this instance is about to end
	departingMembers map[uint64]bool
}

func newSessions(r *replica, o *ownership) *sessions {
	s := &sessions{replica: r, ownership: o,
		lease:            rollout.NewLeaseHolder(r.identity.Id, r.rng.Uint64()|1),
		confirmation:     leaseConfirmation{waiting: map[uint64]rollout.Report{}},
		formats:          &formatTracker{replica: r, formats: map[uint64]uint32{}},
		departingMembers: map[uint64]bool{},
	}
	s.participants = newParticipants(r, s, o)
	return s
}

// ReportStaged reports that the fronts have staged a change, or why they can't.
func (i *Instance) ReportStaged(change string, problems []string) {
	i.sessions.lease.SetStaged(change, problems)
	i.sessions.evaluate()
}

// ReportAdmissionClosed reports that the fronts have ceased to admit jobs for a change.
func (i *Instance) ReportAdmissionClosed(change string, attempt int) {
	i.sessions.lease.SetAdmissionClosed(change, attempt)
	i.sessions.evaluate()
}

// ReportRunningRevision reports which revision the fronts run.
func (i *Instance) ReportRunningRevision(revision uint64) {
	i.sessions.lease.SetRunningRevision(revision)
}

// SetDeparting sets whether this instance is about to end, and so has its leased tasks transferred.
func (i *Instance) SetDeparting(departing bool) {
	i.sessions.departing = departing
	i.sessions.lease.ReportNow()
	i.sessions.evaluate()
}

// StepSession takes a session message of another instance: a report, a grant or both.
func (i *Instance) StepSession(from uint64, m *schema.SessionMessage) error {
	if i.node == nil || i.state == nil {
		return ErrNoGroup
	}
	if i.halted != nil {
		return i.halted
	}
	if r := m.Report; r != nil {
		if i.state.WasRemoved(from) {
			return ErrRemoved
		}
		if r.Nonce == 0 {
			return errors.New("a session report without an incarnation")
		}
		i.sessions.observeReport(from, r)
	}
	if g := m.Grant; g != nil {
		if g.AskedNs > int64(i.now) {
			return errors.New("a lease that was requested at a future time")
		}
		i.sessions.observeGrant(g)
	}
	i.sessions.evaluate()
	return nil
}

// evaluate does what follows from the last input.
func (s *sessions) evaluate() {
	r := s.replica
	if r.node == nil || r.state == nil || r.halted != nil {
		return
	}
	r.guarded(func() {
		st := r.node.BasicStatus()
		s.leaderSeen = s.leaderSeen || st.Lead != raft.None
		s.updateLeadership(st)
		if s.leader != nil {
			s.formats.proposeUpgrade()
		}
		if r.state.Format() >= rolloutFormat {
			s.lease.ObserveState(r.state.Rollout())
			s.report(st)
			if s.leader != nil {
				s.grantLeases()
				s.proposeDecisions()
			}
		} else if s.leaderSeen {
			s.lease.SetUnleased()
		}
		s.emitPermit()
		s.participants.advance()
		s.ownership.emit(s.session())
		s.emitStage()
	})
}

// session is this instance's session; the zero Session: it has none.
func (s *sessions) session() placement.Session {
	if epoch := s.lease.Epoch(); epoch != 0 && !s.replica.wasRemoved() {
		return placement.Session{Member: s.replica.identity.Id, Epoch: epoch}
	}
	return placement.Session{}
}

// updateLeadership begins and ends the leader's side.
func (s *sessions) updateLeadership(st raft.BasicStatus) {
	now := s.replica.now
	leads := st.RaftState == raft.StateLeader && s.replica.appliedTerm == st.GetTerm()
	switch {
	case !leads && s.leader != nil:
		s.leader = nil
		s.participants.becomeLeader(now, 0)
		s.confirmation.reset()
	case leads && (s.leader == nil || s.leader.Term() != st.GetTerm()):
		s.leader = rollout.NewLeader(now, st.GetTerm())
		s.participants.becomeLeader(now, st.GetTerm())
		s.confirmation.reset()
		s.lease.ReportNow()
	}
}

// report sends the session report to the leader, when it is due.
func (s *sessions) report(st raft.BasicStatus) {
	self := s.replica.identity.Id
	if st.Lead == raft.None || s.replica.wasRemoved() {
		return
	}
	if s.reportedTo != st.Lead {
		s.reportedTo = st.Lead
		s.lease.ReportNow()
	}
	if st.Lead == self && s.leader == nil {
		return
	}
	r, due := s.lease.NextReport(s.replica.now, s.replica.policy())
	if !due {
		return
	}
	m := &schema.SessionReport{Nonce: r.Incarnation, Epoch: r.Epoch, AskedNs: int64(r.RequestedAt),
		Staged: r.StagedChange, Refused: r.Problems, Closed: r.AdmissionClosedFor, Attempt: int64(r.Attempt),
		Running: r.RunningRevision, Away: s.departing}
	s.participants.fillReport(m)
	if st.Lead == self {
		s.observeReport(self, m)
		return
	}
	s.send(st.Lead, &schema.SessionMessage{Report: m})
}

func (s *sessions) send(to uint64, m *schema.SessionMessage) {
	s.replica.out.SessionMessages = append(s.replica.out.SessionMessages, SessionMessage{to, m})
}

// observeReport takes a member's session report. Unless this instance leads the report requests nothing: the
// member will report again.
func (s *sessions) observeReport(member uint64, m *schema.SessionReport) {
	if s.leader != nil {
		r := rollout.Report{Member: member, Incarnation: m.Nonce, Epoch: m.Epoch,
			RequestedAt: time.Duration(m.AskedNs), StagedChange: m.Staged, Problems: m.Refused,
			AdmissionClosedFor: m.Closed, Attempt: int(m.Attempt), RunningRevision: m.Running}
		s.leader.ObserveReport(s.replica.now, r)
		s.confirmation.add(r)
	}
	if len(s.departingMembers) > maxTrackedMembers {
		clear(s.departingMembers)
	}
	s.departingMembers[member] = m.Away
	s.participants.observeReport(member, m)
}

// observeGrant takes a lease of a leader that had applied the log up to m.Applied.
func (s *sessions) observeGrant(m *schema.SessionGrant) {
	g := rollout.Grant{Epoch: m.Epoch, RequestedAt: time.Duration(m.AskedNs),
		Duration: time.Duration(m.ForNs)}
	s.lease.ObserveGrant(g)
	s.ownership.observeGrant(g, m.Applied)
	s.participants.observeGrant(m)
}

// grantLeases grants the leases that are confirmed, and has a quorum confirm that this instance still leads
// where others wait.
func (s *sessions) grantLeases() {
	r := s.replica
	if s.confirmation.confirmed(r.applied) {
		for _, member := range r.state.Members() {
			if report, ok := s.confirmation.covered[member.ID]; ok {
				s.grant(member.ID, report)
			}
		}
		s.confirmation.finish()
	}
	if context, due := s.confirmation.next(r.ticks, r.identity.Id, s.lease.Incarnation()); due {
		r.node.ReadIndex(context)
	}
}

func (s *sessions) grant(member uint64, report rollout.Report) {
	r := s.replica
	lease := s.leader.Grant(r.now, report, r.state.Rollout(), r.policy())
	g := &schema.SessionGrant{Epoch: lease.Epoch, AskedNs: int64(lease.RequestedAt),
		ForNs: int64(lease.Duration), Applied: r.applied}
	s.participants.fillGrant(member, g)
	if member == r.identity.Id {
		s.observeGrant(g)
	} else {
		s.send(member, &schema.SessionMessage{Grant: g})
	}
}

// proposeDecisions has the leader's side decide what is due.
func (s *sessions) proposeDecisions() {
	r := s.replica
	names := map[uint64]string{}
	for _, m := range r.state.Members() {
		names[m.ID] = m.Name
	}
	for _, c := range s.leader.Evaluate(r.now, r.state.Rollout(), r.policy(), names) {
		if c.Kind == rollout.Commit && r.cfg.WallClock != nil {
			c.AtMS = r.cfg.WallClock().UnixMilli()
		}
		r.propose(encodeRolloutCommand(c))
	}
	s.participants.proposeDecisions()
}

// emitPermit puts into the effects whether the fronts may admit jobs, when that has changed.
func (s *sessions) emitPermit() {
	r := s.replica
	revision := r.state.CurrentRevision().Number
	p := rollout.Permit{Revision: revision}
	switch {
	case r.wasRemoved():
		p.ClosedReason = ErrRemoved.Error()
	case r.state.Format() >= rolloutFormat:
		p = s.lease.Permit(r.state.Rollout(), revision, r.policy())
	case s.leaderSeen:
		p.Open, p.NoExpiry = true, true
	default:
		p.ClosedReason = "this instance has not heard from its group since it started"
	}
	if s.permitEmitted && p == s.permit {
		return
	}
	s.permitEmitted, s.permit = true, p
	r.out.Permit = &p
}

// emitStage puts the pending change into the effects, once, for the fronts to stage it.
func (s *sessions) emitStage() {
	pending, ok := s.replica.state.PendingRevision()
	if !ok {
		s.stagingChange = ""
		return
	}
	if s.stagingChange == pending.ChangeID {
		return
	}
	s.stagingChange = pending.ChangeID
	s.replica.out.Stage = &pending
}
