package rollout

import (
	"fmt"
	"strings"
	"time"
)

// advancePending returns the command that the pending change needs now; false if it needs none.
func (l *Leader) advancePending(now time.Duration, s *State, p Policy) (Command, bool) {
	l.observePending(now, *s.Pending)
	c := Command{Term: l.term, Change: s.Pending.Change, Attempt: s.Pending.Attempt,
		Sessions: s.OpenSessions()}
	var missing []string
	for _, x := range s.List() {
		if !x.Open {
			continue
		}
		m := l.member(x.Member)
		if m.reportsFor(x) && m.report.StagedChange == c.Change && len(m.report.Problems) > 0 {
			c.Kind, c.Reason = Withdraw, x.Name+" refuses it: "+strings.Join(m.report.Problems, "; ")
			return c, true
		}
		if !l.confirmed(m, x, s.Pending) {
			missing = append(missing, fmt.Sprintf("%s (%s)", x.Name, m.lastReport(now)))
		}
	}
	c.Kind, c.Reason = l.decidePending(now, s.Pending.Phase, p, missing)
	return c, c.Kind != None
}

// observePending records since when the pending change is in its phase.
func (l *Leader) observePending(now time.Duration, pending PendingChange) {
	if l.pending.Change != pending.Change {
		l.changeSeenAt = now
	}
	if l.pending != pending {
		l.pending, l.pendingSince = pending, now
	}
}

// decidePending returns what is due, given the phase and the instances that have not confirmed it: the kind
// of a command, None if nothing is due, and the reason of a withdrawal.
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

// reportsFor reports whether the latest report is one of the holder of the session.
func (m *memberState) reportsFor(x Session) bool { return m.reported && m.report.Epoch == x.Epoch }

// confirmed reports whether the holder of an open session has confirmed the phase of the pending change.
func (l *Leader) confirmed(m *memberState, x Session, pending *PendingChange) bool {
	if pending.Phase == ClosingAdmission {
		return m.reportsFor(x) && m.report.closedFor(pending)
	}
	// After a first attempt an instance must report again: it may be the one that prevented the commit.
	current := pending.Attempt == 1 || m.reportedAt >= l.pendingSince
	return m.reportsFor(x) && current && m.report.StagedChange == pending.Change
}

// closedFor reports whether admission is closed for the current attempt at the change.
func (r Report) closedFor(pending *PendingChange) bool {
	return r.AdmissionClosedFor == pending.Change && r.Attempt == pending.Attempt
}

// lastReport describes how long ago the latest report arrived.
func (m *memberState) lastReport(now time.Duration) string {
	if !m.reported {
		return "not heard of"
	}
	return fmt.Sprintf("last heard of %v ago", (now - m.reportedAt).Round(10*time.Millisecond))
}

// AwaitedMembers returns the instances that the pending change waits for, by name, each with how long its
// lease may last yet.
func (l *Leader) AwaitedMembers(now time.Duration, s *State, p Policy) map[string]time.Duration {
	if s.Pending == nil {
		return nil
	}
	awaited := map[string]time.Duration{}
	for _, x := range s.List() {
		m := l.member(x.Member)
		done := m.report.Epoch == x.Epoch && m.report.StagedChange == s.Pending.Change
		if s.Pending.Phase == ClosingAdmission {
			done = m.report.Epoch == x.Epoch && m.report.closedFor(s.Pending)
		}
		if x.Open && !done {
			awaited[x.Name] = max(l.leaseExpiry(m, p)-now, 0)
		}
	}
	return awaited
}
