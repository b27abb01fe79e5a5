package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestRejectsWithoutWorkers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull)
	for class := range 3 {
		r.submit(testRequest(class, class))
		if got := r.requests[testRequest(class, class).ID].final; got != "rejected" {
			t.Errorf("class %d: %q, want rejected", class, got)
		}
	}
	for _, w := range r.retryAfters {
		if w <= 0 || w > r.settings.Limits.MaxRetryAfter {
			t.Errorf("retry after %v", w)
		}
	}
}

// Under load above capacity, requests that would be late are rejected, and those of the lowest weight first.
func TestOverloadIsRejectedLeastWeightFirst(t *testing.T) {
	set := testSettings()
	set.ReportsStart = true
	set.Classes[idempotentClass].PriorityWeight = 10
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(1)...)
	n := 0
	for range 20 { // the worker serves requests of 200 ms
		for class := range 3 {
			r.serveEach(n, 1, class, 200*time.Millisecond, NoLoadReport)
			n++
		}
	}
	r.submit(testRequest(n, idempotentClass)) // this one waits
	r.advance(50 * time.Millisecond)
	heavy, light := testRequest(n+1, idempotentClass), testRequest(n+2, nonIdempotentClass)
	r.submit(light)
	r.submit(heavy)
	if got := r.requests[light.ID].final; got != "rejected" {
		t.Errorf("request with the lower weight: final response %q, want rejected", got)
	}
	if got := r.requests[heavy.ID].final; got != "" {
		t.Errorf("request with the higher weight: final response %q, want it sent", got)
	}
	r.advance(400 * time.Millisecond)
	late := testRequest(n+3, idempotentClass)
	r.submit(late)
	if got := r.requests[late.ID].final; got != "rejected" {
		t.Errorf("request that would be late: final response %q, want rejected", got)
	}
}

// A dispatcher sees only its own requests in flight. If one of them waits at a worker, the requests of others
// must be occupying its slots, and must count as load.
func TestObservedWaitsCountAsLoad(t *testing.T) {
	r := newRecorderWithStartReports(t, 2)
	r.serveEach(0, 20, idempotentClass, 50*time.Millisecond, NoLoadReport)
	r.submit(testRequest(20, idempotentClass))
	slow := r.lastSend().worker
	r.advance(150 * time.Millisecond)
	for i := 21; i < 24; i++ {
		r.submit(testRequest(i, idempotentClass))
		if s := r.lastSend(); s.worker == slow {
			t.Error("a request was sent to the worker with a queue, although the other worker is free")
		} else {
			r.reportStart(s)
		}
	}
}

// If no load report has shown how many slots workers have, the default of one slot must not cause rejections.
func TestNoRejectionsWithoutLoadReportsOrWaits(t *testing.T) {
	r := newRecorderWithStartReports(t, 2)
	for i := range 200 { // four in flight at each worker, all of which start at once
		r.submit(testRequest(i, i%3))
		r.reportStart(r.lastSend())
		r.advance(50 * time.Millisecond)
		if i >= 8 {
			r.endAttempt(&r.sends[i-8], OK)
		}
	}
	if len(r.retryAfters) > 0 {
		t.Errorf("%d requests were rejected although none waited", len(r.retryAfters))
	}
}

// A worker where a request has waited must count as free again after a while.
func TestObservedWaitFades(t *testing.T) {
	r := newRecorderWithStartReports(t, 1)
	r.serveEach(0, 20, nonIdempotentClass, 100*time.Millisecond, freeSlots(1))
	r.submit(testRequest(20, nonIdempotentClass))
	r.advance(300 * time.Millisecond)
	r.reportStart(r.lastSend()) // it has waited for 300 ms
	r.advance(100 * time.Millisecond)
	r.endAttempt(r.lastSend(), OK)
	r.advance(100 * time.Millisecond)
	r.submit(testRequest(21, nonIdempotentClass))
	if got := r.requests["r21"].final; got != "" {
		t.Errorf("final response %q because of a wait 200 ms ago at a worker that is free, want it sent", got)
	}
}

