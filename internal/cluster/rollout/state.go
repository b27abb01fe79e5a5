// Package rollout has a change of policy take hold at all instances that serve, or at none.
//
// It is three state machines without I/O, clock or goroutine. State is part of what a group
// agrees on: who may admit jobs (sessions), and how far a change has come. Holder is an
// instance's side: whether it may admit now. Leader is the leader's side: it grants leases and
// judges when a change may go on. Package consensus carries what they say to each other.
//
// A change's life, each step an entry of the agreed log:
//
//	staging   every instance makes itself ready, and says so or why it can't
//	holding   every one that may admit has ceased to, and says so
//	in force  all go on, under the new policy; or withdrawn: all go on under the old one
//
// Who does not answer is waited for until its lease has surely run out. The promise: no
// instance admits under a policy after another has admitted under a later one.
package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Pace bounds how unlike two instances' clocks may run: one may pass between 60% and 140% of
// the time that the other does. Past that, a lease may be counted as over that is not.
const (
	slowest = 0.6
	fastest = 1.4
)

// ExpiryWait is how long a lease must have been granted for before it has surely run out, whatever
// the two clocks' paces are.
func ExpiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*fastest/slowest*1.05) + time.Millisecond
}

// Phase is how far a change has come.
type Phase uint8

// The phases of a change that is neither in force nor withdrawn.
const (
	Staging Phase = 1 + iota
	ClosingAdmission
)

func (p Phase) String() string { return [...]string{"", "staging", "taking hold"}[min(int(p), 2)] }

// PendingChange is a change that has been proposed and not decided.
type PendingChange struct {
	Change   string `json:"change"` // its id
	Revision uint64 `json:"revision"`
	Phase    Phase  `json:"phase"`
	Attempt  int    `json:"attempt"` // how often it has begun to take hold, and one more
}

// Session is an instance's right to admit jobs. At most one life of an instance has it.
type Session struct {
	Member uint64 `json:"member"`
	Name   string `json:"name"`
	// Epoch only grows, over all sessions of the group.
	Epoch uint64 `json:"epoch"`
	// Incarnation is the life that it was opened for: a process drew it when it started.
	Incarnation uint64 `json:"nonce"`
	Open        bool   `json:"open"`
	// ClosedReason it is not open.
	ClosedReason string `json:"why,omitempty"`
	// Unleased: the instance may serve without a lease, for it began to before there were any.
	// It can't be counted as over before the instance has been heard of.
	Unleased bool `json:"loose,omitempty"`
}

// SessionID names a session: an instance and its epoch.
type SessionID struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// State is the agreed part.
type State struct {
	Sessions  map[uint64]Session
	LastEpoch uint64
	Pending   *PendingChange
}

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	None            Kind = iota
	OpenSession          // Member may admit, under a new epoch
	ExpireSessions       // the sessions of Seats have surely ended
	CloseAdmission       // all of Seats have staged the change: cease to admit
	Commit               // all of Seats have ceased to: the change is in force
	ReopenAdmission      // go on under the old policy, and try again
	Withdraw             // the change is no more
	SetAside             // an operator's word that Member does not serve
)

func (k Kind) String() string {
	return [...]string{"none", "open", "lapse", "hold", "decide", "reopen", "withdraw",
		"set aside"}[min(int(k), 7)]
}

// LeaderDecision says whether a command is the leader's judgement. Such a one is void in the log of
// another leader than the one that judged.
func (k Kind) LeaderDecision() bool { return k != Withdraw && k != SetAside }

