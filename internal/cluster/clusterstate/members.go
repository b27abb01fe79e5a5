package clusterstate

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemovedMembers is how many removed members are remembered by their numbers.
const maxRemovedMembers = 256

// Member is an instance of the group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Members lists the instances, by number.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Size returns how many instances there are.
func (s *State) Size() int { return len(s.members) }

// Member returns the instance of that number.
func (s *State) Member(id uint64) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// MemberByName returns the instance of that name.
func (s *State) MemberByName(name string) (Member, bool) {
	for _, m := range s.members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// WasRemoved reports whether an instance of that number was removed from the group, as far as that is
// remembered.
func (s *State) WasRemoved(id uint64) bool { return slices.Contains(s.removed, id) }

// ApplyMembership applies a change of the members that is in the log.
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
	// Hazard: one that has been removed may admit jobs until its lease ends. Its session stays
	// until then, and a change waits for it.
	s.rollout.PruneSessions(func(id uint64) bool { _, ok := s.members[id]; return ok })
}
