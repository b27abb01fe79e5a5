package consensus

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// memberTracker holds the Raft configuration of the group and when each member was last active.
type memberTracker struct {
	self     uint64
	conf     *pb.ConfState
	lastSeen map[uint64]uint64 // tick of the last message, by member
}

func (t *memberTracker) voter(id uint64) bool { return slices.Contains(t.conf.GetVoters(), id) }

func (t *memberTracker) learner(id uint64) bool { return slices.Contains(t.conf.GetLearners(), id) }

// joint reports whether a joint configuration is in force, that is, a change of the voters is in progress.
func (t *memberTracker) joint() bool { return len(t.conf.GetVotersOutgoing()) > 0 }

// electable reports whether this instance may become the leader.
func (t *memberTracker) electable() bool {
	return t.voter(t.self) || slices.Contains(t.conf.GetVotersOutgoing(), t.self)
}

// observe records that a message of a member arrived.
func (t *memberTracker) observe(member, tick uint64) { t.lastSeen[member] = tick }

// active reports whether a member is this instance or has sent a message within the given number of ticks
// before now.
func (t *memberTracker) active(member, now, within uint64) bool {
	at, ok := t.lastSeen[member]
	return member == t.self || ok && now-at <= within
}
