package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Leader is the leader's side, for one term: made when it has applied an entry of that term,
// and so all that any leader before it has decided.
type Leader struct {
	term  uint64
	began time.Duration
	last  time.Duration
	seats map[uint64]*seat

	pending PendingChange // as last seen
	since   time.Duration // when it was first seen so
	whole   time.Duration // when its change was first seen
	asked   map[string]time.Duration
}

// seat is what is known of an instance in this term.
type seat struct {
	report  Report
	heard   time.Duration
	known   bool
	fresh   bool          // the report has opened no session
	expires time.Duration // when its lease has surely run out; 0: it has been granted none
	lapsing uint64        // the epoch that this leader has asked to be counted as over
	epoch   uint64        // of the session, as seen last
	seen    time.Duration // when it was first
}

// NewLeader begins a term.
func NewLeader(now time.Duration, term uint64) *Leader {
	return &Leader{term: term, began: now, last: now, seats: map[uint64]*seat{},
		asked: map[string]time.Duration{}}
}

// Term is the term that it judges in.
func (l *Leader) Term() uint64 { return l.term }

func (l *Leader) seat(member uint64) *seat {
	x := l.seats[member]
	if x == nil {
		x = &seat{}
		l.seats[member] = x
	}
	return x
}

// ObserveReport takes an instance's report.
func (l *Leader) ObserveReport(now time.Duration, r Report) {
	x := l.seat(r.Member)
	// Hazard: one that was sent earlier may come later.
	if x.known && x.report.Incarnation == r.Incarnation && r.RequestedAt < x.report.RequestedAt {
		return
	}
	x.report, x.heard, x.known, x.fresh = r, now, true, true
}

// Grant answers a report. The caller has made sure, after the report came, that this instance
// leads still, and has applied all that was decided until then. Hazard: without that, a leader
// that has been deposed would grant what the next one counts as over.
func (l *Leader) Grant(now time.Duration, r Report, s *State, p Policy) Grant {
	g := Grant{Epoch: r.Epoch, RequestedAt: r.RequestedAt}
	session := s.Sessions[r.Member]
	x := l.seat(r.Member)
	if !session.Open || session.Epoch != r.Epoch || x.lapsing == r.Epoch {
		return g
	}
	g.Duration = p.Lease
	x.expires = max(x.expires, now+ExpiryWait(p.Lease))
	return g
}

// expires is when the lease of a session has surely run out. One that this leader has granted
// nothing may have been granted something by the leader before it, at most until this term began;
// and one that was just opened is yet to ask.
func (l *Leader) expires(x Session, p Policy) time.Duration {
	seat := l.seat(x.Member)
	return max(seat.expires, l.began+ExpiryWait(p.Lease), seat.seen+ExpiryWait(p.Lease))
}

// LeaseExpired says whether a member's lease has surely run out, whichever session it was for.
func (l *Leader) LeaseExpired(now time.Duration, member uint64, p Policy) bool {
	x := l.seat(member)
	return now >= max(x.expires, l.began+ExpiryWait(p.Lease), x.seen+ExpiryWait(p.Lease))
}

// Healthy says whether a member has been heard of within a time.
func (l *Leader) Healthy(now time.Duration, member uint64, within time.Duration) bool {
	x := l.seat(member)
	return x.known && now-x.heard <= within
}

// over says whether a session has surely ended.
func (l *Leader) over(now time.Duration, x Session, p Policy) bool {
	if p.WhenIsolated == KeepServing || x.Unleased && !l.seat(x.Member).known {
		return false
	}
	return now >= l.expires(x, p)
}

// once says whether it is time to ask for something, for the first time or again.
func (l *Leader) once(now time.Duration, p Policy, kind Kind, what string) bool {
	key := kind.String() + what
	if at, ok := l.asked[key]; ok && now-at < p.Lease/2 {
		return false
	}
	l.asked[key] = now
	return true
}

