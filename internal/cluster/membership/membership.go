// Package membership finds out who is there: by probes, by others' probes where its own fail, and by
// rumours that go along with them. It follows SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's
// extensions (Dadgar, Phillips, Currey, 2017): who is slow itself doubts itself first, and a suspicion
// lasts the shorter the more have come to it by themselves.
//
// What it says is a belief, with a stated error. Nothing that must never happen may rest on it: leases do
// not.
//
// Machine is a state machine with a seed: no I/O, no clock, no goroutine. An event and the time go in,
// what is to be said comes out.
package membership

import (
	"fmt"
	"math"
	"time"
)

// ID is a member's number.
type ID uint64

// State is what is believed of a member.
type State uint8

// The states of a member. Of two rumours of one incarnation the greater state holds.
const (
	Alive State = iota
	Suspect
	Failed
	Departed // by will
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(int(s), 3)]
}

// Policy is how it goes about it.
type Policy struct {
	ProbeInterval  time.Duration // one member is probed in each
	ProbeTimeout   time.Duration // for its answer, before others are asked to try
	IndirectProbes int           // who are asked to try
	// A suspicion lasts SuspicionMult log10(N) probes at the least, where others have come to it, and
	// SuspicionMaxMult times as many where nobody has.
	SuspicionMult, SuspicionMaxMult float64
	MaxHealthScore                  int // the most by which one that is slow itself stretches its times
	RetransmitMult                  int // a rumour is said Spread log2(N+1) times
	MaxPiggyback                    int // rumours in a message
	// While there are rumours to be said, some members are told each GossipInterval. Hazard: on the back of
	// probes alone they would go round as slowly as those do who take themselves to be slow.
	GossipInterval  time.Duration
	SyncInterval    time.Duration
	FailedRetention time.Duration // for how long the dead are remembered
}

// DefaultPolicy has Lifeguard's constants, and a second for each probe.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionMult:    5,
		SuspicionMaxMult: 6,
		MaxHealthScore:   8,
		RetransmitMult:   4,
		MaxPiggyback:     8,
		GossipInterval:   200 * time.Millisecond,
		SyncInterval:     30 * time.Second,
		FailedRetention:  time.Hour,
	}
}

// suspicionTimeout is how long one lasts among n members, when so many others have come to it by themselves.
func (p Policy) suspicionTimeout(n, confirmed int) time.Duration {
	least := p.SuspicionMult * max(1, math.Log10(float64(max(n, 1)))) * float64(p.ProbeInterval)
	most := p.SuspicionMaxMult * least
	k := float64(max(min(p.IndirectProbes, n-2), 1))
	part := math.Log(float64(confirmed)+1) / math.Log(k+1)
	return time.Duration(max(least, most-(most-least)*part))
}

// retransmits is how often a rumour is said among n members.
func (p Policy) retransmits(n int) int {
	return p.RetransmitMult * int(math.Ceil(math.Log2(float64(n+1))))
}

// DetectionBound is the time within which a death is known to all but with a small chance: until the next
// probe of a shuffled round, with the doubts of who is not slow itself, the longest suspicion, and the
// rumour's way.
func (p Policy) DetectionBound(n int) time.Duration {
	round := time.Duration(2*n) * p.ProbeInterval // two rounds in a row, at the worst order
	return round + p.suspicionTimeout(
		n,
		0,
	) + 2*time.Duration(
		math.Ceil(math.Log2(float64(n+1))),
	)*p.ProbeInterval
}

// Update is a word on a member.
type Update struct {
	ID          ID
	State       State
	Incarnation uint64 // its incarnation: only itself makes a greater one
	ReportedBy  ID     // of a suspicion: who has come to it
}

func (r Update) String() string {
	return fmt.Sprintf("%d is %v (%d, by %d)", r.ID, r.State, r.Incarnation, r.ReportedBy)
}

// MessageKind is what a message is.
type MessageKind uint8

// The kinds of message.
const (
	Ping MessageKind = 1 + iota
	Ack
	IndirectPing // ping Target for me
	Nack         // I have, and it has not answered in time: it is not me who is slow
	SyncRequest  // all that I know; answer with all that you do
	SyncReply    // that
	Gossip       // rumours, and nothing else
)

// Message is what one says to another.
type Message struct {
	Kind    MessageKind
	Seq     uint64 // of the ping that it is about
	Target  ID     // of an Ask, and of what answers one
	Updates []Update
}

// Outbound is a message that is to be said.
type Outbound struct {
	To ID
	Message
}

// maxUpdates bounds what a message may hold, and maxIncarnationJump by how much an incarnation may be above
// what is known: more is no rumour but a mistake.
const (
	maxUpdates         = 20_000
	maxIncarnationJump = 1 << 20
)

// MemberState is what is believed of a member.
type MemberState struct {
	ID          ID
	State       State
	Incarnation uint64
	Since       time.Duration
	SuspectedBy []ID // who suspects it
	// Reachable is whether this member's own probes get through to it, and since when; one that only others
	// reach is not called failed.
	Reachable      bool
	ReachableSince time.Duration
}

// MaxPause is for how long members may stand still without being called failed: half of the shortest
// suspicion, so that there is as long to hear of it and to refute it.
func MaxPause(p Policy) time.Duration { return p.suspicionTimeout(1, 1<<20) / 2 }
