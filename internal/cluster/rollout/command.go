package rollout

import (
	"errors"
	"fmt"
)

// Kind is the kind of a command. The log contains its numbers, so they must not change.
type Kind uint8

// The kinds of command.
const (
	None            Kind = iota
	OpenSession          // Member may admit jobs, in a session with a new epoch
	ExpireSessions       // the leases of Sessions are guaranteed to have expired
	CloseAdmission       // all of Sessions have staged the change; admission is closed
	Commit               // all of Sessions have stopped admitting; the change comes into force
	ReopenAdmission      // admit jobs under the old configuration, then retry the change
	Withdraw             // the pending change is dropped
	SetAside             // an operator states that Member is not serving
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"none", "open session", "expire sessions", "close admission", "commit",
		"reopen admission", "withdraw", "set aside"}[min(int(k), int(SetAside))]
}

// LeaderDecision reports whether commands of this kind are decided by the leader of a term. Such a command
// has no effect in the log of another leader.
func (k Kind) LeaderDecision() bool { return k != Withdraw && k != SetAside }

// Command is a command in the replicated log.
type Command struct {
	Kind        Kind        `json:"kind"`
	ID          string      `json:"id,omitempty"`   // of the operator's request, to wait for the outcome
	Term        uint64      `json:"term,omitempty"` // of the leader that decided; 0 for an operator's command
	Change      string      `json:"change,omitempty"`
	Attempt     int         `json:"attempt,omitempty"`
	Member      uint64      `json:"member,omitempty"`
	Name        string      `json:"name,omitempty"`
	Incarnation uint64      `json:"nonce,omitempty"`
	Sessions    []SessionID `json:"seats,omitempty"` // that the leader's decision is based on
	Reason      string      `json:"reason,omitempty"`
	AtMS        int64       `json:"at_ms,omitempty"` // wall clock in Unix milliseconds, for display only
}

// Texts that are part of the replicated state, so they must not change.
const (
	reasonLeaseExpired = "its lease ran out"
	reasonSetAside     = "set aside by an operator"
)

// Apply applies a command, or returns why it has no effect. The caller has to handle the end of the pending
// change: after Commit it is in force, after Withdraw it is dropped.
//
// All instances must compute the same state, including instances that run an older program. The outcome of an
// operator's command is part of the state, and so is its error text, so the texts that are returned or stored
// here must not change.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case OpenSession:
		return s.applyOpenSession(c)
	case ExpireSessions:
		return s.applyExpireSessions(c)
	case SetAside:
		return s.applySetAside(c)
	case CloseAdmission, Commit, ReopenAdmission, Withdraw:
		if err := s.checkPending(c); err != nil {
			return err
		}
		return s.applyToPending(c)
	default:
		return fmt.Errorf("a command of the kind %d is not known", c.Kind)
	}
}

func (s *State) applyOpenSession(c Command) error {
	s.LastEpoch++
	s.Sessions[c.Member] = Session{Member: c.Member, Name: c.Name, Epoch: s.LastEpoch,
		Incarnation: c.Incarnation, Open: true}
	return nil
}

func (s *State) applyExpireSessions(c Command) error {
	for _, id := range c.Sessions {
		if session := s.Sessions[id.Member]; session.Open && session.Epoch == id.Epoch {
			session.Open, session.ClosedReason = false, reasonLeaseExpired
			s.Sessions[id.Member] = session
		}
	}
	return nil
}

func (s *State) applySetAside(c Command) error {
	session, ok := s.Sessions[c.Member]
	if !ok || !session.Open {
		return errors.New("it has no session that is open")
	}
	session.Open, session.Unleased, session.ClosedReason = false, false, reasonSetAside
	s.Sessions[c.Member] = session
	return nil
}

// checkPending returns an error unless the command refers to the pending change and, if the leader decided on
// it, to the current attempt.
func (s *State) checkPending(c Command) error {
	p := s.Pending
	switch {
	case p == nil:
		return errors.New("no change is pending")
	case c.Change != p.Change:
		return fmt.Errorf("the change %q is not pending; %q is", c.Change, p.Change)
	case c.Kind.LeaderDecision() && c.Attempt != p.Attempt:
		return fmt.Errorf("attempt %d is over", c.Attempt)
	}
	return nil
}

// applyToPending applies a command that refers to the pending change.
func (s *State) applyToPending(c Command) error {
	switch c.Kind {
	case CloseAdmission:
		return s.applyCloseAdmission(c)
	case Commit:
		return s.applyCommit(c)
	case ReopenAdmission:
		return s.applyReopenAdmission()
	default: // Withdraw
		s.Pending = nil
		return nil
	}
}

func (s *State) applyCloseAdmission(c Command) error {
	if s.Pending.Phase != Staging {
		return fmt.Errorf("the change is %v", s.Pending.Phase)
	}
	if !s.coversOpenSessions(c.Sessions) {
		return errors.New("an instance that may admit has not staged it")
	}
	s.Pending.Phase = ClosingAdmission
	return nil
}

func (s *State) applyCommit(c Command) error {
	if s.Pending.Phase != ClosingAdmission {
		return fmt.Errorf("the change is %v", s.Pending.Phase)
	}
	if !s.coversOpenSessions(c.Sessions) {
		return errors.New("an instance that may admit has not ceased to")
	}
	s.Pending = nil
	return nil
}

func (s *State) applyReopenAdmission() error {
	if s.Pending.Phase != ClosingAdmission {
		return fmt.Errorf("the change is %v", s.Pending.Phase)
	}
	s.Pending.Phase, s.Pending.Attempt = Staging, s.Pending.Attempt+1
	return nil
}
