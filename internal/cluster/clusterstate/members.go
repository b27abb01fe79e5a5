package clusterstate

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemovedMembers is the maximum number of removed members whose numbers are remembered.
const maxRemovedMembers = 256

// Member is an instance that is a member of the group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Members returns the members in the order of their numbers.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Size returns the number of members.
func (s *State) Size() int { return len(s.members) }

// Member returns the member with the given number.
func (s *State) Member(id uint64) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// MemberByName returns the member with the given name.
func (s *State) MemberByName(name string) (Member, bool) {
	for _, m := range s.members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// WasRemoved reports whether the member with the given number was removed from the group. It is false if the
// removal is no longer remembered (see maxRemovedMembers).
func (s *State) WasRemoved(id uint64) bool { return slices.Contains(s.removed, id) }

// ApplyMembership applies a membership change from the log: it adds or updates the members in put, and
// removes those whose numbers are in remove.
func (s *State) ApplyMembership(put []Member, remove []uint64) {
	for _, m := range put {
		s.members[m.ID] = m
	}
	for _, id := range remove {
		if _, ok := s.members[id]; ok {
			delete(s.members, id)
			s.removed = append(s.removed, id)
		}
	}
	if n := len(s.removed) - maxRemovedMembers; n > 0 {
		s.removed = append(s.removed[:0], s.removed[n:]...)
	}
	// A removed member may admit jobs until its lease expires. So its session is kept until then, and a
	// pending change waits for it.
	s.rollout.PruneSessions(func(id uint64) bool { _, ok := s.members[id]; return ok })
}
