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
	Left // by will
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(int(s), 3)]
}

// Policy is how it goes about it.
type Policy struct {
	Probe   time.Duration // one member is probed in each
	Timeout time.Duration // for its answer, before others are asked to try
	Others  int           // who are asked to try
	// A suspicion lasts Least log10(N) probes at the least, where others have come to it, and Most times as
	// many where nobody has.
	Least, Most float64
	Slow        int // the most by which one that is slow itself stretches its times
	Spread      int // a rumour is said Spread log2(N+1) times
	Words       int // rumours in a message
	// While there are rumours to be said, some members are told each Talk. Hazard: on the back of probes
	// alone they would go round as slowly as those do who take themselves to be slow.
	Talk   time.Duration
	Sync   time.Duration
	Forget time.Duration // for how long the dead are remembered
}

// DefaultPolicy has Lifeguard's constants, and a second for each probe.
func DefaultPolicy() Policy {
	return Policy{Probe: time.Second, Timeout: 300 * time.Millisecond, Others: 3, Least: 5, Most: 6, Slow: 8,
		Spread: 4, Words: 8, Talk: 200 * time.Millisecond, Sync: 30 * time.Second, Forget: time.Hour}
}

// suspicion is how long one lasts among n members, when so many others have come to it by themselves.
func (p Policy) suspicion(n, confirmed int) time.Duration {
	least := p.Least * max(1, math.Log10(float64(max(n, 1)))) * float64(p.Probe)
	most := p.Most * least
	k := float64(max(min(p.Others, n-2), 1))
	part := math.Log(float64(confirmed)+1) / math.Log(k+1)
	return time.Duration(max(least, most-(most-least)*part))
}

// sends is how often a rumour is said among n members.
func (p Policy) sends(n int) int {
	return p.Spread * int(math.Ceil(math.Log2(float64(n+1))))
}

// Within is the time within which a death is known to all but with a small chance: until the next probe of a
// shuffled round, with the doubts of who is not slow itself, the longest suspicion, and the rumour's way.
func (p Policy) Within(n int) time.Duration {
	round := time.Duration(2*n) * p.Probe // two rounds in a row, at the worst order
	return round + p.suspicion(n, 0) + 2*time.Duration(math.Ceil(math.Log2(float64(n+1))))*p.Probe
}

// Rumour is a word on a member.
type Rumour struct {
	ID    ID
	State State
	Inc   uint64 // its incarnation: only itself makes a greater one
	By    ID     // of a suspicion: who has come to it
}

func (r Rumour) String() string {
	return fmt.Sprintf("%d is %v (%d, by %d)", r.ID, r.State, r.Inc, r.By)
}

// Kind is what a message is.
type Kind uint8

// The kinds of message.
const (
	Ping Kind = 1 + iota
	Ack
	Ask   // ping Target for me
	Nack  // I have, and it has not answered in time: it is not me who is slow
	Sync  // all that I know; answer with all that you do
	Reply // that
	Tell  // rumours, and nothing else
)

// Message is what one says to another.
type Message struct {
	Kind   Kind
	Seq    uint64 // of the ping that it is about
	Target ID     // of an Ask, and of what answers one
	Words  []Rumour
}

// Out is a message that is to be said.
type Out struct {
	To ID
	Message
}

// mostWords bounds what a message may hold, and mostInc by how much an incarnation may be above what is
// known: more is no rumour but a mistake.
const (
	mostWords = 20_000
	mostInc   = 1 << 20
)

// Belief is what is believed of a member.
type Belief struct {
	ID    ID
	State State
	Inc   uint64
	Since time.Duration
	By    []ID // who suspects it
	// Here is whether this member's own probes get through to it, and since when; one that only others
	// reach is not called failed.
	Here      bool
	HereSince time.Duration
}

// MostPause is for how long members may stand still without being called failed: half of the shortest
// suspicion, so that there is as long to hear of it and to refute it.
func MostPause(p Policy) time.Duration { return p.suspicion(1, 1<<20) / 2 }
