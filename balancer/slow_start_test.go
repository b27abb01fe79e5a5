package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Many requests arrive while a worker that has just started warms up, at a dispatcher that has observed warm
// workers.
func TestWarmingWorkerIsNotOverloaded(t *testing.T) {
	set := testSettings()
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(4)...)
	submitSteadily(r, 0, 400, 31*time.Millisecond, NoLoadReport) // four of capacity 1 get 0.8 each
	r.updateWorkers(ListDelta, Worker{ID: 200, State: Ready, StartedAt: r.now})
	r.workers[200].capacity = 1
	if submitSteadily(r, 400, 400, 25*time.Millisecond, NoLoadReport)[200] == 0 {
		t.Error("the new worker got no request while it warmed up")
	}
	// The list of recent sends is scanned for each request, so its length must not grow with the worker's
	// age.
	sent := r.balancer.workerByID[200].slowStartSent
	if from, to := sent[0].at, sent[len(sent)-1].at; to-from >= set.Rules.OverloadWindow {
		t.Errorf("sends over %v are kept, want less than a window", to-from)
	}
}

// A release may replace all workers of a kind. A dispatcher that has observed only warm workers of another
// kind must send some requests to the new ones, within the slow-start budget, before they are warm.
func TestWarmingKindWithoutRecordUsesLeastOther(t *testing.T) {
	set := testSettings()
	set.WorkerKinds = 2
	r := newRecorder(t, set)
	warm := readyWorkers(4)
	for i := range warm {
		warm[i].Kind = 1
	}
	r.updateWorkers(ListFull, warm...)
	submitSteadily(r, 0, 400, 31*time.Millisecond, NoLoadReport)
	newWorkers := []Worker{{ID: 10, State: Ready, StartedAt: r.now, Size: 1},
		{ID: 11, State: Ready, StartedAt: r.now, Size: 1}}
	r.updateWorkers(ListFull, append(warm[:2:2], newWorkers...)...) // two of the new kind 0 replace two
	r.workers[10].capacity, r.workers[11].capacity = 1, 1
	// 5 s is half of the slow-start window, so no worker of kind 0 becomes warm in that time.
	if got := submitSteadily(r, 400, 160, 31*time.Millisecond, NoLoadReport); got[10]+got[11] == 0 {
		t.Error("no worker of the unobserved kind got a request while it warmed up")
	}
}

// If warm workers are rarely full, a warming worker's budget follows from what warm ones finished while
// nearly full, and not only from the little that they finish on average. The budget is not exceeded.
func TestSlowStartBudgetByFullWorkers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(4)...)
	submitSteadily(r, 0, 100, 250*time.Millisecond, freeSlots(4)) // four slots each, a tenth of one in use
	full := submitSteadily(r, 100, 400, 8*time.Millisecond, freeSlots(0))
	if full[100] == 0 {
		t.Fatal("the warm workers were never full")
	}
	r.updateWorkers(ListDelta, Worker{ID: 200, State: Ready, StartedAt: r.now, Size: 1})
	r.workers[200].capacity = 4 // slot seconds per second when warm; the recorder checks the budget by it
	got := submitSteadily(r, 500, 200, 5*time.Millisecond, freeSlots(4))[200]
	if got < 16 {
		t.Errorf("the warming worker got %d requests while warm ones were busy; want 16 or more", got)
	}
}

