// Package lists has one instance of a group ask discovery, and give the list to the others. It is the
// rules of that, without I/O, clock or goroutine: Keeper at the instance that asks, Follower at each
// other. What crosses is discovery's own words: a whole list, or a change of one.
package listrelay

import (
	"fmt"
	"time"
)

// HeartbeatInterval is how often a keeper says that it is there, and SilenceTimeout after how long without a
// word a follower asks discovery by itself; up to as much again passes first, by chance, so that not all
// do so at once.
const (
	HeartbeatInterval = 500 * time.Millisecond
	SilenceTimeout    = 2 * time.Second
)

// EndpointListUpdate is what a keeper tells.
type EndpointListUpdate struct {
	FencingToken       uint64 // the fencing number that it keeps the list under
	Generation         int64  // of the list, as discovery counts
	PreviousGeneration int64  // with a change: the generation that it changes
	Complete           bool   // Text is the whole list
	Payload            []byte // empty: a beat, nothing has changed
}

// Publisher is what the instance that asks discovery knows.
type Publisher struct {
	generation int64
	published  bool
}

// Publish takes discovery's words, and gives what followers are to be told.
func (k *Publisher) Publish(generation int64, whole bool, text []byte) EndpointListUpdate {
	n := EndpointListUpdate{
		Generation:         generation,
		PreviousGeneration: k.generation,
		Complete:           whole || !k.published,
		Payload:            text,
	}
	k.generation, k.published = generation, true
	return n
}

// Generation is the newest that it has heard of.
func (k *Publisher) Generation() int64 { return k.generation }

// Subscriber is what an instance that is told knows.
type Subscriber struct {
	fencingToken uint64
	generation   int64
	synced       bool // it has a whole list from a keeper
	lastUpdate   time.Duration
	jitter       time.Duration
}

// NewSubscriber begins at a time; spread is a part from 0 to 1, drawn.
func NewSubscriber(now time.Duration, spread float64) *Subscriber {
	return &Subscriber{lastUpdate: now, jitter: time.Duration(spread * float64(SilenceTimeout))}
}

// ObserveFencingToken takes the number that the duty has as far as this instance knows.
func (f *Subscriber) ObserveFencingToken(number uint64) { f.fencingToken = max(f.fencingToken, number) }

// GapError is that a change is of a list that this instance does not have.
type GapError struct{ Current, Previous int64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the change is of list %d, and this instance has %d", e.Previous, e.Current)
}

// StaleError is that the teller keeps the list no more.
type StaleError struct{ FencingToken, Newest uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("list keeper: number %d is old, %d is the newest: the sender keeps the list no more",
		e.FencingToken, e.Newest)
}

// Receive says whether the news' text is to be taken over. After an error the stream is of no use: a
// new one begins with the whole list.
func (f *Subscriber) Receive(now time.Duration, n EndpointListUpdate) (take bool, err error) {
	// Hazard: one that stood still wakes with news in its buffers, and a stream that stands.
	if n.FencingToken < f.fencingToken {
		return false, &StaleError{n.FencingToken, f.fencingToken}
	}
	f.fencingToken = n.FencingToken
	switch {
	case n.Complete:
		take = true
	case !f.synced || n.PreviousGeneration != f.generation && len(n.Payload) > 0:
		return false, &GapError{f.generation, n.PreviousGeneration}
	case len(n.Payload) == 0 && n.Generation != f.generation:
		return false, &GapError{f.generation, n.Generation}
	default:
		take = len(n.Payload) > 0
	}
	f.synced, f.generation, f.lastUpdate = true, n.Generation, now
	return take, nil
}

// ShouldPoll says whether this instance is to ask discovery by itself now.
func (f *Subscriber) ShouldPoll(now time.Duration) bool {
	return !f.synced || now-f.lastUpdate > SilenceTimeout+f.jitter
}

// Invalidate is that the keeper's word is too old: another whole list must come before it counts again.
func (f *Subscriber) Invalidate() { f.synced = false }
