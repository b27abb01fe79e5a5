package consensus

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// memberTracker knows Raft's configuration of the group, and which members were active lately.
type memberTracker struct {
	self     uint64
	conf     *pb.ConfState
	lastSeen map[uint64]uint64 // the tick of each member's last message
}

func (t *memberTracker) voter(id uint64) bool { return slices.Contains(t.conf.GetVoters(), id) }

func (t *memberTracker) learner(id uint64) bool { return slices.Contains(t.conf.GetLearners(), id) }

// joint reports whether a joint configuration is in force: a change of the voters is half done.
func (t *memberTracker) joint() bool { return len(t.conf.GetVotersOutgoing()) > 0 }

// electable reports whether this instance may be elected.
func (t *memberTracker) electable() bool {
	return t.voter(t.self) || slices.Contains(t.conf.GetVotersOutgoing(), t.self)
}

func (t *memberTracker) observe(member, tick uint64) { t.lastSeen[member] = tick }

// active reports whether a member sent a message within the last ticks.
func (t *memberTracker) active(member, now, within uint64) bool {
	at, ok := t.lastSeen[member]
	return member == t.self || ok && now-at <= within
}