// Waits during an overload lengthen running times, and must not enlarge the budget. A budget learned while
// all requests took three times their hint allows as many requests afterwards as one learned without
// overload.
func TestSlowStartBudgetIgnoresWaitsOfOverload(t *testing.T) {
	allowed := func(hintRatio float64) (n int) {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(4)...)
		r.balancer.hintRatio = hintRatio
		for i := range 400 {
			q := &request{Request: requestWithHint(i), class: &r.balancer.settings.Classes[idempotentClass]}
			r.balancer.kindLoads[0].add(r.balancer.hintedWork(q), 0.1, true)
		}
		r.balancer.hintRatio = 1
		r.updateWorkers(ListDelta, Worker{ID: 200, State: Ready, StartedAt: r.now, Size: 1})
		w := r.balancer.workerByID[200]
		q := &request{Request: requestWithHint(400), class: &r.balancer.settings.Classes[idempotentClass]}
		now := r.now + r.settings.Rules.SlowStartWindow/2
		for ; r.balancer.withinSlowStart(now, w, r.balancer.hintedWork(q)); n++ {
			w.slowStartSent = append(w.slowStartSent, sentWork{now, r.balancer.hintedWork(q)})
		}
		return n
	}
	if normal, overload := allowed(1), allowed(3); normal == 0 || overload != normal {
		t.Errorf("budget of %d requests learned without overload, %d learned during overload; want the same",
			normal, overload)
	}
}

// For requests far smaller than the mean, a warming worker's budget allows no more of them than of usual
// ones. For requests far larger than the mean, it limits their work.
func TestSlowStartBudgetCountsRequests(t *testing.T) {
	allowed := func(work float64) (n int) {
		r := newRecorder(t, testSettings())
		r.updateWorkers(ListFull, readyWorkers(4)...)
		// A warm worker finishes the work of four usual requests a second.
		r.balancer.kindLoads[0].add(400, 100, false)
		r.balancer.arrivals, r.balancer.arrivedWork = 100, 100
		r.updateWorkers(ListDelta, Worker{ID: 200, State: Ready, StartedAt: r.now, Size: 1})
		w := r.balancer.workerByID[200]
		for now := r.now + r.settings.Rules.SlowStartWindow/2; r.balancer.withinSlowStart(now, w, work); n++ {
			w.slowStartSent = append(w.slowStartSent, sentWork{now, work})
		}
		return n
	}
	small, usual, large := allowed(0.02), allowed(1), allowed(3)
	if usual == 0 || small != usual || large*3 > usual {
		t.Errorf("budget of %d small requests, %d usual ones, %d of three times the mean", small, usual,
			large)
	}
}

// If every dispatcher always sends a warming worker all that its budget allows, no window has more requests
// of mean work than N + 2 root N + 2 (for N under 30, 3 root N + 3). The worker still gets a good part of N
// over its warm-up, however many dispatchers share it.
func TestWarmingWorkerWithGreedyDispatchers(t *testing.T) {
	for _, dispatchers := range []int{1, 2, 3, 8, 32, 150, 300, 900} {
		// Requests per window of a warm worker, and the least part of N that must be used.
		for allowed, least := range map[float64]float64{3: 1.2, 12: 0.6, 60: 0.45} {
			for _, uneven := range []bool{false, true} {
				fullestWindow, usedPart := simulateGreedyDispatchers(t, dispatchers, allowed, uneven)
				if fullestWindow > 0.9 || usedPart < least {
					t.Errorf("%d dispatchers, N up to %v, uneven %v: %.2f of what the rule allows in the "+
						"fullest window, want at most 0.9; %.2f of N in all, want at least %.2f", dispatchers,
						allowed, uneven, fullestWindow, usedPart, least)
				}
			}
		}
	}
}

