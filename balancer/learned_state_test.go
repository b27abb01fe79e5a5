package balancer

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// learnedFixture is a balancer with a failing, a healthy and a warming worker and one request in flight, and
// what it has learned, as another process reads it.
type learnedFixture struct {
	t                         *testing.T
	sender                    *recorder
	failing, healthy, warming Worker
	state                     LearnedState
}

func newLearnedFixture(t *testing.T) *learnedFixture {
	t.Helper()
	r := newRecorder(t, testSettings())
	list := readyWorkers(3)
	f := &learnedFixture{t: t, sender: r, failing: list[0], healthy: list[1], warming: list[2]}
	r.updateWorkers(ListFull, list...)
	for i := range 200 {
		r.now += 20 * time.Millisecond
		r.submit(testRequest(i, idempotentClass))
		if s := r.lastSend(); s.worker == f.failing.ID {
			r.endAttempt(s, ServerError)
			r.now += time.Millisecond
			continue
		}
		r.endAttempt(r.lastSend(), OK)
	}
	f.warming.StartedAt = r.now
	r.updateWorkers(ListDelta, f.warming)
	r.balancer.workerByID[f.warming.ID].slowStartSent = []sentWork{{r.now, 7}}
	for range 3 {
		r.balancer.observeFailure(r.now, r.balancer.workerByID[f.failing.ID])
	}
	r.submit(testRequest(1000, idempotentClass))
	f.state = f.read(r.balancer)
	return f
}

// read gives what a balancer has learned, by way of its encoded form.
func (f *learnedFixture) read(b *Balancer) (s LearnedState) {
	f.t.Helper()
	raw, err := json.Marshal(b.Learned())
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// receiver is a balancer whose clock is ahead of the sender's by so much, and that has restored a state.
func (f *learnedFixture) receiver(ahead time.Duration, s LearnedState) *recorder {
	f.t.Helper()
	r := newSeeded(f.t, testSettings(), 2)
	r.now = f.sender.now + ahead
	r.updateWorkers(ListCached, f.failing, f.healthy, f.warming)
	r.balancer.RestoreLearned(r.now, s)
	return r
}

// failureScore is a receiver's of the failing worker.
func (f *learnedFixture) failureScore(r *recorder) float64 {
	return r.balancer.decayedFailureScore(r.now, r.balancer.workerByID[f.failing.ID])
}

// A process that replaces another one knows what that one sent to a warming worker, and which workers fail.
func TestLearnedStateIsRestored(t *testing.T) {
	f := newLearnedFixture(t)
	r := f.receiver(0, f.state)
	if sent := r.balancer.workerByID[f.warming.ID].slowStartSent; len(sent) != 1 || sent[0].work != 7 {
		t.Errorf("what was sent to the warming worker: %v", sent)
	}
	if f.failureScore(r) < ejectionScore {
		t.Error("the failing worker is not ejected")
	}
	if got, want := r.balancer, f.sender.balancer; got.meanRunTime != want.meanRunTime ||
		got.hintRatio != want.hintRatio {
		t.Errorf("the usual running time is %v, was %v", got.meanRunTime, want.meanRunTime)
	}
}

// The requests in flight of the process before count as slots in use, until they have ended.
func TestInFlightOfOtherProcessCounts(t *testing.T) {
	f := newLearnedFixture(t)
	r := f.receiver(0, f.state)
	inUse := 0.0
	for id, n := range f.sender.balancer.InFlight() {
		r.balancer.SetPredecessorInFlight(id, n)
		inUse += r.balancer.slotsInUse(r.now, r.balancer.workerByID[id])
	}
	if inUse != 1 {
		t.Errorf("%v slots are in use, want 1", inUse)
	}
	for id := range f.sender.balancer.InFlight() {
		r.balancer.SetPredecessorInFlight(id, 0)
		if n := r.balancer.slotsInUse(r.now, r.balancer.workerByID[id]); n != 0 {
			t.Errorf("%v slots are in use of a process that has no requests", n)
		}
	}
}

// Hazard: the other process's clock is ahead, and a failure score grows with time.
func TestLearnedStateOfALaterClock(t *testing.T) {
	f := newLearnedFixture(t)
	if score := f.failureScore(f.receiver(-time.Minute, f.state)); score > 1 {
		t.Errorf("by a clock that is behind a worker has a failure score of %v", score)
	}
}

func TestLearnedStateOfOtherSettingsIsIgnored(t *testing.T) {
	f := newLearnedFixture(t)
	r := f.receiver(0, f.state)
	before := f.read(r.balancer)
	r.balancer.RestoreLearned(r.now, LearnedState{HintRatio: 1, ClassRunTimes: []float64{1}})
	if after := f.read(r.balancer); !reflect.DeepEqual(after, before) {
		t.Errorf("it is\n%+v, was\n%+v", after, before)
	}
}

// An old process reports no full workers, and counts work by running times, not by hints.
func TestLearnedStateOfAnOldProcess(t *testing.T) {
	f := newLearnedFixture(t)
	f.state.FullKindLoads, f.state.KindLoads[0], f.state.HintRatio = nil, [2]float64{8, 4}, 2
	b := f.receiver(0, f.state).balancer
	rate, sent := b.warmRate(0), b.workerByID[f.warming.ID].slowStartSent[0].work
	if rate != 1 || sent != 3.5 {
		t.Errorf("from an old process a warm worker takes %v, want 1; 7 sent are %v, want 3.5", rate, sent)
	}
}
