package rollout

import (
	"maps"
	"slices"
	"time"
)

// maxProposals bounds the proposals that a leader remembers; beyond it all are proposed again.
const maxProposals = 4096

// Leader is the leader's side for one term. It is made when the leader has applied an entry of its term, and
// so everything that any leader before it has decided.
type Leader struct {
	term uint64
	// startedAt is when the term began, or when the leader noticed that it had stalled.
	startedAt     time.Duration
	lastEvaluated time.Duration
	members       map[uint64]*memberState
	proposedAt    map[proposal]time.Duration

	pending      PendingChange // as last seen
	pendingSince time.Duration // when it was first seen with this phase and attempt
	changeSeenAt time.Duration // when its change was first seen
}

// memberState is what the leader knows of an instance in this term.
type memberState struct {
	report     Report // the latest; valid if reported
	reportedAt time.Duration
	reported   bool
	unanswered bool // the report has opened no session yet
	// leaseExpiresAt is when the granted lease has surely expired, on the leader's clock; 0: none is granted.
	leaseExpiresAt time.Duration
	expiringEpoch  uint64        // of the session whose expiry this leader has proposed
	epoch          uint64        // of the session that was seen last
	epochSeenAt    time.Duration // when it was seen first
}

// proposal identifies a command that may have to be proposed again.
type proposal struct {
	kind         Kind
	member       uint64
	incarnation  uint64
	epoch        uint64 // of the session, or the state's newest
	change       string
	attempt      int
	openSessions int
}

// NewLeader begins a term at the time now.
func NewLeader(now time.Duration, term uint64) *Leader {
	return &Leader{term: term, startedAt: now, lastEvaluated: now, members: map[uint64]*memberState{},
		proposedAt: map[proposal]time.Duration{}}
}

// Term returns the term in which it decides.
func (l *Leader) Term() uint64 { return l.term }

func (l *Leader) member(id uint64) *memberState {
	m := l.members[id]
	if m == nil {
		m = &memberState{}
		l.members[id] = m
	}
	return m
}

// ObserveReport takes an instance's report.
func (l *Leader) ObserveReport(now time.Duration, r Report) {
	m := l.member(r.Member)
	// Hazard: a report that was sent earlier may arrive later.
	if m.reported && m.report.Incarnation == r.Incarnation && r.RequestedAt < m.report.RequestedAt {
		return
	}
	m.report, m.reportedAt, m.reported, m.unanswered = r, now, true, true
}

// Grant returns the response to a report. The caller must have made sure, after the report arrived, that this
// instance still leads and has applied everything that was decided until then. Hazard: otherwise a leader
// that has been deposed would grant a lease that the next leader takes for expired.
func (l *Leader) Grant(now time.Duration, r Report, s *State, p Policy) Grant {
	g := Grant{Epoch: r.Epoch, RequestedAt: r.RequestedAt}
	session := s.Sessions[r.Member]
	m := l.member(r.Member)
	if !session.Open || session.Epoch != r.Epoch || m.expiringEpoch == r.Epoch {
		return g
	}
	g.Duration = p.Lease
	m.leaseExpiresAt = max(m.leaseExpiresAt, now+ExpiryWait(p.Lease))
	return g
}

// leaseExpiry is when a member's lease has surely expired. To a member that this leader has granted no lease
// the leader before it may have granted one, at the latest when this term began; and the holder of a session
// that was just opened has yet to request one.
func (l *Leader) leaseExpiry(m *memberState, p Policy) time.Duration {
	wait := ExpiryWait(p.Lease)
	return max(m.leaseExpiresAt, l.startedAt+wait, m.epochSeenAt+wait)
}

// LeaseExpired reports whether a member's lease has surely expired, whichever session it was for.
func (l *Leader) LeaseExpired(now time.Duration, member uint64, p Policy) bool {
	return now >= l.leaseExpiry(l.member(member), p)
}

// Healthy reports whether a member has reported within a duration before now.
func (l *Leader) Healthy(now time.Duration, member uint64, within time.Duration) bool {
	m := l.member(member)
	return m.reported && now-m.reportedAt <= within
}