// simulateGreedyDispatchers returns the load of the fullest window, as a part of what the rule allows, and
// the part of N that was sent over the whole warm-up.
func simulateGreedyDispatchers(t *testing.T, dispatchers int, allowed float64,
	uneven bool) (fullestWindow, usedPart float64) {
	set := testSettings()
	set.DispatcherCount = dispatchers
	window := set.Rules.OverloadWindow
	warming := Worker{ID: 200, State: Ready, Size: 1}
	var recorders []*recorder
	shareSum, shares := 0.0, make([]float64, dispatchers)
	for i := range shares {
		shares[i] = 1
		if uneven {
			shares[i] = 1 + float64(i*7%5)
		}
		shareSum += shares[i]
	}
	for i := range dispatchers {
		set.DispatcherIndex = i
		r := newRecorder(t, set)
		warming.StartedAt = r.now
		r.updateWorkers(ListFull, append(readyWorkers(4), warming)...)
		rate := allowed / window.Seconds() / set.Rules.OverloadFactor * shares[i] / shareSum
		r.balancer.kindLoads[0].add(rate*100, 100, false) // a usual request is one unit of work
		r.balancer.arrivals, r.balancer.arrivedWork = 100, 100
		recorders = append(recorders, r)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	const steps = 50 // per window
	var sent []time.Duration
	total, possible := 0.0, 0.0
	first := recorders[0]
	for now := warming.StartedAt; now < warming.StartedAt+set.Rules.SlowStartWindow; now += window / steps {
		for _, i := range rng.Perm(dispatchers) {
			b := recorders[i].balancer
			w := b.workerByID[warming.ID]
			for b.withinSlowStart(now, w, 1) {
				w.slowStartSent = append(w.slowStartSent, sentWork{now, 1})
				sent = append(sent, now)
				total++
			}
		}
		for len(sent) > 0 && sent[0] <= now-window {
			sent = sent[1:]
		}
		n := allowed * first.balancer.warmUpFactor(now, first.balancer.workerByID[warming.ID])
		limit := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			limit = n + 3*math.Sqrt(n) + 3
		}
		fullestWindow = max(fullestWindow, float64(len(sent))/limit)
		possible += n / steps
	}
	return fullestWindow, total / possible
}

// Without any observed load, a warming worker's budget is zero.
func TestWarmingWorkerGetsNothingWithoutRecord(t *testing.T) {
	r := newRecorder(t, testSettings())
	list := readyWorkers(2)
	list[0].StartedAt = r.now
	r.updateWorkers(ListCached, list...)
	for i := range 50 {
		r.submit(testRequest(i, idempotentClass))
	}
	for _, s := range r.sends {
		if s.worker == list[0].ID {
			t.Fatal("a warming worker got a request from a dispatcher that has observed no load")
		}
	}
}

// If a dispatcher's part of the budget is smaller than a request, a long time without requests must not
// accumulate budget: when all other workers are removed, the dispatchers must not all send at once. The
// worker still gets requests.
func TestSlowStartTimeSlots(t *testing.T) {
	const dispatchers = 40
	var rules Rules
	var at []time.Duration // times of sends to the warming worker, by its age
	for index := range dispatchers {
		set := testSettings()
		set.DispatcherIndex, set.DispatcherCount, set.Rules.ResponseSlack = index, dispatchers,
			200*time.Millisecond
		rules = set.Rules
		r := newSeeded(t, set, uint64(index))
		r.updateWorkers(ListFull, readyWorkers(4)...)
		for i := range 40 { // each gets a fortieth of the load of 0.8 of four warm workers
			r.submit(requestWithHint(i))
			r.advance(100 * time.Millisecond)
			r.endAttempt(r.lastSend(), OK)
			r.advance(1150 * time.Millisecond)
		}
		r.updateWorkers(ListDelta, Worker{ID: 200, State: Ready, StartedAt: r.now})
		r.advance(5 * time.Second)
		r.updateWorkers(ListFull, Worker{ID: 200, State: Ready, StartedAt: r.workers[200].StartedAt})
		for i := range 80 {
			r.submit(requestWithHint(1000 + i))
			if s := r.lastSend(); !s.ended {
				at = append(at, r.now-r.workers[200].StartedAt)
				r.endAttempt(s, OK)
			}
			r.advance(50 * time.Millisecond)
		}
	}
	if len(at) < 10 {
		t.Errorf("the warming worker got %d requests from %d dispatchers, want at least 10", len(at),
			dispatchers)
	}
	slices.Sort(at)
	for i, from := range at {
		n := 0
		for _, a := range at[i:] {
			if a-from < rules.OverloadWindow {
				n++
			}
		}
		share := rules.SlowStartMinShare +
			(1-rules.SlowStartMinShare)*float64(from)/float64(rules.SlowStartWindow)
		if limit := rules.OverloadFactor * share * rules.OverloadWindow.Seconds() / 0.1; float64(n) > limit {
			t.Fatalf("%d requests in a window from age %v, want at most %.0f", n, from, limit)
		}
	}
}