// Evaluate judges what must be decided now. The commands are to be proposed in this term, and are
// void in the log of another leader.
func (l *Leader) Evaluate(now time.Duration, s *State, p Policy, names map[uint64]string) []Command {
	// Hazard: after a stall the reports wait in a queue behind this look, and all would seem to be
	// gone. It is as if the term began now.
	if now-l.last > p.Lease/2 {
		l.began = now
	}
	l.last = now
	if len(l.asked) > 4096 {
		clear(l.asked)
	}
	var out []Command
	for _, id := range sortedKeys(names) {
		x := l.seat(id)
		session := s.Sessions[id]
		opened := session.Open && session.Incarnation == x.report.Incarnation // it is yet to learn so
		// Hazard: the last word of one that has died since would open its session for ever.
		if x.fresh && x.report.Epoch == 0 && !opened {
			x.fresh = false
			// Hazard: words that a cut has held back come all at once, and each would open one more.
			if l.once(now, p, OpenSession, fmt.Sprint(id, x.report.Incarnation, session.Epoch)) {
				out = append(out, Command{Kind: OpenSession, Term: l.term, Member: id, Name: names[id],
					Incarnation: x.report.Incarnation})
			}
		}
	}
	var lapsed []SessionID
	for _, x := range s.List() {
		if seat := l.seat(x.Member); seat.epoch != x.Epoch {
			seat.epoch, seat.seen = x.Epoch, now
		}
		if x.Open && l.over(now, x, p) {
			if l.once(now, p, ExpireSessions, fmt.Sprint(x.Member, x.Epoch)) {
				lapsed = append(lapsed, SessionID{x.Member, x.Epoch})
				// Hazard: once asked for, it may be agreed on at any time: nothing is granted for
				// this epoch any more.
				l.seat(x.Member).lapsing = x.Epoch
			}
		}
	}
	if len(lapsed) > 0 {
		out = append(out, Command{Kind: ExpireSessions, Term: l.term, Sessions: lapsed})
	}
	if s.Pending == nil {
		l.pending = PendingChange{}
		return out
	}
	if c, ok := l.judge(now, s, p); ok && l.once(now, p, c.Kind, fmt.Sprint(c.Change, c.Attempt,
		len(s.OpenSessions()), s.LastEpoch)) {
		out = append(out, c)
	}
	return out
}

// judge says what the pending change must do now.
func (l *Leader) judge(now time.Duration, s *State, p Policy) (Command, bool) {
	c := Command{
		Term:     l.term,
		Change:   s.Pending.Change,
		Attempt:  s.Pending.Attempt,
		Sessions: s.OpenSessions(),
	}
	if l.pending.Change != s.Pending.Change {
		l.whole = now
	}
	if l.pending != *s.Pending {
		l.pending, l.since = *s.Pending, now
	}
	var missing []string
	for _, x := range s.List() {
		if !x.Open {
			continue
		}
		seat := l.seat(x.Member)
		r := seat.report
		current := seat.known && r.Epoch == x.Epoch
		if current && r.StagedChange == c.Change && len(r.Problems) > 0 {
			c.Kind, c.Reason = Withdraw, x.Name+" refuses it: "+strings.Join(r.Problems, "; ")
			return c, true
		}
		// After a first attempt, one that has said nothing since is asked again: it may be the one
		// that stood in the way.
		fresh := s.Pending.Attempt == 1 || seat.heard >= l.since
		ok := current && fresh && r.StagedChange == c.Change
		if s.Pending.Phase == ClosingAdmission {
			ok = current && r.AdmissionClosedFor == c.Change && r.Attempt == c.Attempt
		}
		if !ok {
			missing = append(missing, fmt.Sprintf("%s (%s)", x.Name, l.silence(now, seat)))
		}
	}
	switch {
	case len(missing) == 0 && s.Pending.Phase == Staging:
		c.Kind = CloseAdmission
	case len(missing) == 0:
		c.Kind = Commit
	case s.Pending.Phase == ClosingAdmission && now-l.since > p.MaxAdmissionPause:
		c.Kind = ReopenAdmission
	case s.Pending.Phase == Staging && now-l.whole > p.StagingTimeout:
		c.Kind = Withdraw
		c.Reason = fmt.Sprintf("no word within %v of %s", p.StagingTimeout, strings.Join(missing, ", "))
	default:
		return c, false
	}
	return c, true
}

// LatestReports is what each instance has said last: the revision that its fronts run, and the change
// that it is ready for.
func (l *Leader) LatestReports() (running map[uint64]uint64, ready map[uint64]string) {
	running, ready = map[uint64]uint64{}, map[uint64]string{}
	for id, x := range l.seats {
		if x.known {
			running[id] = x.report.RunningRevision
			if len(x.report.Problems) == 0 {
				ready[id] = x.report.StagedChange
			}
		}
	}
	return running, ready
}

func (l *Leader) silence(now time.Duration, x *seat) string {
	if !x.known {
		return "not heard of"
	}
	return fmt.Sprintf("last heard of %v ago", (now - x.heard).Round(10*time.Millisecond))
}

// AwaitedMembers names the instances that the pending change waits for, with until when the lease of
// each may last.
func (l *Leader) AwaitedMembers(now time.Duration, s *State, p Policy) map[string]time.Duration {
	if s.Pending == nil {
		return nil
	}
	out := map[string]time.Duration{}
	for _, x := range s.List() {
		r := l.seat(x.Member).report
		done := r.Epoch == x.Epoch && r.StagedChange == s.Pending.Change
		if s.Pending.Phase == ClosingAdmission {
			done = r.Epoch == x.Epoch && r.AdmissionClosedFor == s.Pending.Change &&
				r.Attempt == s.Pending.Attempt
		}
		if x.Open && !done {
			out[x.Name] = max(l.expires(x, p)-now, 0)
		}
	}
	return out
}

func sortedKeys(m map[uint64]string) []uint64 {
	list := make([]uint64, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}
