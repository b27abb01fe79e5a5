package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Phase is the phase of a pending change. Snapshots contain its numbers, so they must not change.
type Phase uint8

// The phases of a pending change.
const (
	Staging Phase = 1 + iota
	ClosingAdmission
)

// String returns the phase as operators see it. Stored outcomes contain these texts, so they must not change.
func (p Phase) String() string {
	return [...]string{"", "staging", "taking hold"}[min(int(p), int(ClosingAdmission))]
}

// PendingChange is a change that has been proposed and is neither committed nor withdrawn.
type PendingChange struct {
	Change   string `json:"change"` // ID of the change
	Revision uint64 `json:"revision"`
	Phase    Phase  `json:"phase"`
	Attempt  int    `json:"attempt"` // from 1; incremented when admission is reopened without a commit
}

// Session is an instance's right to admit jobs. At most one incarnation of an instance holds it.
type Session struct {
	Member uint64 `json:"member"`
	Name   string `json:"name"`
	// Epoch increases with every session that is opened in the group.
	Epoch uint64 `json:"epoch"`
	// Incarnation identifies the process for which the session was opened, by a random number that the
	// process generated when it started.
	Incarnation uint64 `json:"nonce"`
	Open        bool   `json:"open"`
	// ClosedReason states why the session is not open.
	ClosedReason string `json:"why,omitempty"`
	// Unleased marks a session of an instance that may serve without a lease, because it started to serve
	// before the group had leases. The session can't expire before the instance has reported.
	Unleased bool `json:"loose,omitempty"`
}

// SessionID identifies a session by the instance's member number and the session's epoch. It corresponds to
// placement.Session, with the JSON field names of this package's log entries.
type SessionID struct {
	Member uint64 `json:"member"`
	Epoch  uint64 `json:"epoch"`
}

// State is the replicated state: the sessions and the pending change.
type State struct {
	Sessions  map[uint64]Session // by member
	LastEpoch uint64
	Pending   *PendingChange // nil if no change is pending
}

// NewState returns the state of a group without sessions.
func NewState() *State { return &State{Sessions: map[uint64]Session{}} }

// OpenSessions lists the open sessions by member number.
func (s *State) OpenSessions() []SessionID {
	var open []SessionID
	for _, member := range slices.Sorted(maps.Keys(s.Sessions)) {
		if session := s.Sessions[member]; session.Open {
			open = append(open, SessionID{session.Member, session.Epoch})
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

// coversOpenSessions reports whether the list includes every open session. A session may have been opened
// between the leader's decision and the log entry that contains the decision.
func (s *State) coversOpenSessions(sessions []SessionID) bool {
	return !slices.ContainsFunc(s.OpenSessions(), func(open SessionID) bool {
		return !slices.Contains(sessions, open)
	})
}

// AddUnleasedSessions opens an unleased session for every instance of a group that served before it had
// sessions. The map has the instances' names by member number.
func (s *State) AddUnleasedSessions(names map[uint64]string) {
	for _, member := range slices.Sorted(maps.Keys(names)) {
		s.LastEpoch++
		s.Sessions[member] = Session{Member: member, Name: names[member], Epoch: s.LastEpoch, Open: true,
			Unleased: true}
	}
}

// PruneSessions deletes the closed sessions of instances that are no longer members.
func (s *State) PruneSessions(isMember func(uint64) bool) {
	maps.DeleteFunc(s.Sessions,
		func(member uint64, session Session) bool { return !session.Open && !isMember(member) })
}
