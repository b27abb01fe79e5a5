package clusterstate

import (
	"slices"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// Rollout returns the state of the rollout: the sessions and the pending change. The caller must not modify
// it.
func (s *State) Rollout() *rollout.State { return s.rollout }

// RolloutPolicy returns the rollout policy in force.
func (s *State) RolloutPolicy() rollout.Policy { return s.rolloutPolicy }

// isSessionOpen reports whether a session is open.
func (s *State) isSessionOpen(id placement.Session) bool {
	session := s.rollout.Sessions[id.Member]
	return session.Open && session.Epoch == id.Epoch
}

// EligibleOwners lists the members that may be owners by placement: those with open sessions that use leases.
func (s *State) EligibleOwners() []placement.Member {
	var list []placement.Member
	w := s.weights()
	for _, session := range s.rollout.List() {
		if session.Open && !session.Unleased {
			list = append(list, placement.Member{
				Session: placement.Session{Member: session.Member, Epoch: session.Epoch},
				Name:    session.Name,
				Weight:  w.Weight(session.Name),
			})
		}
	}
	return list
}

// UpdateOwners passes the eligible owners to the state machines. It is called after each log entry.
func (s *State) UpdateOwners() {
	owners := s.EligibleOwners()
	for _, m := range s.stateMachines {
		m.state.SetOwners(owners)
	}
}

// PopExpiredSessions returns the sessions that are guaranteed to have ended, and that earlier calls did not
// return.
func (s *State) PopExpiredSessions() []placement.Session {
	list := s.expiredSessions
	s.expiredSessions = nil
	return list
}

// ApplyRollout applies a rollout command from the log. The outcome is for the operator who requested the
// command, if an operator did. decidedChange is the ID of the pending change if the command committed or
// withdrew it, and empty otherwise.
func (s *State) ApplyRollout(c rollout.Command) (o Outcome, decidedChange string) {
	o = Outcome{Code: Accepted, Revision: s.CurrentRevision().Number}
	if s.format < formatRollout {
		return Outcome{Code: Invalid, Revision: o.Revision,
			Problems: []string{"the group has instances that know nothing of this"}}, ""
	}
	if known, ok := s.outcomes.get(c.ID); ok && c.ID != "" {
		return known, ""
	}
	before := s.rollout.Sessions[c.Member]
	if err := s.rollout.Apply(c); err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	} else {
		s.expireSessions(c, before)
		decidedChange = s.finishPending(c)
	}
	s.outcomes.addIfValid(c.ID, o)
	return o, decidedChange
}

// finishPending puts the pending revision into force or drops it if the rollout has committed or withdrawn
// the change, and returns the change's ID. It returns an empty ID if nothing was pending or the change still
// is.
func (s *State) finishPending(c rollout.Command) string {
	decided := s.pending
	if s.rollout.Pending != nil || decided == nil {
		return ""
	}
	s.pending = nil
	o := Outcome{Code: Withdrawn, Revision: s.CurrentRevision().Number, Problems: []string{c.Reason}}
	if c.Kind == rollout.Commit {
		decided.EffectiveAtMS = c.AtMS
		s.addRevision(*decided)
		s.configureStateMachines()
		o = Outcome{Code: Accepted, Revision: decided.Number}
	}
	s.outcomes.add(decided.ChangeID, o)
	return decided.ChangeID
}

// expireSessions releases everything that belongs to sessions that are guaranteed to have ended, because
// their lease has expired or the process that held them has been replaced. The argument before is the session
// of the command's member before the command was applied.
//
// A session that an operator has set aside is not released yet: its instance may act until its lease expires,
// so its leased tasks are reassigned only then.
func (s *State) expireSessions(c rollout.Command, before rollout.Session) {
	switch c.Kind {
	case rollout.ExpireSessions:
		for _, id := range c.Sessions {
			s.expiredSessions = append(s.expiredSessions, placement.Session(id))
		}
		s.releaseExpired(func(id placement.Session) bool {
			return slices.Contains(c.Sessions, rollout.SessionID(id))
		}, "its session ended", c.AtMS)
	case rollout.OpenSession:
		// With the same incarnation, the process still runs: its session was set aside and is opened again.
		if before.Open && before.Incarnation != c.Incarnation {
			s.expiredSessions = append(s.expiredSessions,
				placement.Session{Member: before.Member, Epoch: before.Epoch})
		}
		s.releaseExpired(func(id placement.Session) bool {
			return id.Member == c.Member && id.Epoch != s.rollout.Sessions[c.Member].Epoch
		}, "it was started anew", c.AtMS)
	}
}

// releaseExpired makes the state machines release everything that belongs to expired sessions. The reason is
// part of the state, so its text must not change.
func (s *State) releaseExpired(expired func(placement.Session) bool, reason string, atMS int64) {
	for _, m := range s.stateMachines {
		m.state.SessionsExpired(expired, reason, atMS)
	}
}