// Command is a step in the agreed log.
type Command struct {
	Kind        Kind        `json:"kind"`
	ID          string      `json:"id,omitempty"`   // an operator's, to be answered
	Term        uint64      `json:"term,omitempty"` // the leader's that judged; 0: an operator's word
	Change      string      `json:"change,omitempty"`
	Attempt     int         `json:"attempt,omitempty"`
	Member      uint64      `json:"member,omitempty"`
	Name        string      `json:"name,omitempty"`
	Incarnation uint64      `json:"nonce,omitempty"`
	Sessions    []SessionID `json:"seats,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	AtMS        int64       `json:"at_ms,omitempty"` // told to people, used for nothing
}

// NewState is the state of a group without sessions.
func NewState() *State { return &State{Sessions: map[uint64]Session{}} }

// OpenSessions lists the open sessions.
func (s *State) OpenSessions() []SessionID {
	var list []SessionID
	for _, k := range slices.Sorted(maps.Keys(s.Sessions)) {
		if x := s.Sessions[k]; x.Open {
			list = append(list, SessionID{x.Member, x.Epoch})
		}
	}
	return list
}

// List gives the sessions by name.
func (s *State) List() []Session {
	return slices.SortedFunc(maps.Values(s.Sessions), func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Member, b.Member))
	})
}

// covered says whether the evidence names every open session. Hazard: one may have been opened
// between the leader's look and this entry.
func (s *State) covered(evidence []SessionID) bool {
	return !slices.ContainsFunc(
		s.OpenSessions(),
		func(o SessionID) bool { return !slices.Contains(evidence, o) },
	)
}

// Apply applies a command, or says why it does nothing. What became of the pending change is
// the caller's to act on: on Decide it is in force, on Withdraw it is dropped.
func (s *State) Apply(c Command) error {
	p := s.Pending
	if c.Kind == CloseAdmission || c.Kind == Commit || c.Kind == ReopenAdmission || c.Kind == Withdraw {
		switch {
		case p == nil:
			return fmt.Errorf("no change is pending")
		case c.Change != p.Change:
			return fmt.Errorf("the change %q is not pending; %q is", c.Change, p.Change)
		case c.Kind.LeaderDecision() && c.Attempt != p.Attempt:
			return fmt.Errorf("attempt %d is over", c.Attempt)
		}
	}
	switch c.Kind {
	case OpenSession:
		s.LastEpoch++
		s.Sessions[c.Member] = Session{
			Member:      c.Member,
			Name:        c.Name,
			Epoch:       s.LastEpoch,
			Incarnation: c.Incarnation,
			Open:        true,
		}
	case ExpireSessions:
		for _, seat := range c.Sessions {
			if x := s.Sessions[seat.Member]; x.Open && x.Epoch == seat.Epoch {
				x.Open, x.ClosedReason = false, "its lease ran out"
				s.Sessions[seat.Member] = x
			}
		}
	case CloseAdmission:
		if p.Phase != Staging {
			return fmt.Errorf("the change is %v", p.Phase)
		}
		if !s.covered(c.Sessions) {
			return fmt.Errorf("an instance that may admit has not staged it")
		}
		p.Phase = ClosingAdmission
	case Commit:
		if p.Phase != ClosingAdmission {
			return fmt.Errorf("the change is %v", p.Phase)
		}
		if !s.covered(c.Sessions) {
			return fmt.Errorf("an instance that may admit has not ceased to")
		}
		s.Pending = nil
	case ReopenAdmission:
		if p.Phase != ClosingAdmission {
			return fmt.Errorf("the change is %v", p.Phase)
		}
		p.Phase, p.Attempt = Staging, p.Attempt+1
	case Withdraw:
		s.Pending = nil
	case SetAside:
		x, ok := s.Sessions[c.Member]
		if !ok || !x.Open {
			return fmt.Errorf("it has no session that is open")
		}
		x.Open, x.Unleased, x.ClosedReason = false, false, "set aside by an operator"
		s.Sessions[c.Member] = x
	default:
		return fmt.Errorf("a command of the kind %d is not known", c.Kind)
	}
	return nil
}

// AddUnleasedSessions gives every instance that served before there were sessions one that is loose.
func (s *State) AddUnleasedSessions(names map[uint64]string) {
	for _, id := range slices.Sorted(maps.Keys(names)) {
		s.LastEpoch++
		s.Sessions[id] = Session{Member: id, Name: names[id], Epoch: s.LastEpoch, Open: true, Unleased: true}
	}
}

// PruneSessions drops the sessions of instances that are no members and have none open.
func (s *State) PruneSessions(member func(uint64) bool) {
	maps.DeleteFunc(s.Sessions, func(id uint64, x Session) bool { return !x.Open && !member(id) })
}
