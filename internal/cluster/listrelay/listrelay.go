// Package listrelay has one instance of a group watch discovery, and relay the endpoint list to the others.
// Which instance that is goes by a leased task, whose fencing token comes with each update. What crosses is
// discovery's own encoding: a complete list, or a change of one.
//
// It holds the rules only, without I/O, clock or goroutine: Publisher at the instance that watches,
// Subscriber at each other. Both must be called by one goroutine at a time.
package listrelay

import (
	"fmt"
	"time"
)

// HeartbeatInterval is how often a publisher sends an update while nothing has changed.
const HeartbeatInterval = 500 * time.Millisecond

// SilenceTimeout is how long after the last update a subscriber polls discovery itself. A random time of up
// to as much again is added, so that not all subscribers do so at once.
const SilenceTimeout = 2 * time.Second

// EndpointListUpdate is what a publisher sends to subscribers.
type EndpointListUpdate struct {
	FencingToken       uint64 // of the lease under which the publisher relays the list
	Generation         int64  // of the list, as discovery counts
	PreviousGeneration int64  // of the list that a change applies to
	Complete           bool   // Payload is the complete list, and no change
	Payload            []byte // in discovery's encoding; empty: a heartbeat, nothing has changed
}

// Publisher makes the updates at the instance that watches discovery. The zero value has published nothing.
type Publisher struct {
	generation int64
	published  bool
}

// Publish returns the update for what discovery has sent: a complete list or a change, of a generation. The
// caller fills in the fencing token.
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

// Subscriber decides at every other instance which updates are applied.
type Subscriber struct {
	fencingToken uint64 // the newest known
	generation   int64
	synced       bool // a complete list was received, and nothing was missed since
	lastUpdate   time.Duration
	jitter       time.Duration
}

// NewSubscriber makes a subscriber without a list. Random is a number from 0 to 1 that decides how much
// later than SilenceTimeout it polls.
func NewSubscriber(now time.Duration, random float64) *Subscriber {
	return &Subscriber{lastUpdate: now, jitter: time.Duration(random * float64(SilenceTimeout))}
}

// ObserveFencingToken takes over the task's fencing token by the agreed state as this instance knows it.
func (s *Subscriber) ObserveFencingToken(token uint64) { s.fencingToken = max(s.fencingToken, token) }

// GapError is that an update follows on a list that this subscriber does not have.
type GapError struct{ Current, Previous int64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in the endpoint list's updates: the update follows generation %d, have %d",
		e.Previous, e.Current)
}

// StaleError is that the publisher's lease has ended: another one has been granted since.
type StaleError struct{ FencingToken, Newest uint64 }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale publisher of the endpoint list: fencing token %d, the newest is %d",
		e.FencingToken, e.Newest)
}

// Receive returns whether an update's payload must be applied. After an error, a *GapError or a *StaleError,
// the stream must be closed: a new one begins with a complete list.
func (s *Subscriber) Receive(now time.Duration, u EndpointListUpdate) (apply bool, err error) {
	// Hazard: a publisher that was stalled resumes with updates in its buffers, on a stream that is open.
	if u.FencingToken < s.fencingToken {
		return false, &StaleError{u.FencingToken, s.fencingToken}
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

// ShouldPoll is whether this instance should poll discovery itself now.
func (s *Subscriber) ShouldPoll(now time.Duration) bool {
	return !s.synced || now-s.lastUpdate > SilenceTimeout+s.jitter
}

// Invalidate drops the list: another complete one must be received before updates count.
func (s *Subscriber) Invalidate() { s.synced = false }
