package balancer

import (
	"testing"
	"time"
)

// A worker that responds with errors at once has nothing in flight, and without ejection would win every
// draw.
func TestFailingWorkerIsEjected(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(4)...)
	sentToFailing := 0
	for i := range 200 {
		r.submit(testRequest(i, nonIdempotentClass))
		s := r.lastSend()
		res := OK
		if s.worker == 100 {
			sentToFailing++
			res = ServerError
		}
		r.advance(5 * time.Millisecond)
		r.endAttempt(s, res)
	}
	if sentToFailing > 5 {
		t.Errorf("the failing worker got %d of 200 non-idempotent requests, want at most 5", sentToFailing)
	}
	r.advance(time.Minute)
	for i := 200; i < 240; i++ {
		r.submit(testRequest(i, idempotentClass))
		if r.lastSend().worker == 100 {
			return
		}
		r.endAttempt(r.lastSend(), OK)
	}
	t.Error("a worker that failed a minute ago got none of 40 requests")
}

// If all workers fail, requests are still sent.
func TestAllWorkersAreDrawnWhereAllAreEjected(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(3)...)
	for i := range 60 {
		r.submit(testRequest(i, nonIdempotentClass))
		r.endAttempt(r.lastSend(), ServerError)
	}
	before := len(r.sends)
	r.submit(testRequest(60, nonIdempotentClass))
	if len(r.sends) != before+1 {
		t.Error("nothing was sent after all workers had failed")
	}
}

// An unresponsive worker must not win draws until its first attempt times out.
func TestUnresponsiveWorkerIsEjected(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.ProgressInterval = true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(4)...)
	r.submit(testRequest(0, idempotentClass))
	unresponsive := r.lastSend().worker
	r.reportStart(r.lastSend())
	r.advance(time.Second)
	for i := 1; i < 20; i++ {
		r.submit(testRequest(i, idempotentClass))
		if r.lastSend().worker == unresponsive {
			t.Fatal("a request was sent to an unresponsive worker")
		}
	}
}

// Without messages to peers, each of many dispatchers would lose requests to a failing worker before it is
// ejected.
func TestFailureIsSentToPeers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(2)...)
	failing := r.workers[100].ID
	r.balancer.ReceivePeer(r.now, []byte{0, 0, 0, byte(failing)})
	for i := range 20 {
		r.submit(testRequest(i, nonIdempotentClass))
		if s := r.lastSend(); s.worker == failing {
			t.Fatal("a non-idempotent request was sent to a worker that a peer had reported as failing")
		}
	}
	r.endAttempt(r.lastSend(), ServerError)
	if len(r.peerMessages) != 1 || string(r.peerMessages[0]) != "\x00\x00\x00\x65" {
		t.Errorf("sent %q to peers after a failure, want the worker's ID", r.peerMessages)
	}
	r.balancer.ReceivePeer(r.now, []byte("?")) // malformed messages are ignored
	r.submit(testRequest(100, idempotentClass))
	r.endAttempt(r.lastSend(), ConnectFailed)
	if len(r.peerMessages) != 1 {
		t.Error("a failed connection was sent to peers, but it may affect this dispatcher only")
	}
}

// A warming worker gets a request soon after its maintenance, within its slow-start budget.
func TestWorkerAfterMaintenanceGetsARequest(t *testing.T) {
	for _, endsMaintenance := range []bool{true, false} {
		set := testSettings()
		set.Rules.SlowStartWindow, set.Rules.SlowStartMinShare = 20*time.Second, 0.12
		set.Rules.OverloadFactor, set.Rules.OverloadWindow = 3, time.Second
		r := newRecorder(t, set)
		list := readyWorkers(4)
		r.updateWorkers(ListFull, list...)
		run := func(from, n int) (got int) {
			for i := range n {
				r.now += 50 * time.Millisecond
				r.submit(testRequest(from+i, 0))
				s := r.lastSend()
				r.now += 30 * time.Millisecond
				if r.endAttempt(s, OK); s.worker == list[0].ID {
					got++
				}
			}
			return got
		}
		run(0, 100)
		back := list[0]
		back.StartedAt = r.now
		r.updateWorkers(ListDelta, back)
		if endsMaintenance {
			r.balancer.EndMaintenance(back.ID)
		}
		if got := run(1000, 1); (got == 1) != endsMaintenance {
			t.Errorf("maintenance ended %v: the worker got %d of 1 requests", endsMaintenance, got)
		}
		if r.balancer.workersNeedingTrial != 0 {
			t.Error("the worker needs another trial request after its first")
		}
	}
}
