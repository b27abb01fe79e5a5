package placement

import "math"

// Session identifies an instance's session: its member number and the session's epoch. The zero value means
// no session.
//
// The field names are part of the stored format: schedule.Item encodes a Session as JSON without tags.
type Session struct {
	Member uint64
	Epoch  uint64
}

// Member is an instance that may own shards.
type Member struct {
	Session
	Name   string
	Weight float64 // relative to the other members' weights; a value that is not above 0 counts as 1
}

func (m *Member) weight() float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

// View is the set of instances that may own shards.
type View struct {
	// Number grows with every change of the set. Numbers are not consecutive.
	Number  uint64
	Members []Member // sorted by member number
	// Expired contains the sessions that this view removed from the set and that have certainly ended: their
	// lease has expired, or their process has exited. Any other removed session may act until its lease
	// expires.
	Expired []Session
}

// epochShift leaves the low 16 bits of a view's number for the count of open sessions.
const epochShift = 16

// ViewNumber returns the number of the view of a group whose newest session has the given epoch and that has
// the given count of open sessions.
//
// The number is derived, because a separate one would be another value to agree on and to store in snapshots.
// It grows with every change: a new session has a new epoch, which only grows, and while the epoch stays the
// same sessions can only close, so that the count only shrinks.
func ViewNumber(epoch uint64, open int) uint64 {
	return epoch<<epochShift | uint64(math.MaxUint16-min(open, math.MaxUint16))
}