// sessionExpired reports whether a session has surely ended.
func (l *Leader) sessionExpired(now time.Duration, x Session, p Policy) bool {
	if p.WhenIsolated == KeepServing || x.Unleased && !l.member(x.Member).reported {
		return false
	}
	return l.LeaseExpired(now, x.Member, p)
}

// shouldPropose reports whether to propose a command now, for the first time or again after half a lease.
func (l *Leader) shouldPropose(now time.Duration, p Policy, key proposal) bool {
	if at, ok := l.proposedAt[key]; ok && now-at < p.Lease/2 {
		return false
	}
	l.proposedAt[key] = now
	return true
}

// Evaluate returns the commands that must be proposed now, for members given by number and name. They are to
// be proposed in this term, and are void in the log of another leader.
func (l *Leader) Evaluate(now time.Duration, s *State, p Policy, names map[uint64]string) []Command {
	// Hazard: after a stall the reports wait in a queue behind this evaluation, and every member would seem
	// to have failed. The leader continues as if the term began now.
	if now-l.lastEvaluated > p.Lease/2 {
		l.startedAt = now
	}
	l.lastEvaluated = now
	if len(l.proposedAt) > maxProposals {
		clear(l.proposedAt)
	}
	commands := append(l.openSessions(now, s, p, names), l.expireSessions(now, s, p)...)
	if s.Pending == nil {
		l.pending = PendingChange{}
		return commands
	}
	if c, ok := l.advancePending(now, s, p); ok && l.shouldPropose(now, p, proposal{kind: c.Kind,
		change: c.Change, attempt: c.Attempt, openSessions: len(c.Sessions), epoch: s.LastEpoch}) {
		commands = append(commands, c)
	}
	return commands
}

// openSessions returns the commands that open the sessions that instances have requested.
func (l *Leader) openSessions(now time.Duration, s *State, p Policy, names map[uint64]string) []Command {
	var commands []Command
	for _, id := range slices.Sorted(maps.Keys(names)) {
		m, session := l.member(id), s.Sessions[id]
		opened := session.Open && session.Incarnation == m.report.Incarnation // it has yet to learn that
		if !m.unanswered || m.report.Epoch != 0 || opened {
			continue
		}
		// Hazard: the last report of an instance that has died since would open its session again and again.
		m.unanswered = false
		// Hazard: reports that a partition held back arrive all at once, and each would open a session.
		if l.shouldPropose(now, p, proposal{kind: OpenSession, member: id,
			incarnation: m.report.Incarnation, epoch: session.Epoch}) {
			commands = append(commands, Command{Kind: OpenSession, Term: l.term, Member: id,
				Name: names[id], Incarnation: m.report.Incarnation})
		}
	}
	return commands
}

// expireSessions returns the command that closes the sessions whose leases have surely expired, if there are
// any.
func (l *Leader) expireSessions(now time.Duration, s *State, p Policy) []Command {
	var expired []SessionID
	for _, x := range s.List() {
		m := l.member(x.Member)
		if m.epoch != x.Epoch {
			m.epoch, m.epochSeenAt = x.Epoch, now
		}
		if !x.Open || !l.sessionExpired(now, x, p) ||
			!l.shouldPropose(now, p, proposal{kind: ExpireSessions, member: x.Member, epoch: x.Epoch}) {
			continue
		}
		expired = append(expired, SessionID{x.Member, x.Epoch})
		// Hazard: once it has been proposed, the expiry may be committed at any time: nothing is granted for
		// this epoch any more.
		m.expiringEpoch = x.Epoch
	}
	if len(expired) == 0 {
		return nil
	}
	return []Command{{Kind: ExpireSessions, Term: l.term, Sessions: expired}}
}

// LatestReports returns what each instance has reported last, by member number: the revision that its fronts
// run, and the change that it has staged.
func (l *Leader) LatestReports() (running map[uint64]uint64, staged map[uint64]string) {
	running, staged = map[uint64]uint64{}, map[uint64]string{}
	for id, m := range l.members {
		if m.reported {
			running[id] = m.report.RunningRevision
			if len(m.report.Problems) == 0 {
				staged[id] = m.report.StagedChange
			}
		}
	}
	return running, staged
}
