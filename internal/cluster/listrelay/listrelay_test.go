package listrelay

import (
	"errors"
	"testing"
	"time"
)

var payload = []byte("x")

// newSyncedSubscriber returns a subscriber that received list generation 5 with fencing token 3 at time 1 s.
func newSyncedSubscriber(t *testing.T) *Subscriber {
	t.Helper()
	s := NewSubscriber(0, 0.5)
	complete := EndpointListUpdate{FencingToken: 3, Generation: 5, Complete: true, Payload: payload}
	if !receive(t, s, time.Second, complete) {
		t.Fatal("a complete list was not applied")
	}
	return s
}

// receive passes an update to the subscriber and fails the test on an error.
func receive(t *testing.T, s *Subscriber, now time.Duration, u EndpointListUpdate) (apply bool) {
	t.Helper()
	apply, err := s.Receive(now, u)
	if err != nil {
		t.Fatalf("receiving %+v: %v", u, err)
	}
	return apply
}

// wantGap passes an update to the subscriber and fails the test unless the error is a *GapError.
func wantGap(t *testing.T, s *Subscriber, now time.Duration, u EndpointListUpdate) {
	t.Helper()
	var gap *GapError
	if _, err := s.Receive(now, u); !errors.As(err, &gap) {
		t.Errorf("receiving %+v: error %v, want a *GapError", u, err)
	}
}

// A subscriber must poll until it has received a complete list, and must reject other updates until then.
func TestSubscriberNeedsACompleteList(t *testing.T) {
	s := NewSubscriber(0, 0.5)
	if !s.ShouldPoll(0) {
		t.Error("subscriber without a list does not poll")
	}
	wantGap(t, s, 0, EndpointListUpdate{FencingToken: 3, Generation: 5}) // a heartbeat
	if newSyncedSubscriber(t).ShouldPoll(time.Second) {
		t.Error("subscriber with a complete list polls")
	}
}

// A change that follows the current list is applied, a heartbeat is not, and a missed change is detected.
func TestSubscriberAppliesConsecutiveChanges(t *testing.T) {
	s := newSyncedSubscriber(t)
	change := EndpointListUpdate{FencingToken: 3, Generation: 6, PreviousGeneration: 5, Payload: payload}
	if !receive(t, s, 2*time.Second, change) {
		t.Error("a change was not applied")
	}
	if receive(t, s, 3*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 6}) {
		t.Error("a heartbeat was applied")
	}
	// A missed change is detected by the next heartbeat and by the next change.
	wantGap(t, s, 4*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 8})
	wantGap(t, s, 4*time.Second,
		EndpointListUpdate{FencingToken: 3, Generation: 8, PreviousGeneration: 7, Payload: payload})
}

// A publisher that was stalled must be rejected once a greater fencing token is known, from another
// publisher's update or from the replicated state.
func TestSubscriberRejectsAStalePublisher(t *testing.T) {
	for name, observe := range map[string]func(s *Subscriber){
		"token from replicated state": func(s *Subscriber) { s.ObserveFencingToken(4) },
		"token from an update": func(s *Subscriber) {
			update := EndpointListUpdate{FencingToken: 4, Generation: 6, Complete: true}
			receive(t, s, 2*time.Second, update)
		},
	} {
		s := newSyncedSubscriber(t)
		observe(s)
		var stale *StalePublisherError
		update := EndpointListUpdate{FencingToken: 3, Generation: 9, Complete: true}
		if _, err := s.Receive(4*time.Second, update); !errors.As(err, &stale) {
			t.Errorf("%s: error %v, want a *StalePublisherError", name, err)
		}
	}
}

// A subscriber must poll once the publisher has been silent for SilenceTimeout plus its jitter, and not
// before.
func TestSubscriberPollsAfterSilence(t *testing.T) {
	s := newSyncedSubscriber(t)
	bound := time.Second + SilenceTimeout + SilenceTimeout/2
	if s.ShouldPoll(bound) || !s.ShouldPoll(bound+1) {
		t.Error("subscriber does not start to poll exactly at the end of its silence timeout")
	}
}

// After a list was invalidated, a heartbeat must be rejected until a complete list has been received.
func TestInvalidatedListNeedsACompleteOne(t *testing.T) {
	s := newSyncedSubscriber(t)
	s.Invalidate()
	wantGap(t, s, 9*time.Second, EndpointListUpdate{FencingToken: 4, Generation: 5})
}

// The first update must be marked complete regardless of discovery's message. Later changes must name the
// generation that they follow.
func TestPublisherBeginsWithACompleteList(t *testing.T) {
	var p Publisher
	if u := p.Publish(4, false, nil); !u.Complete {
		t.Error("the first update is not complete")
	}
	if u := p.Publish(5, false, nil); u.Complete || u.PreviousGeneration != 4 || u.Generation != 5 {
		t.Errorf("got %+v, want a change from generation 4 to 5", u)
	}
	if u := p.Publish(9, true, nil); !u.Complete {
		t.Errorf("got %+v, want a complete list", u)
	}
}
