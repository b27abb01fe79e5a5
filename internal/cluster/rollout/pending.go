package rollout

import (
	"fmt"
	"strings"
	"time"
)

// advancePending returns the next command for the pending change; false if none is due.
func (l *Leader) advancePending(now time.Duration, s *State, p Policy) (Command, bool) {
	l.observePending(now, *s.Pending)
	c := Command{Term: l.term, Change: s.Pending.Change, Attempt: s.Pending.Attempt,
		Sessions: s.OpenSessions()}
	var missing []string
	for _, session := range s.List() {
		if !session.Open {
			continue
		}
		m := l.member(session.Member)
		if m.hasReportFrom(session) && m.report.StagedChange == c.Change && len(m.report.Problems) > 0 {
			c.Kind, c.Reason = Withdraw, session.Name+" refuses it: "+strings.Join(m.report.Problems, "; ")
			return c, true
		}
		if !l.confirmed(m, session, s.Pending) {
			missing = append(missing, fmt.Sprintf("%s (%s)", session.Name, m.describeLastReport(now)))
		}
	}
	c.Kind, c.Reason = l.decidePending(now, s.Pending.Phase, p, missing)
	return c, c.Kind != None
}

// observePending records when the pending change was first seen, and when it was first seen with its phase
// and attempt.
func (l *Leader) observePending(now time.Duration, pending PendingChange) {
	if l.pending.Change != pending.Change {
		l.changeSeenAt = now
	}
	if l.pending != pending {
		l.pending, l.pendingSince = pending, now
	}
}

// decidePending returns the kind of the command that is due, or None, and the reason if the command withdraws
// the change. The argument missing describes the instances that have not confirmed the phase.
//
// The reason becomes part of the replicated state, so its text must not change.
func (l *Leader) decidePending(now time.Duration, phase Phase, p Policy, missing []string) (Kind, string) {
	switch {
	case len(missing) == 0 && phase == Staging:
		return CloseAdmission, ""
	case len(missing) == 0:
		return Commit, ""
	case phase == ClosingAdmission && now-l.pendingSince > p.MaxAdmissionPause:
		return ReopenAdmission, ""
	case phase == Staging && now-l.changeSeenAt > p.StagingTimeout:
		return Withdraw, fmt.Sprintf("no word within %v of %s", p.StagingTimeout, strings.Join(missing, ", "))
	}
	return None, ""
}

// hasReportFrom reports whether the latest report is from the holder of the session.
func (m *memberState) hasReportFrom(s Session) bool { return m.reported && m.report.Epoch == s.Epoch }

// confirmed reports whether the holder of an open session has confirmed the phase of the pending change.
func (l *Leader) confirmed(m *memberState, session Session, pending *PendingChange) bool {
	if pending.Phase == ClosingAdmission {
		return m.hasReportFrom(session) && m.report.confirmsClosing(pending)
	}
	// After a failed attempt, every instance must report again, because it may be the one that prevented the
	// commit.
	current := pending.Attempt == 1 || m.reportedAt >= l.pendingSince
	return m.hasReportFrom(session) && current && m.report.StagedChange == pending.Change
}

// confirmsClosing reports whether the instance has closed admission for the current attempt at the change.
func (r Report) confirmsClosing(pending *PendingChange) bool {
	return r.AdmissionClosedFor == pending.Change && r.Attempt == pending.Attempt
}

// describeLastReport describes how long ago the latest report arrived, for the reason of a withdrawal.
func (m *memberState) describeLastReport(now time.Duration) string {
	if !m.reported {
		return "not heard of"
	}
	return fmt.Sprintf("last heard of %v ago", (now - m.reportedAt).Round(10*time.Millisecond))
}

// AwaitedMembers returns the instances that the pending change is waiting for, by name, with the time after
// which their leases are guaranteed to have expired.
func (l *Leader) AwaitedMembers(now time.Duration, s *State, p Policy) map[string]time.Duration {
	if s.Pending == nil {
		return nil
	}
	awaited := map[string]time.Duration{}
	for _, session := range s.List() {
		m := l.member(session.Member)
		done := m.report.Epoch == session.Epoch && m.report.StagedChange == s.Pending.Change
		if s.Pending.Phase == ClosingAdmission {
			done = m.report.Epoch == session.Epoch && m.report.confirmsClosing(s.Pending)
		}
		if session.Open && !done {
			awaited[session.Name] = max(l.leaseExpiry(m, p)-now, 0)
		}
	}
	return awaited
}
