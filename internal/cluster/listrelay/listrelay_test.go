package listrelay

import (
	"errors"
	"testing"
	"time"
)

var payload = []byte("x")

// newSynced returns a subscriber with list 5 under the fencing token 3, received after a second.
func newSynced(t *testing.T) *Subscriber {
	t.Helper()
	s := NewSubscriber(0, 0.5)
	complete := EndpointListUpdate{FencingToken: 3, Generation: 5, Complete: true, Payload: payload}
	if !receive(t, s, time.Second, complete) {
		t.Fatal("a complete list is not applied")
	}
	return s
}

// receive has an update received that must not fail.
func receive(t *testing.T, s *Subscriber, now time.Duration, u EndpointListUpdate) (apply bool) {
	t.Helper()
	apply, err := s.Receive(now, u)
	if err != nil {
		t.Fatalf("%+v: %v", u, err)
	}
	return apply
}

// wantGap has an update received that must fail with a GapError.
func wantGap(t *testing.T, s *Subscriber, now time.Duration, u EndpointListUpdate) {
	t.Helper()
	var gap *GapError
	if _, err := s.Receive(now, u); !errors.As(err, &gap) {
		t.Errorf("%+v: %v", u, err)
	}
}

// A subscriber polls until it has a complete list, and nothing else counts before.
func TestSubscriberNeedsACompleteList(t *testing.T) {
	s := NewSubscriber(0, 0.5)
	if !s.ShouldPoll(0) {
		t.Error("it does not poll without a list")
	}
	wantGap(t, s, 0, EndpointListUpdate{FencingToken: 3, Generation: 5}) // a heartbeat
	if newSynced(t).ShouldPoll(time.Second) {
		t.Error("it polls with a complete list")
	}
}

// A change of the list is applied, and a heartbeat is not.
func TestSubscriberAppliesConsecutiveChanges(t *testing.T) {
	s := newSynced(t)
	change := EndpointListUpdate{FencingToken: 3, Generation: 6, PreviousGeneration: 5, Payload: payload}
	if !receive(t, s, 2*time.Second, change) {
		t.Error("a change is not applied")
	}
	if receive(t, s, 3*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 6}) {
		t.Error("a heartbeat is taken for a list")
	}
	// A change was missed: a heartbeat shows it, and so does the next change.
	wantGap(t, s, 4*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 8})
	wantGap(t, s, 4*time.Second,
		EndpointListUpdate{FencingToken: 3, Generation: 8, PreviousGeneration: 7, Payload: payload})
}

// A publisher that was stalled is rejected once another one is known, by an update or by the agreed state.
func TestSubscriberRejectsAStalePublisher(t *testing.T) {
	for name, observe := range map[string]func(s *Subscriber){
		"by the agreed state": func(s *Subscriber) { s.ObserveFencingToken(4) },
		"by an update": func(s *Subscriber) {
			update := EndpointListUpdate{FencingToken: 4, Generation: 6, Complete: true}
			receive(t, s, 2*time.Second, update)
		},
	} {
		s := newSynced(t)
		observe(s)
		var stale *StaleError
		update := EndpointListUpdate{FencingToken: 3, Generation: 9, Complete: true}
		if _, err := s.Receive(4*time.Second, update); !errors.As(err, &stale) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A subscriber polls once the publisher has been silent for its bound, and not before.
func TestSubscriberPollsAfterSilence(t *testing.T) {
	s := newSynced(t)
	bound := time.Second + SilenceTimeout + SilenceTimeout/2
	if s.ShouldPoll(bound) || !s.ShouldPoll(bound+1) {
		t.Error("it does not poll at the end of its bound")
	}
}

// After a list was dropped, a heartbeat does not count.
func TestInvalidatedListNeedsACompleteOne(t *testing.T) {
	s := newSynced(t)
	s.Invalidate()
	wantGap(t, s, 9*time.Second, EndpointListUpdate{FencingToken: 4, Generation: 5})
}

// The first update is complete, whatever discovery has sent; then changes follow on each other.
func TestPublisherBeginsWithACompleteList(t *testing.T) {
	var p Publisher
	if u := p.Publish(4, false, nil); !u.Complete {
		t.Error("the first update is a change of no list")
	}
	if u := p.Publish(5, false, nil); u.Complete || u.PreviousGeneration != 4 || u.Generation != 5 {
		t.Errorf("%+v", u)
	}
	if u := p.Publish(9, true, nil); !u.Complete {
		t.Errorf("%+v", u)
	}
}
