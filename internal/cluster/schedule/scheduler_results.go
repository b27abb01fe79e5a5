package schedule

import (
	"maps"
	"time"
)

const (
	// orphanGraceLeases is how long, in leases, the scheduler waits for the former session's result of an
	// orphaned firing whose job may not be sent again.
	orphanGraceLeases = 10
	// maxResultsPerCommand is the largest number of results in a command.
	maxResultsPerCommand = 2000
)

// pendingResult is a result that is not known to be in the replicated state.
type pendingResult struct {
	session Session // the session that reports the result
	result  Result
	sentAt  time.Duration
	sent    bool
}

// RecordResult adds the result of a firing that belongs to one of this instance's sessions. The result is
// proposed repeatedly until the replicated state contains it.
func (sc *Scheduler) RecordResult(number uint64, session Session, r Result) {
	if _, known := sc.pendingResults[number]; !known {
		sc.pendingResults[number] = pendingResult{session: session, result: r}
	}
}

// recordResults proposes the pending results. Results of a session that has ended are included unless another
// session has adopted the firing.
func (sc *Scheduler) recordResults(s *State, in Input) (out []Command) {
	bySession := map[Session]*Command{}
	for n, x := range sc.pendingResults {
		if f, open := s.OpenFiring(n); !open && n <= s.LastNumber || open && f.Session != x.session {
			delete(sc.pendingResults, n)
			continue
		}
		if x.sent && in.Now-x.sentAt < in.LeaseDuration {
			continue
		}
		x.sentAt, x.sent = in.Now, true
		sc.pendingResults[n] = x
		c := bySession[x.session]
		if c == nil {
			c = &Command{Kind: RecordResults, Session: x.session}
			bySession[x.session] = c
		}
		c.Numbers, c.Results = append(c.Numbers, n), append(c.Results, x.result)
		if len(c.Numbers) >= maxResultsPerCommand {
			out = append(out, *c)
			delete(bySession, x.session)
		}
	}
	for _, c := range bySession {
		out = append(out, *c)
	}
	return out
}

// resolveOrphans proposes to adopt or to finish the orphaned firings of the shards that this instance owns.
func (sc *Scheduler) resolveOrphans(s *State, in Input) []Command {
	c := Command{Kind: ResolveOrphans, Session: in.Session}
	for n, f := range s.open {
		if !f.Orphaned || !s.ownsTrigger(in.Session, f.Trigger) {
			continue
		}
		if at, sent := sc.resolveSentAt[n]; sent && in.Now-at < in.LeaseDuration {
			continue
		}
		// The former session's process may still be alive and report the result, or that it never started the
		// job.
		if _, known := sc.orphanSeenAt[n]; !known {
			sc.orphanSeenAt[n] = in.Now
		}
		result := sc.orphanResult(f, in)
		if result == Unknown && in.Now-sc.orphanSeenAt[n] < orphanGraceLeases*in.LeaseDuration {
			continue
		}
		sc.resolveSentAt[n] = in.Now
		c.Numbers, c.Results = append(c.Numbers, n), append(c.Results, result)
	}
	isFinished := func(n uint64, _ time.Duration) bool { return s.open[n] == nil }
	maps.DeleteFunc(sc.orphanSeenAt, isFinished)
	maps.DeleteFunc(sc.resolveSentAt, isFinished)
	if len(c.Numbers) == 0 {
		return nil
	}
	return []Command{c}
}

// orphanResult returns Succeeded if an orphaned firing may be adopted, otherwise Unknown.
func (sc *Scheduler) orphanResult(f *Firing, in Input) Result {
	k := sc.policy.indexOf(f.Trigger)
	// Both times are whole seconds, so up to one more second may have passed.
	age := time.Duration(in.ClusterTime-f.IntendedAt+1) * time.Second
	if f.NeverStarted || k >= 0 && in.Retryable(&sc.policy.Triggers[k], age) {
		return Succeeded
	}
	return Unknown
}
