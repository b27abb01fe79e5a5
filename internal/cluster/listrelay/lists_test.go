package listrelay

import (
	"errors"
	"testing"
	"time"
)

func TestFollower(t *testing.T) {
	f := NewFollower(0, 0.5)
	if !f.Alone(0) {
		t.Error("without a list it does not ask by itself")
	}
	told := func(now time.Duration, n News) bool {
		t.Helper()
		take, err := f.Told(now, n)
		if err != nil {
			t.Fatalf("%+v: %v", n, err)
		}
		return take
	}
	var gap *GapError
	if _, err := f.Told(0, News{Number: 3, Generation: 5}); !errors.As(err, &gap) {
		t.Errorf("a beat counts before there is a list: %v", err)
	}
	if !told(time.Second, News{Number: 3, Generation: 5, Whole: true, Text: []byte("x")}) ||
		f.Alone(time.Second) {
		t.Error("a whole list is not taken")
	}
	if !told(2*time.Second, News{Number: 3, Generation: 6, Previous: 5, Text: []byte("x")}) {
		t.Error("a change is not taken")
	}
	if told(3*time.Second, News{Number: 3, Generation: 6}) {
		t.Error("a beat is taken for a list")
	}
	// A change that was missed, told by a beat or by the next change.
	for _, n := range []News{{Number: 3, Generation: 8}, {Number: 3, Generation: 8, Previous: 7,
		Text: []byte("x")}} {
		if _, err := f.Told(4*time.Second, n); !errors.As(err, &gap) {
			t.Errorf("%+v: %v", n, err)
		}
	}
	// A keeper that stood still and wakes: another has told since, or the agreed state knows one.
	var stale *StaleError
	f.Agreed(4)
	if _, err := f.Told(4*time.Second, News{Number: 3, Generation: 9, Whole: true}); !errors.As(err, &stale) {
		t.Errorf("an old keeper's list: %v", err)
	}
	if f.Alone(3*time.Second+Silence+Silence/2) || !f.Alone(3*time.Second+Silence+Silence/2+1) {
		t.Error("it does not ask by itself at the end of its bound")
	}
	f.Lost()
	if _, err := f.Told(9*time.Second, News{Number: 4, Generation: 6}); !errors.As(err, &gap) {
		t.Errorf("a beat counts after the list was given up: %v", err)
	}
}

func TestKeeper(t *testing.T) {
	var k Keeper
	if n := k.Heard(4, false, nil); !n.Whole {
		t.Error("the first word is told as a change of nothing")
	}
	if n := k.Heard(5, false, nil); n.Whole || n.Previous != 4 || n.Generation != 5 || k.Generation() != 5 {
		t.Errorf("%+v", n)
	}
	if n := k.Heard(9, true, nil); !n.Whole {
		t.Errorf("%+v", n)
	}
}
