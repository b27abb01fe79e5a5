package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestRefusesWithoutWorkers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(ListFull)
	for class := range 3 {
		r.request(job(class, class))
		if got := r.reqs[job(class, class).ID].final; got != "refused" {
			t.Errorf("class %d: %q, want refused", class, got)
		}
	}
	for _, w := range r.waits {
		if w <= 0 || w > r.set.Limits.MaxRetryAfter {
			t.Errorf("retry after %v", w)
		}
	}
}

// Hazard: load above capacity. Jobs that would be late are refused, and the less worthy first.
func TestOverloadIsRefused(t *testing.T) {
	set := testSettings()
	set.ReportsStart = true
	set.Classes[safeClass].PriorityWeight = 10
	r := newRecorder(t, set)
	r.members(ListFull, fleet(1)...)
	n := 0
	for range 20 { // it runs jobs of 200 ms
		for class := range 3 {
			r.serve(n, 1, class, 200*time.Millisecond, NoLoadReport)
			n++
		}
	}
	r.request(job(n, safeClass)) // it waits
	r.pass(50 * time.Millisecond)
	worthy, other := job(n+1, safeClass), job(n+2, unsafeClass)
	r.request(other)
	r.request(worthy)
	if got := r.reqs[other.ID].final; got != "refused" {
		t.Errorf("the less worthy job behind a wait: %q, want refused", got)
	}
	if got := r.reqs[worthy.ID].final; got != "" {
		t.Errorf("the worthier job behind the same wait: %q, want it sent", got)
	}
	r.pass(400 * time.Millisecond)
	late := job(n+3, safeClass)
	r.request(late)
	if got := r.reqs[late.ID].final; got != "refused" {
		t.Errorf("a job that would be late: %q, want refused", got)
	}
}

// Hazard: the count knows only own jobs. Where a job of ours waits, others' jobs must be.
func TestWaitsSeenCount(t *testing.T) {
	r := startsTold(t, 2)
	r.serve(0, 20, safeClass, 50*time.Millisecond, NoLoadReport)
	r.request(job(20, safeClass))
	slow := r.last().w
	r.pass(150 * time.Millisecond)
	for i := 21; i < 24; i++ {
		r.request(job(i, safeClass))
		if s := r.last(); s.w == slow {
			t.Error("a job joined the queue where ours waits, though the other worker starts at once")
		} else {
			r.start(s)
		}
	}
}

// Hazard: where no report tells the slots of workers, one each is too few to judge by.
func TestNoReportsNoNeedlessRefusals(t *testing.T) {
	r := startsTold(t, 2)
	for i := range 200 { // four at a time on each, all start at once
		r.request(job(i, i%3))
		r.start(r.last())
		r.pass(50 * time.Millisecond)
		if i >= 8 {
			r.end(&r.sends[i-8], OK)
		}
	}
	if len(r.waits) > 0 {
		t.Errorf("%d jobs were refused though none ever waited", len(r.waits))
	}
}

// Hazard: a wait remembered too long. One job waited; a while later its worker must count as free.
func TestWaitSeenIsForgotten(t *testing.T) {
	r := startsTold(t, 1)
	r.serve(0, 20, unsafeClass, 100*time.Millisecond, freeSlots(1))
	r.request(job(20, unsafeClass))
	r.pass(300 * time.Millisecond)
	r.start(r.last()) // it has waited for 300 ms
	r.pass(100 * time.Millisecond)
	r.end(r.last(), OK)
	r.pass(100 * time.Millisecond)
	r.request(job(21, unsafeClass))
	if got := r.reqs["r21"].final; got != "" {
		t.Errorf("%s for a wait of 200 ms ago at a worker that is free", got)
	}
}

// Hazard: overload, where each of many workers is met too seldom to know its queue.
func TestWaitsMetElsewhereCount(t *testing.T) {
	r := startsTold(t, 40)
	for i := range 10 {
		r.request(job(i, safeClass))
		r.pass(time.Millisecond)
	}
	sent := slices.Clone(r.sends)
	r.pass(1500 * time.Millisecond)
	for i := range sent {
		r.start(&sent[i])
	}
	n := len(r.sends)
	r.request(job(100, safeClass))
	if len(r.sends) > n {
		t.Error("a job went to a worker never met right after ten had waited 1.5 s at others")
	}
	r.pass(3 * time.Second)
	n = len(r.sends)
	r.request(job(101, safeClass))
	if len(r.sends) == n {
		t.Error("a job was refused for waits met 3 s before")
	}
}