// With many workers, a dispatcher sends to each one too rarely to know its queue, so under overload waits at
// other workers must count.
func TestWaitsAtOtherWorkersCount(t *testing.T) {
	r := newRecorderWithStartReports(t, 40)
	for i := range 10 {
		r.submit(testRequest(i, idempotentClass))
		r.advance(time.Millisecond)
	}
	sent := slices.Clone(r.sends)
	r.advance(1500 * time.Millisecond)
	for i := range sent {
		r.reportStart(&sent[i])
	}
	n := len(r.sends)
	r.submit(testRequest(100, idempotentClass))
	if len(r.sends) > n {
		t.Error("a request was sent to an unused worker right after ten waited 1.5 s at others")
	}
	r.advance(3 * time.Second)
	n = len(r.sends)
	r.submit(testRequest(101, idempotentClass))
	if len(r.sends) == n {
		t.Error("a request was rejected because of waits 3 s before")
	}
}

// If a tenant sends far beyond its quota and requests wait, its requests over quota are rejected and those of
// other tenants are served. Nothing is rejected while no request waits.
func TestRequestsOverQuotaRankLast(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.OverQuotaWeight, set.Classes = true, 0.05, set.Classes[:1]
	set.Tenants = []Tenant{{CapacityShare: 0.5, QuotaPerSecond: 4}, {CapacityShare: 0.5, QuotaPerSecond: 4}}
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(2)...)
	n := 0
	send := func(tenant int) string {
		q := testRequest(n, idempotentClass)
		q.Tenant = tenant
		n++
		r.submit(q)
		return r.requests[q.ID].final
	}
	for range 200 { // the first tenant sends five times its quota, the second half its quota
		for i := range 10 {
			if got := send(i / 9); got != "" {
				t.Fatalf("final response %q although nothing waits, want it sent", got)
			}
			s := r.lastSend()
			r.reportStart(s)
			r.advance(50 * time.Millisecond)
			r.endAttempt(s, OK)
		}
	}
	for range 2 { // a request on each worker waits for a while
		send(1)
	}
	r.advance(100 * time.Millisecond)
	for i := range 2 {
		r.reportStart(&r.sends[len(r.sends)-2+i])
	}
	send(0) // the last request within its quota
	if got := send(0); got != "rejected" {
		t.Errorf("request over quota while others wait: final response %q, want rejected", got)
	}
	if got := send(1); got != "" {
		t.Errorf("request within quota: final response %q, want it sent", got)
	}
}

// A request that is lost after its latency objective is retried if there is capacity, and fails if there is
// none: a late response is worth less than other requests, but more than a failure.
func TestLateRequestIsRetriedWhereThereIsCapacity(t *testing.T) {
	for _, busy := range []bool{false, true} {
		set := testSettings()
		set.Limits.MaxAttempts = 5
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(2)...) // both in one cell
		r.serveEach(0, 20, keyedClass, 100*time.Millisecond, NoLoadReport)
		r.submit(testRequest(100, keyedClass))
		lost := len(r.sends) - 1
		r.advance(1500 * time.Millisecond) // the latency objective is 0.2 s plus twice the running time
		if busy {
			for _, w := range r.balancer.workers {
				w.othersInFlight = 10
			}
		}
		r.endAttempt(&r.sends[lost], ConnectionReset)
		retried := len(r.sends) == lost+2
		if final := r.requests["r100"].final; retried == busy || busy != (final == "failed") {
			t.Errorf("busy %v: retried %v, final response %q", busy, retried, final)
		}
	}
}

