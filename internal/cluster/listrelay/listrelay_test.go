package listrelay

import (
	"errors"
	"testing"
	"time"
)

func TestFollower(t *testing.T) {
	f := NewSubscriber(0, 0.5)
	if !f.ShouldPoll(0) {
		t.Error("without a list it does not ask by itself")
	}
	told := func(now time.Duration, n EndpointListUpdate) bool {
		t.Helper()
		take, err := f.Receive(now, n)
		if err != nil {
			t.Fatalf("%+v: %v", n, err)
		}
		return take
	}
	var gap *GapError
	if _, err := f.Receive(0, EndpointListUpdate{FencingToken: 3, Generation: 5}); !errors.As(err, &gap) {
		t.Errorf("a beat counts before there is a list: %v", err)
	}
	if !told(
		time.Second,
		EndpointListUpdate{FencingToken: 3, Generation: 5, Complete: true, Payload: []byte("x")},
	) ||
		f.ShouldPoll(time.Second) {
		t.Error("a whole list is not taken")
	}
	if !told(
		2*time.Second,
		EndpointListUpdate{FencingToken: 3, Generation: 6, PreviousGeneration: 5, Payload: []byte("x")},
	) {
		t.Error("a change is not taken")
	}
	if told(3*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 6}) {
		t.Error("a beat is taken for a list")
	}
	// A change that was missed, told by a beat or by the next change.
	for _, n := range []EndpointListUpdate{{FencingToken: 3, Generation: 8}, {FencingToken: 3,
		Generation: 8, PreviousGeneration: 7,
		Payload: []byte("x")}} {
		if _, err := f.Receive(4*time.Second, n); !errors.As(err, &gap) {
			t.Errorf("%+v: %v", n, err)
		}
	}
	// A keeper that stood still and wakes: another has told since, or the agreed state knows one.
	var stale *StaleError
	f.ObserveFencingToken(4)
	if _, err := f.Receive(4*time.Second, EndpointListUpdate{FencingToken: 3, Generation: 9,
		Complete: true}); !errors.As(
		err,
		&stale,
	) {
		t.Errorf("an old keeper's list: %v", err)
	}
	if f.ShouldPoll(3*time.Second+SilenceTimeout+SilenceTimeout/2) ||
		!f.ShouldPoll(3*time.Second+SilenceTimeout+SilenceTimeout/2+1) {
		t.Error("it does not ask by itself at the end of its bound")
	}
	f.Invalidate()
	if _, err := f.Receive(9*time.Second, EndpointListUpdate{FencingToken: 4, Generation: 6}); !errors.As(
		err,
		&gap,
	) {
		t.Errorf("a beat counts after the list was given up: %v", err)
	}
}

func TestKeeper(t *testing.T) {
	var k Publisher
	if n := k.Publish(4, false, nil); !n.Complete {
		t.Error("the first word is told as a change of nothing")
	}
	if n := k.Publish(5, false, nil); n.Complete || n.PreviousGeneration != 4 || n.Generation != 5 ||
		k.Generation() != 5 {
		t.Errorf("%+v", n)
	}
	if n := k.Publish(9, true, nil); !n.Complete {
		t.Errorf("%+v", n)
	}
}
