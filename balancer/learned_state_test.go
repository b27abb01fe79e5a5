package balancer

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// learnedFixture is a balancer with a failing, a healthy and a warming worker and one request in flight, and
// its learned state as another process decodes it.
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

// read returns a balancer's learned state, encoded and decoded again.
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

// receiver returns a balancer that has restored a state and whose clock is ahead of the sender's.
func (f *learnedFixture) receiver(ahead time.Duration, s LearnedState) *recorder {
	f.t.Helper()
	r := newSeeded(f.t, testSettings(), 2)
	r.now = f.sender.now + ahead
	r.updateWorkers(ListCached, f.failing, f.healthy, f.warming)
	r.balancer.RestoreLearned(r.now, s)
	return r
}

// failureScore returns the failure score of the failing worker at a receiver.
func (f *learnedFixture) failureScore(r *recorder) float64 {
	return r.balancer.decayedFailureScore(r.now, r.balancer.workerByID[f.failing.ID])
}

// A process that replaces another one knows what was sent to a warming worker, and which workers fail.
func TestLearnedStateIsRestored(t *testing.T) {
	f := newLearnedFixture(t)
	r := f.receiver(0, f.state)
	if sent := r.balancer.workerByID[f.warming.ID].slowStartSent; len(sent) != 1 || sent[0].work != 7 {
		t.Errorf("restored sends to the warming worker: %v, want one of work 7", sent)
	}
	if f.failureScore(r) < ejectionScore {
		t.Error("the failing worker is not ejected")
	}
	if got, want := r.balancer, f.sender.balancer; got.meanRunTime != want.meanRunTime ||
		got.hintRatio != want.hintRatio {
		t.Errorf("mean running time is %v, want %v", got.meanRunTime, want.meanRunTime)
	}
}

// The requests in flight of the previous process count as slots in use until they have ended.
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
			t.Errorf("%v slots are in use by a process without requests, want 0", n)
		}
	}
}

// If the sender's clock is ahead, failure scores must not grow by being decayed over a negative time.
func TestLearnedStateOfALaterClock(t *testing.T) {
	f := newLearnedFixture(t)
	if score := f.failureScore(f.receiver(-time.Minute, f.state)); score > 1 {
		t.Errorf("failure score is %v by a clock that is behind, want at most 1", score)
	}
}

func TestLearnedStateOfOtherSettingsIsIgnored(t *testing.T) {
	f := newLearnedFixture(t)
	r := f.receiver(0, f.state)
	before := f.read(r.balancer)
	r.balancer.RestoreLearned(r.now, LearnedState{HintRatio: 1, ClassRunTimes: []float64{1}})
	if after := f.read(r.balancer); !reflect.DeepEqual(after, before) {
		t.Errorf("state changed to\n%+v, want\n%+v", after, before)
	}
}

// Processes of older versions report no full workers, and measure work by running times instead of hints.
func TestLearnedStateOfAnOldProcess(t *testing.T) {
	f := newLearnedFixture(t)
	f.state.FullKindLoads, f.state.KindLoads[0], f.state.HintRatio = nil, [2]float64{8, 4}, 2
	b := f.receiver(0, f.state).balancer
	rate, sent := b.warmRate(0), b.workerByID[f.warming.ID].slowStartSent[0].work
	if rate != 1 || sent != 3.5 {
		t.Errorf("from an old process: rate of warm workers %v, want 1; work sent %v, want 3.5", rate, sent)
	}
}
