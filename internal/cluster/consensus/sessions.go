package consensus

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// sessions manages this instance's session and lease and, while it leads, the leases of all members.
type sessions struct {
	replica      *replica
	participants *participants
	ownership    *ownership

	lease        *rollout.LeaseHolder
	leader       *rollout.Leader // nil unless this instance leads and has applied an entry of its term
	confirmation leaseConfirmation
	formats      *formatTracker

	reportedTo uint64 // leader that the last report went to
	leaderSeen bool   // a leader has been known since the start

	permit           rollout.Permit // the last one emitted
	permitEmitted    bool
	stagingChange    string          // id of the last change emitted for staging; empty: none is pending
	departing        bool            // this instance is shutting down
	departingMembers map[uint64]bool // whether a member is shutting down, by its last report
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

// ReportStaged reports that the fronts have staged a change, or the problems that prevent it.
func (i *Instance) ReportStaged(change string, problems []string) {
	i.sessions.lease.SetStaged(change, problems)
	i.sessions.evaluate()
}

// ReportAdmissionClosed reports that the fronts have stopped admitting jobs for a change.
func (i *Instance) ReportAdmissionClosed(change string, attempt int) {
	i.sessions.lease.SetAdmissionClosed(change, attempt)
	i.sessions.evaluate()
}

// ReportRunningRevision reports the revision that the fronts run.
func (i *Instance) ReportRunningRevision(revision uint64) {
	i.sessions.lease.SetRunningRevision(revision)
}

// SetDeparting sets whether this instance is shutting down, in which case its leased tasks are transferred to
// others.
func (i *Instance) SetDeparting(departing bool) {
	i.sessions.departing = departing
	i.sessions.lease.ReportNow()
	i.sessions.evaluate()
}

// StepSession processes a session message from another instance: a report, a grant or both.
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
			return errors.New("session report has no incarnation")
		}
		i.sessions.observeReport(from, r)
	}
	if g := m.Grant; g != nil {
		if g.AskedNs > int64(i.now) {
			return errors.New("lease grant answers a request from the future")
		}
		i.sessions.observeGrant(g)
	}
	i.sessions.evaluate()
	return nil
}

// evaluate updates the sessions and everything that depends on them after an input.
func (s *sessions) evaluate() {
	r := s.replica
	if r.node == nil || r.state == nil || r.halted != nil {
		return
	}
	r.haltOnPanic(func() {
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

// session returns this instance's session, or the zero Session if it has none.
func (s *sessions) session() placement.Session {
	if epoch := s.lease.Epoch(); epoch != 0 && !s.replica.wasRemoved() {
		return placement.Session{Member: s.replica.identity.Id, Epoch: epoch}
	}
	return placement.Session{}
}

// updateLeadership starts or ends this instance's work as the leader when its leadership changes.
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

// report sends a session report to the leader if one is due.
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

// observeReport processes a member's session report. If this instance does not lead, it does not grant a
// lease; the member will report again, to the leader.
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

// observeGrant processes a lease granted by a leader that had applied the log up to m.Applied.
func (s *sessions) observeGrant(m *schema.SessionGrant) {
	g := rollout.Grant{Epoch: m.Epoch, RequestedAt: time.Duration(m.AskedNs),
		Duration: time.Duration(m.ForNs)}
	s.lease.ObserveGrant(g)
	s.ownership.observeGrant(g, m.Applied)
	s.participants.observeGrant(m)
}

// grantLeases grants the leases whose leadership confirmation is complete. If more reports wait, it requests
// the next confirmation from a quorum.
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
	if context, due := s.confirmation.nextRead(r.ticks, r.identity.Id, s.lease.Incarnation()); due {
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

// proposeDecisions proposes the leader's due decisions on sessions, the pending change and the replicated
// state machines.
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

// emitPermit adds the fronts' admission permit to the effects if it has changed.
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

// emitStage adds the pending change to the effects, once, so that the fronts stage it.
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
