package clusterstate

import (
	"slices"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// Rollout returns the sessions and how the pending change is rolled out. It must not be changed.
func (s *State) Rollout() *rollout.State { return s.rollout }

// RolloutPolicy returns how changes are rolled out now.
func (s *State) RolloutPolicy() rollout.Policy { return s.rolloutPolicy }

// isOpen reports whether a session is open.
func (s *State) isOpen(id placement.Session) bool {
	session := s.rollout.Sessions[id.Member]
	return session.Open && session.Epoch == id.Epoch
}

// EligibleOwners lists the members that may own something by placement: those with open sessions.
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

// UpdateOwners passes the eligible owners on to the state machines. It is called after each entry of
// the log.
func (s *State) UpdateOwners() {
	owners := s.EligibleOwners()
	for _, m := range s.machines {
		m.state.SetOwners(owners)
	}
}

// PopExpiredSessions returns the sessions that have certainly ended since it was called last.
func (s *State) PopExpiredSessions() []placement.Session {
	list := s.expiredSessions
	s.expiredSessions = nil
	return list
}

// ApplyRollout applies a rollout command that is in the log. The outcome is for the operator who
// requested it, if one did. decidedChange is the id of the pending change, if the command committed
// or withdrew it.
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
		decidedChange = s.decidePending(c)
	}
	s.outcomes.addIfValid(c.ID, o)
	return o, decidedChange
}

// decidePending follows the rollout once it has committed or withdrawn the pending change, and returns
// the change's id.
func (s *State) decidePending(c rollout.Command) string {
	decided := s.pending
	if s.rollout.Pending != nil || decided == nil {
		return ""
	}
	s.pending = nil
	o := Outcome{Code: Withdrawn, Revision: s.CurrentRevision().Number, Problems: []string{c.Reason}}
	if c.Kind == rollout.Commit {
		decided.EffectiveAtMS = c.AtMS
		s.addRevision(*decided)
		s.configureMachines()
		o = Outcome{Code: Accepted, Revision: decided.Number}
	}
	s.outcomes.add(decided.ChangeID, o)
	return decided.ChangeID
}

// expireSessions releases what belonged to sessions that have certainly ended: their lease has expired,
// or the process that held them has been replaced. before is the command's member's session as it was.
//
// Hazard: a session that an operator has set aside may act until its lease ends; its leased tasks wait
// for that.
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
		// Hazard: one that was set aside and comes back is the same process.
		if before.Open && before.Incarnation != c.Incarnation {
			s.expiredSessions = append(s.expiredSessions,
				placement.Session{Member: before.Member, Epoch: before.Epoch})
		}
		s.releaseExpired(func(id placement.Session) bool {
			return id.Member == c.Member && id.Epoch != s.rollout.Sessions[c.Member].Epoch
		}, "it was started anew", c.AtMS)
	}
}

// releaseExpired has the state machines release what belonged to expired sessions. The reason is part of
// the state.
func (s *State) releaseExpired(expired func(placement.Session) bool, reason string, atMS int64) {
	for _, m := range s.machines {
		m.state.SessionsExpired(expired, reason, atMS)
	}
}
