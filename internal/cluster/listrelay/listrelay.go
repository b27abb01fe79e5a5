// Package listrelay relays the endpoint list from the one instance of a group that watches discovery to the
// others. A leased task selects that instance, and its fencing token is part of each update. The payload of
// an update is a complete list or a change of a list, in discovery's own encoding.
//
// The package holds only the rules: Publisher for the instance that watches discovery, Subscriber for each
// other one. They do no I/O, read no clock, start no goroutine and are not safe for concurrent use.
package listrelay

import (
	"fmt"
	"time"
)

// HeartbeatInterval is the interval between a publisher's updates while the list does not change.
const HeartbeatInterval = 500 * time.Millisecond

// SilenceTimeout is how long after the last update a subscriber polls discovery itself. A
// random delay of up to SilenceTimeout is added, so that subscribers don't all start at once.
const SilenceTimeout = 2 * time.Second

// EndpointListUpdate is an update that a publisher sends to its subscribers.
type EndpointListUpdate struct {
	FencingToken       uint64 // fencing token of the publisher's lease
	Generation         int64  // generation of the list, assigned by discovery
	PreviousGeneration int64  // generation of the list that a change applies to
	Complete           bool   // Payload is a complete list, not a change
	Payload            []byte // in discovery's encoding; empty: a heartbeat, the list is unchanged
}

// Publisher creates the updates at the instance that watches discovery. The zero value is ready to use.
type Publisher struct {
	generation int64
	published  bool
}

// Publish returns the update for a payload received from discovery: a complete list, or a change that results
// in the given generation. The first update is always marked complete. The caller sets the fencing token.
func (p *Publisher) Publish(generation int64, complete bool, payload []byte) EndpointListUpdate {
	update := EndpointListUpdate{
		Generation:         generation,
		PreviousGeneration: p.generation,
		Complete:           complete || !p.published,
		Payload:            payload,
	}
	p.generation, p.published = generation, true
	return update
}

// Subscriber decides which updates are applied at an instance that does not watch discovery.
type Subscriber struct {
	fencingToken uint64 // the greatest known
	generation   int64
	synced       bool // a complete list and every update since were received
	lastUpdate   time.Duration
	jitter       time.Duration
}

// NewSubscriber returns a subscriber without a list. jitterFraction is a random number from 0 to 1, the
// fraction of SilenceTimeout that is added to it.
func NewSubscriber(now time.Duration, jitterFraction float64) *Subscriber {
	return &Subscriber{lastUpdate: now, jitter: time.Duration(jitterFraction * float64(SilenceTimeout))}
}

// ObserveFencingToken records the fencing token that the task has in this instance's replicated state.
func (s *Subscriber) ObserveFencingToken(token uint64) { s.fencingToken = max(s.fencingToken, token) }

// GapError reports an update that does not follow the list that the subscriber has.
type GapError struct{ Current, Previous int64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in endpoint list updates: update follows generation %d, have generation %d",
		e.Previous, e.Current)
}

// StalePublisherError reports a publisher whose lease has ended: a later lease has been granted since.
type StalePublisherError struct{ FencingToken, Newest uint64 }

// Error implements error.
func (e *StalePublisherError) Error() string {
	return fmt.Sprintf("stale endpoint list publisher: fencing token %d, the newest is %d",
		e.FencingToken, e.Newest)
}

// Receive reports whether an update's payload must be applied. After an error, a *GapError or a
// *StalePublisherError, the stream must be closed; a new stream starts with a complete list.
func (s *Subscriber) Receive(now time.Duration, u EndpointListUpdate) (apply bool, err error) {
	// A publisher that was stalled may resume sending buffered updates on an open stream after another
	// instance has taken over. Without this check, they would be applied.
	if u.FencingToken < s.fencingToken {
		return false, &StalePublisherError{u.FencingToken, s.fencingToken}
	}
	s.fencingToken = u.FencingToken
	heartbeat := len(u.Payload) == 0
	switch {
	case u.Complete:
		apply = true
	case !s.synced || u.PreviousGeneration != s.generation && !heartbeat:
		return false, &GapError{s.generation, u.PreviousGeneration}
	case heartbeat && u.Generation != s.generation:
		return false, &GapError{s.generation, u.Generation}
	default:
		apply = !heartbeat
	}
	s.synced, s.generation, s.lastUpdate = true, u.Generation, now
	return apply, nil
}

// ShouldPoll reports whether this instance should poll discovery itself now.
func (s *Subscriber) ShouldPoll(now time.Duration) bool {
	return !s.synced || now-s.lastUpdate > SilenceTimeout+s.jitter
}

// Invalidate drops the list. Updates are accepted again once another complete list has been received.
func (s *Subscriber) Invalidate() { s.synced = false }