// Where a tenant sends far beyond its allowance and jobs wait, the excess is refused and the others'
// jobs go on; while nothing waits nobody is refused.
func TestExcessOfATenantRanksLast(t *testing.T) {
	set := testSettings()
	set.ReportsStart, set.OverQuotaWeight, set.Classes = true, 0.05, set.Classes[:1]
	set.Tenants = []Tenant{{CapacityShare: 0.5, QuotaPerSecond: 4}, {CapacityShare: 0.5, QuotaPerSecond: 4}}
	r := newRecorder(t, set)
	r.members(ListFull, fleet(2)...)
	n := 0
	send := func(tenant int) string {
		q := job(n, safeClass)
		q.Tenant = tenant
		n++
		r.request(q)
		return r.reqs[q.ID].final
	}
	for range 200 { // the first sends five times its allowance, the second half of its own
		for i := range 10 {
			if got := send(i / 9); got != "" {
				t.Fatalf("%q without a wait", got)
			}
			s := r.last()
			r.start(s)
			r.pass(50 * time.Millisecond)
			r.end(s, OK)
		}
	}
	for range 2 { // a job on each worker waits for a while
		send(1)
	}
	r.pass(100 * time.Millisecond)
	for i := range 2 {
		r.start(&r.sends[len(r.sends)-2+i])
	}
	send(0) // the last that its allowance has room for
	if got := send(0); got != "refused" {
		t.Errorf("excess is %q while jobs wait, want refused", got)
	}
	if got := send(1); got != "" {
		t.Errorf("a tenant within its allowance is %q", got)
	}
}

// A job that is lost when its aim is past goes out again where there is room, and gives way where there is
// none: a late answer earns less than others' jobs, but more than a failure.
func TestLateJobGoesOn(t *testing.T) {
	for _, busy := range []bool{false, true} {
		set := testSettings()
		set.Limits.MaxAttempts = 5
		r := newRecorder(t, set)
		r.members(ListFull, fleet(2)...) // of one cell
		r.serve(0, 20, keyedClass, 100*time.Millisecond, NoLoadReport)
		r.request(job(100, keyedClass))
		lost := len(r.sends) - 1
		r.pass(1500 * time.Millisecond) // the aim is 0.2 s and twice the running time
		if busy {
			for _, w := range r.b.workers {
				w.othersInFlight = 10
			}
		}
		r.end(&r.sends[lost], ConnectionReset)
		again := len(r.sends) == lost+2
		if final := r.reqs["r100"].final; again == busy || busy != (final == "failed") {
			t.Errorf("busy %v: sent again %v, final answer %q", busy, again, final)
		}
	}
}

// Where jobs were turned away lately, excess stays out though the worker drawn looks free: it would take
// the next gap from the others.
func TestExcessStaysOutOfACrowd(t *testing.T) {
	set := testSettings()
	set.OverQuotaWeight, set.Classes, set.ReportsStart = 0.05, set.Classes[:1], true
	set.Tenants = []Tenant{{CapacityShare: 0.5, QuotaPerSecond: 1}, {CapacityShare: 0.5, QuotaPerSecond: 100}}
	r := newRecorder(t, set)
	r.members(ListFull, fleet(8)...)
	r.b.quotas[0].updatedAt = r.now // its allowance is used up
	send := func(n, tenant int) *recSend {
		q := job(n, safeClass)
		q.Tenant = tenant
		r.request(q)
		if r.reqs[q.ID].final != "" {
			return nil
		}
		return r.last()
	}
	for i := range 30 {
		s := send(i, 1)
		r.start(s)
		r.pass(100 * time.Millisecond)
		r.end(s, OK)
	}
	if send(50, 0) == nil {
		t.Fatal("excess was refused without a crowd")
	}
	r.end(r.last(), OK)
	for i := range 5 {
		send(100+i, 1)
		for id := r.last().id; r.reqs[id].final == ""; {
			r.end(r.last(), WorkerFull)
		}
	}
	r.pass(3 * time.Second)
	for i := range 10 {
		if send(200+i, 0) != nil && i >= minQuotaBurst { // what it has saved up is not excess
			t.Fatal("excess was sent soon after jobs were turned away")
		}
	}
}

// A job turned away makes others be refused elsewhere only where starts are told, which also tell of jobs
// that met no wait.
func TestTurnedAwayAsAWait(t *testing.T) {
	for _, told := range []bool{false, true} {
		set := testSettings()
		set.ReportsStart = told
		r := newRecorder(t, set)
		r.members(ListFull, fleet(8)...)
		r.serve(0, 20, safeClass, time.Second, NoLoadReport)
		r.pass(10 * time.Second)
		for i := range 6 {
			r.request(job(100+i, safeClass))
			r.end(r.last(), WorkerFull)
		}
		if got := r.b.fadedRecentWait(r.now) > 0; got != told {
			t.Errorf("starts told %v: a wait is usual %v", told, got)
		}
	}
}

// A tenant without an allowance is not limited, whatever it sends.
func TestTenantWithoutAllowance(t *testing.T) {
	set := testSettings()
	set.OverQuotaWeight, set.Tenants = 0.05, []Tenant{{CapacityShare: 1}}
	r := newRecorder(t, set)
	r.members(ListFull, fleet(2)...)
	for i := range 20 {
		r.request(job(i, safeClass))
		if r.b.requestByID[job(i, safeClass).ID].overQuota {
			t.Fatal("a request of a tenant that is not limited is excess")
		}
		r.pass(50 * time.Millisecond)
		r.end(r.last(), OK)
	}
}
