package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Phase is how far a change has come that is neither committed nor withdrawn. Its numbers stand in snapshots.
type Phase uint8

// The phases of a pending change.
const (
	Staging Phase = 1 + iota
	ClosingAdmission
)

// String returns the phase as operators see it and as it stands in remembered outcomes.
func (p Phase) String() string {
	return [...]string{"", "staging", "taking hold"}[min(int(p), int(ClosingAdmission))]
}

// PendingChange is a change that has been proposed and is neither committed nor withdrawn.
type PendingChange struct {
	Change   string `json:"change"` // its id
	Revision uint64 `json:"revision"`
	Phase    Phase  `json:"phase"`
	Attempt  int    `json:"attempt"` // from 1; grows each time that admission is reopened without a commit
}

// Session is an instance's right to admit jobs. At most one incarnation of an instance has it.
type Session struct {
	Member uint64 `json:"member"`
	Name   string `json:"name"`
	// Epoch only grows, over all sessions of the group.
	Epoch uint64 `json:"epoch"`
	// Incarnation is the process that the session was opened for: a number that it drew when it started.
	Incarnation uint64 `json:"nonce"`
	Open        bool   `json:"open"`
	// ClosedReason is why the session is not open.
	ClosedReason string `json:"why,omitempty"`
	// Unleased: the instance may serve without a lease, for it began to before there were leases. The session
	// can't expire before the instance has reported.
	Unleased bool `json:"loose,omitempty"`
}

// SessionID identifies a session: an instance's member number and the session's epoch. It is
// placement.Session with the field names of this package's entries.
type SessionID struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// State is the replicated state: the sessions and the pending change.
type State struct {
	Sessions  map[uint64]Session // by member
	LastEpoch uint64
	Pending   *PendingChange // nil: no change is pending
}

// NewState returns the state of a group without sessions.
func NewState() *State { return &State{Sessions: map[uint64]Session{}} }

// OpenSessions lists the open sessions by member number.
func (s *State) OpenSessions() []SessionID {
	var open []SessionID
	for _, member := range slices.Sorted(maps.Keys(s.Sessions)) {
		if x := s.Sessions[member]; x.Open {
			open = append(open, SessionID{x.Member, x.Epoch})
		}
	}
	return open
}

// List returns all sessions sorted by the instances' names.
func (s *State) List() []Session {
	return slices.SortedFunc(maps.Values(s.Sessions), func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Member, b.Member))
	})
}

// coversOpenSessions reports whether the sessions include every open one. Hazard: one may have been opened
// between the leader's decision and the entry that carries it.
func (s *State) coversOpenSessions(sessions []SessionID) bool {
	return !slices.ContainsFunc(s.OpenSessions(), func(open SessionID) bool {
		return !slices.Contains(sessions, open)
	})
}

// AddUnleasedSessions opens an unleased session for every instance, by member number and name, of a group
// that served before there were sessions.
func (s *State) AddUnleasedSessions(names map[uint64]string) {
	for _, member := range slices.Sorted(maps.Keys(names)) {
		s.LastEpoch++
		s.Sessions[member] = Session{Member: member, Name: names[member], Epoch: s.LastEpoch, Open: true,
			Unleased: true}
	}
}

// PruneSessions drops the closed sessions of instances that are not members.
func (s *State) PruneSessions(isMember func(uint64) bool) {
	maps.DeleteFunc(s.Sessions, func(member uint64, x Session) bool { return !x.Open && !isMember(member) })
}
