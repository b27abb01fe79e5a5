// Package lists has one instance of a group ask discovery, and give the list to the others. It is the
// rules of that, without I/O, clock or goroutine: Keeper at the instance that asks, Follower at each
// other. What crosses is discovery's own words: a whole list, or a change of one.
package listrelay

import (
	"fmt"
	"time"
)

// Beat is how often a keeper says that it is there, and Silence after how long without a word a
// follower asks discovery by itself; up to as much again passes first, by chance, so that not all
// do so at once.
const (
	Beat    = 500 * time.Millisecond
	Silence = 2 * time.Second
)

// News is what a keeper tells.
type News struct {
	Number     uint64 // the fencing number that it keeps the list under
	Generation int64  // of the list, as discovery counts
	Previous   int64  // with a change: the generation that it changes
	Whole      bool   // Text is the whole list
	Text       []byte // empty: a beat, nothing has changed
}

// Keeper is what the instance that asks discovery knows.
type Keeper struct {
	generation int64
	known      bool
}

// Heard takes discovery's words, and gives what followers are to be told.
func (k *Keeper) Heard(generation int64, whole bool, text []byte) News {
	n := News{Generation: generation, Previous: k.generation, Whole: whole || !k.known, Text: text}
	k.generation, k.known = generation, true
	return n
}

// Generation is the newest that it has heard of.
func (k *Keeper) Generation() int64 { return k.generation }

// Follower is what an instance that is told knows.
type Follower struct {
	number     uint64
	generation int64
	holds      bool // it has a whole list from a keeper
	heard      time.Duration
	spread     time.Duration
}

// NewFollower begins at a time; spread is a part from 0 to 1, drawn.
func NewFollower(now time.Duration, spread float64) *Follower {
	return &Follower{heard: now, spread: time.Duration(spread * float64(Silence))}
}

// Agreed takes the number that the duty has as far as this instance knows.
func (f *Follower) Agreed(number uint64) { f.number = max(f.number, number) }

// GapError is that a change is of a list that this instance does not have.
type GapError struct{ Have, Previous int64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the change is of list %d, and this instance has %d", e.Previous, e.Have)
}

// StaleError is that the teller keeps the list no more.
type StaleError struct{ Number, Newest uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("list keeper: number %d is old, %d is the newest: the sender keeps the list no more",
		e.Number, e.Newest)
}

// Told says whether the news' text is to be taken over. After an error the stream is of no use: a
// new one begins with the whole list.
func (f *Follower) Told(now time.Duration, n News) (take bool, err error) {
	// Hazard: one that stood still wakes with news in its buffers, and a stream that stands.
	if n.Number < f.number {
		return false, &StaleError{n.Number, f.number}
	}
	f.number = n.Number
	switch {
	case n.Whole:
		take = true
	case !f.holds || n.Previous != f.generation && len(n.Text) > 0:
		return false, &GapError{f.generation, n.Previous}
	case len(n.Text) == 0 && n.Generation != f.generation:
		return false, &GapError{f.generation, n.Generation}
	default:
		take = len(n.Text) > 0
	}
	f.holds, f.generation, f.heard = true, n.Generation, now
	return take, nil
}

// Alone says whether this instance is to ask discovery by itself now.
func (f *Follower) Alone(now time.Duration) bool { return !f.holds || now-f.heard > Silence+f.spread }

// Lost is that the keeper's word is too old: another whole list must come before it counts again.
func (f *Follower) Lost() { f.holds = false }
