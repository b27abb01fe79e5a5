package rollout

import (
	"maps"
	"slices"
	"time"
)

// maxProposals bounds the proposals that a leader remembers. If there are more, it forgets them all, so it
// may propose commands again sooner.
const maxProposals = 4096

// Leader is the part of the rollout that runs on the leader, for one term. It is created once the leader has
// applied an entry of its own term, and so all decisions of previous leaders.
type Leader struct {
	term uint64
	// startedAt is when the term began, or when the leader last detected that it had stalled.
	startedAt     time.Duration
	lastEvaluated time.Duration
	members       map[uint64]*memberState
	proposedAt    map[proposal]time.Duration

	pending      PendingChange // as of the last evaluation
	pendingSince time.Duration // when it was first seen with this phase and attempt
	changeSeenAt time.Duration // when the change was first seen
}

// memberState is what the leader knows about an instance in this term.
type memberState struct {
	report     Report // the latest one; valid if reported is true
	reportedAt time.Duration
	reported   bool
	unhandled  bool // the report has not been checked for a session request yet
	// leaseExpiresAt is when the granted lease is guaranteed to have expired, on the leader's clock; 0 if
	// this leader has granted none.
	leaseExpiresAt time.Duration
	expiringEpoch  uint64        // of the session that this leader has proposed to expire
	epoch          uint64        // of the session that was last seen
	epochSeenAt    time.Duration // when that session was first seen
}

// proposal identifies a command that may have to be proposed again.
type proposal struct {
	kind         Kind
	member       uint64
	incarnation  uint64
	epoch        uint64 // of the session; for a pending change, the state's LastEpoch
	change       string
	attempt      int
	openSessions int
}

// NewLeader returns the leader of a term that begins now.
func NewLeader(now time.Duration, term uint64) *Leader {
	return &Leader{term: term, startedAt: now, lastEvaluated: now, members: map[uint64]*memberState{},
		proposedAt: map[proposal]time.Duration{}}
}

// Term returns the leader's term.
func (l *Leader) Term() uint64 { return l.term }

func (l *Leader) member(id uint64) *memberState {
	m := l.members[id]
	if m == nil {
		m = &memberState{}
		l.members[id] = m
	}
	return m
}

// ObserveReport records an instance's report.
func (l *Leader) ObserveReport(now time.Duration, r Report) {
	m := l.member(r.Member)
	// Reports can arrive out of order; an older one must not replace a newer one.
	if m.reported && m.report.Incarnation == r.Incarnation && r.RequestedAt < m.report.RequestedAt {
		return
	}
	m.report, m.reportedAt, m.reported, m.unhandled = r, now, true, true
}

// Grant returns the response to a report. After the report has arrived, the caller must first verify that
// this instance is still the leader and has applied all decisions made until then. Without this check, a
// deposed leader would grant a lease that the next leader considers expired.
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

// leaseExpiry returns when a member's lease is guaranteed to have expired. If this leader has granted the
// member no lease, a previous leader may have granted one, at the latest when this term began. The holder of
// a session that was just opened has not requested a lease yet, so the wait for it starts then.
func (l *Leader) leaseExpiry(m *memberState, p Policy) time.Duration {
	wait := ExpiryWait(p.Lease)
	return max(m.leaseExpiresAt, l.startedAt+wait, m.epochSeenAt+wait)
}

// LeaseExpired reports whether a member's lease is guaranteed to have expired, regardless of its session.
func (l *Leader) LeaseExpired(now time.Duration, member uint64, p Policy) bool {
	return now >= l.leaseExpiry(l.member(member), p)
}

// Healthy reports whether a member's latest report arrived within the given duration before now.
func (l *Leader) Healthy(now time.Duration, member uint64, within time.Duration) bool {
	m := l.member(member)
	return m.reported && now-m.reportedAt <= within
}

// sessionExpired reports whether a session can be closed because its lease is guaranteed to have expired.
func (l *Leader) sessionExpired(now time.Duration, session Session, p Policy) bool {
	if p.WhenIsolated == KeepServing || session.Unleased && !l.member(session.Member).reported {
		return false
	}
	return l.LeaseExpired(now, session.Member, p)
}

// shouldPropose reports whether to propose a command now: for the first time, or again if it was last
// proposed at least half a lease ago.
func (l *Leader) shouldPropose(now time.Duration, p Policy, key proposal) bool {
	if at, ok := l.proposedAt[key]; ok && now-at < p.Lease/2 {
		return false
	}
	l.proposedAt[key] = now
	return true
}

// Evaluate returns the commands that must be proposed now. The argument names has the members' names by
// number. The commands must be proposed in this term; they have no effect in the log of another leader.
func (l *Leader) Evaluate(now time.Duration, s *State, p Policy, names map[uint64]string) []Command {
	// After a stall, the members' reports are queued and are processed after this evaluation, so all members
	// would seem to have failed. The leader therefore restarts its waiting times, as at the start of a term.
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

// openSessions returns the commands that open the sessions requested by instances.
func (l *Leader) openSessions(now time.Duration, s *State, p Policy, names map[uint64]string) []Command {
	var commands []Command
	for _, id := range slices.Sorted(maps.Keys(names)) {
		m, session := l.member(id), s.Sessions[id]
		// An instance whose session is open already has sent the report before it learned of the session.
		opened := session.Open && session.Incarnation == m.report.Incarnation
		if !m.unhandled || m.report.Epoch != 0 || opened {
			continue
		}
		// Each report opens at most one session. Otherwise the last report of an instance that has died would
		// open its session again after each expiry.
		m.unhandled = false
		// Reports that a network partition delayed arrive together. Without this check, each would open a
		// session.
		if l.shouldPropose(now, p, proposal{kind: OpenSession, member: id,
			incarnation: m.report.Incarnation, epoch: session.Epoch}) {
			commands = append(commands, Command{Kind: OpenSession, Term: l.term, Member: id,
				Name: names[id], Incarnation: m.report.Incarnation})
		}
	}
	return commands
}

// expireSessions returns the command that closes the sessions whose leases are guaranteed to have expired;
// nil if there are none.
func (l *Leader) expireSessions(now time.Duration, s *State, p Policy) []Command {
	var expired []SessionID
	for _, session := range s.List() {
		m := l.member(session.Member)
		if m.epoch != session.Epoch {
			m.epoch, m.epochSeenAt = session.Epoch, now
		}
		if !session.Open || !l.sessionExpired(now, session, p) ||
			!l.shouldPropose(now, p, proposal{kind: ExpireSessions, member: session.Member,
				epoch: session.Epoch}) {
			continue
		}
		expired = append(expired, SessionID{session.Member, session.Epoch})
		// Once it is proposed, the expiry may be committed at any time, so no lease is granted for this epoch
		// from now on.
		m.expiringEpoch = session.Epoch
	}
	if len(expired) == 0 {
		return nil
	}
	return []Command{{Kind: ExpireSessions, Term: l.term, Sessions: expired}}
}

// LatestReports returns data of each instance's latest report, by member number: the revision that its fronts
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