// If requests had to wait recently, those over quota are rejected even if the worker drawn looks free.
// Otherwise they would take the next free slot from the others.
func TestRequestsOverQuotaAreRejectedWhileOthersWait(t *testing.T) {
	set := testSettings()
	set.OverQuotaWeight, set.Classes, set.ReportsStart = 0.05, set.Classes[:1], true
	set.Tenants = []Tenant{{CapacityShare: 0.5, QuotaPerSecond: 1}, {CapacityShare: 0.5, QuotaPerSecond: 100}}
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(8)...)
	r.balancer.quotas[0].updatedAt = r.now // its quota is used up
	send := func(n, tenant int) *recordedSend {
		q := testRequest(n, idempotentClass)
		q.Tenant = tenant
		r.submit(q)
		if r.requests[q.ID].final != "" {
			return nil
		}
		return r.lastSend()
	}
	for i := range 30 {
		s := send(i, 1)
		r.reportStart(s)
		r.advance(100 * time.Millisecond)
		r.endAttempt(s, OK)
	}
	if send(50, 0) == nil {
		t.Fatal("a request over quota was rejected although none waited")
	}
	r.endAttempt(r.lastSend(), OK)
	for i := range 5 {
		send(100+i, 1)
		for id := r.lastSend().id; r.requests[id].final == ""; {
			r.endAttempt(r.lastSend(), WorkerFull)
		}
	}
	r.advance(3 * time.Second)
	for i := range 10 {
		if send(200+i, 0) != nil && i >= minQuotaBurst { // the burst is within the quota
			t.Fatal("a request over quota was sent soon after workers were full")
		}
	}
}

// A rejection by a full worker counts as a wait, which can cause rejections elsewhere, only if workers report
// starts. Without these reports, requests that start without a wait are not seen.
func TestFullWorkerCountsAsWaitOnlyWithStartReports(t *testing.T) {
	for _, reported := range []bool{false, true} {
		set := testSettings()
		set.ReportsStart = reported
		r := newRecorder(t, set)
		r.updateWorkers(ListFull, readyWorkers(8)...)
		r.serveEach(0, 20, idempotentClass, time.Second, NoLoadReport)
		r.advance(10 * time.Second)
		for i := range 6 {
			r.submit(testRequest(100+i, idempotentClass))
			r.endAttempt(r.lastSend(), WorkerFull)
		}
		if got := r.balancer.decayedRecentWait(r.now) > 0; got != reported {
			t.Errorf("starts reported %v: recent wait %v, want the same", reported, got)
		}
	}
}

// The requests of a tenant without a quota are never over quota.
func TestTenantWithoutQuotaIsNotLimited(t *testing.T) {
	set := testSettings()
	set.OverQuotaWeight, set.Tenants = 0.05, []Tenant{{CapacityShare: 1}}
	r := newRecorder(t, set)
	r.updateWorkers(ListFull, readyWorkers(2)...)
	for i := range 20 {
		r.submit(testRequest(i, idempotentClass))
		if r.balancer.requestByID[testRequest(i, idempotentClass).ID].overQuota {
			t.Fatal("a request of a tenant without a quota is over quota")
		}
		r.advance(50 * time.Millisecond)
		r.endAttempt(r.lastSend(), OK)
	}
}

// A request that must finish is rejected at once where its class runs for longer than it has, and sent where
// it is expected to end in time or where nothing is known yet.
func TestRequestThatCannotFinishIsRejected(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.updateWorkers(ListFull, readyWorkers(2)...)
	submit := func(n int, timeout time.Duration, mustFinish bool) string {
		q := testRequest(n, nonIdempotentClass)
		q.Timeout, q.MustFinish = timeout, mustFinish
		r.submit(q)
		return r.requests[q.ID].final
	}
	if got := submit(0, 300*time.Millisecond, true); got != "" {
		t.Errorf("without an estimate: final response %q, want it sent", got)
	}
	r.endAttempt(r.lastSend(), OK)
	r.serveEach(1, 20, nonIdempotentClass, 200*time.Millisecond, NoLoadReport)
	if got := submit(30, 100*time.Millisecond, true); got != "rejected" {
		t.Errorf("with too little time: final response %q, want rejected", got)
	}
	if got := submit(31, 300*time.Millisecond, true); got != "" {
		t.Errorf("with enough time: final response %q, want it sent", got)
	}
	r.endAttempt(r.lastSend(), OK)
	if got := submit(32, 100*time.Millisecond, false); got != "" {
		t.Errorf("that need not finish: final response %q, want it sent", got)
	}
	r.endAttempt(r.lastSend(), OK)
}
