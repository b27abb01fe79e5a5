package brain

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	safeClass = iota
	keyedClass
	unsafeClass
)

// testSettings is a deployment that allows everything and has one class of each effect.
func testSettings() Settings {
	class := func(e Effect, sc Scope) Class {
		return Class{Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Worth: 1,
			LateShare: 0.3, Effect: e, Scope: sc, Window: 2 * time.Second, Kind: -1}
	}
	return Settings{
		Fleet:   1,
		Classes: []Class{class(Safe, ScopeAll), class(Keyed, ScopeCell), class(Unsafe, ScopeAll)},
		Limits: Limits{Attempts: 3, Cancel: true, Probes: true, Peers: true, SecondCopies: true,
			MaxRetryAfter: time.Second},
		Rules: Rules{AnswerSlack: 20 * time.Millisecond, AskEvery: 10 * time.Second,
			DrainGrace: time.Second, ColdShare: 0.2, Cold: 10 * time.Second, OverloadFactor: 3,
			Fall: 2 * time.Second},
		Goal: Goal{Whole: 1},
		Tick: time.Millisecond,
	}
}

// fleet is n ready workers in cells of two.
func fleet(n int) []Worker {
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: WorkerID(100 + i), Cell: i / 2, State: Ready, Size: 1}
	}
	return list
}

func job(i, class int) Request {
	return Request{ID: RequestID(fmt.Sprintf("r%d", i)), Class: class, Left: 5 * time.Second}
}

// hinted is a safe job that tells a tenth of a second's work.
func hinted(i int) Request {
	q := job(i, safeClass)
	q.Work = 100 * time.Millisecond
	return q
}

// startsTold is a recorder with n ready workers that tell when a job starts.
func startsTold(t *testing.T, n int) *recorder {
	t.Helper()
	set := testSettings()
	set.TellsStart = true
	r := newRecorder(t, set)
	r.members(Whole, fleet(n)...)
	return r
}

// freeSlots is a load report that tells nothing else.
func freeSlots(n float64) Report {
	rep := NoReport
	rep.Told, rep.FreeSlots = true, n
	return rep
}

func TestDrawSize(t *testing.T) {
	for _, c := range []struct{ n, d int }{{0, 0}, {1, 1}, {2, 2}, {3, 2}, {4, 3}, {10, 8}, {100, 47}} {
		if d := drawSize(c.n); d != c.d {
			t.Errorf("drawSize(%d) = %d, want %d", c.n, d, c.d)
		}
	}
}

// With all slots known and nothing waiting, the jobs go where the fewest are.
func TestFewestWins(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(2)...)
	for i := range 8 {
		r.request(job(i, safeClass))
	}
	count := map[WorkerID]int{}
	for _, s := range r.sends {
		count[s.w]++
	}
	if count[100] != 4 || count[101] != 4 {
		t.Errorf("8 jobs on two workers went %v, want 4 each", count)
	}
}

func TestTiesAreSpreadEvenly(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(4)...)
	count := map[WorkerID]int{}
	const rounds = 2000
	for i := range rounds {
		r.request(job(i, safeClass))
		s := r.last()
		count[s.w]++
		r.pass(time.Millisecond)
		r.end(s, OK)
	}
	for id, n := range count {
		if n < rounds/4*8/10 || n > rounds/4*12/10 {
			t.Errorf("worker %d got %d of %d jobs on four idle workers", id, n, rounds)
		}
	}
}

func TestCountsReturnToZero(t *testing.T) {
	for res := OK; res <= Moot; res++ {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(3)...)
		for class := range 3 {
			q := job(class, class)
			q.Slots = 2
			r.request(q)
		}
		for i := 0; i < len(r.sends); i++ {
			r.end(&r.sends[i], res)
		}
		r.pass(6 * time.Second)
		for _, w := range r.b.workers {
			if w.own != 0 {
				t.Errorf("after result %d worker %d holds %v", res, w.ID, w.own)
			}
		}
		if len(r.b.open) != 0 || len(r.b.list) != 0 {
			t.Errorf("after result %d, %d requests are open", res, len(r.b.open))
		}
	}
}

func TestRefusesWithoutWorkers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole)
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

// Refusals are told of in a line now and then, not one each; while all goes well nothing is.
func TestLogLines(t *testing.T) {
	r := newRecorder(t, testSettings())
	list := fleet(3)
	list[2].State = Draining
	r.members(Whole, list...)
	r.pass(20 * time.Second)
	if len(r.logs) > 0 {
		t.Errorf("logged %q without a refusal", r.logs)
	}
	r.members(Whole)
	for i := range 300 {
		r.request(job(i, safeClass))
		r.pass(100 * time.Millisecond)
	}
	if n := len(r.logs); n < 2 || n > 7 {
		t.Fatalf("%d lines in half a minute of refusals with 5 s to a line: %q", n, r.logs)
	}
	if want := "refused 1, failed 0; workers: 0 ready, 0 of them cold, 0 suspect"; r.logs[0] != want {
		t.Errorf("the first line is %q, want %q", r.logs[0], want)
	}
}

// Rule 2, by class and result: what follows the first attempt's end.
func TestAfterAFailure(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		res    Result
		sends  int
		cell   bool // the second send stays in the cell
		answer string
	}{
		{"safe after an error goes on", safeClass, Error, 2, false, ""},
		{"keyed after an error goes on in its cell", keyedClass, Error, 2, true, ""},
		{"unsafe after an error is failed", unsafeClass, Error, 1, false, "failed"},
		{"unsafe after a reset is failed", unsafeClass, Reset, 1, false, "failed"},
		{"unsafe turned away goes on", unsafeClass, Full, 2, false, ""},
		{"unsafe without a connection goes on", unsafeClass, ConnectFailed, 2, false, ""},
		{"keyed turned away goes anywhere", keyedClass, Full, 2, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.members(Whole, fleet(8)...)
			r.request(job(0, c.class))
			first := r.last().w
			r.end(r.last(), c.res)
			if len(r.sends) != c.sends || r.reqs["r0"].final != c.answer {
				t.Fatalf("%d sends and answer %q, want %d and %q", len(r.sends), r.reqs["r0"].final,
					c.sends, c.answer)
			}
			if second := r.last().w; c.sends > 1 && second == first {
				t.Error("sent again to the worker that had failed it")
			}
		})
	}
}

// A keyed job goes again only while its group remembers the first attempt.
func TestKeyedWindow(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(8)...)
	r.request(job(0, keyedClass))
	r.pass(r.set.Classes[keyedClass].Window)
	r.end(r.last(), Error)
	if len(r.sends) != 1 || r.reqs["r0"].final != "failed" {
		t.Errorf("%d sends, answer %q; want one, failed", len(r.sends), r.reqs["r0"].final)
	}
}

func TestTryLimit(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(8)...)
	r.request(job(0, safeClass))
	for r.reqs["r0"].final == "" {
		r.end(r.last(), ConnectFailed)
	}
	if len(r.sends) != r.set.Limits.Attempts {
		t.Errorf("%d sends, want %d", len(r.sends), r.set.Limits.Attempts)
	}
}

// Rule 1: the host never reports the end of the attempt.
func TestOverdueIsAnswered(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.silent = true
	r.members(Whole, fleet(2)...)
	for class := range 3 {
		r.request(job(class, class))
	}
	r.pass(6 * time.Second)
	for id, q := range r.reqs {
		if q.final == "" {
			t.Errorf("%s was never answered", id)
		}
	}
}

// Rule 3: nothing to a worker that the list calls draining, gone, or leaves out.
func TestDrains(t *testing.T) {
	for _, c := range []struct {
		name string
		tell func(r *recorder)
	}{
		{"draining", func(r *recorder) { r.members(Changes, Worker{ID: 100, State: Draining}) }},
		{"gone", func(r *recorder) { r.members(Changes, Worker{ID: 100, State: Removed}) }},
		{"left out", func(r *recorder) { r.members(Whole, fleet(2)[1]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(t, testSettings())
			r.members(Whole, fleet(2)...)
			c.tell(r)
			r.pass(r.set.Rules.DrainGrace + time.Second)
			for i := range 20 {
				r.request(job(i, safeClass))
			}
			if len(r.sends) == 0 {
				t.Fatal("nothing went to the worker that is left")
			}
			for _, s := range r.sends {
				if s.w == 100 {
					t.Fatal("sent to the worker that is going")
				}
			}
		})
	}
}

func TestListMustBeAskedFor(t *testing.T) {
	set := testSettings()
	set.MustAsk = true
	r := newRecorder(t, set)
	r.members(Cached, fleet(2)...)
	if r.watch != 1 {
		t.Fatalf("%d calls at the start, want 1", r.watch)
	}
	var calls []time.Duration
	for range 5 {
		began, before := r.now, r.watch
		r.b.Members(r.now, Failed, nil)
		for r.watch == before && r.now < began+time.Minute {
			r.pass(10 * time.Millisecond)
		}
		calls = append(calls, r.now-began)
	}
	if calls[0] >= set.Rules.AskEvery || calls[3] <= calls[0] {
		t.Errorf("waits after failures: %v; want short, then longer", calls)
	}
}

// drive sends n hinted jobs gap apart from job from on, ends each attempt after 90 ms with rep,
// and counts the jobs that each worker got.
func drive(r *recorder, from, n int, gap time.Duration, rep Report) map[WorkerID]int {
	got := map[WorkerID]int{}
	for i := range n {
		r.request(hinted(from + i))
		got[r.last().w]++
		r.pass(gap)
		for j := range r.sends {
			if s := &r.sends[j]; !s.ended && r.now-s.at >= 90*time.Millisecond {
				r.endWith(s, OK, rep)
			}
		}
	}
	return got
}

// Rule 4: a rush on a worker that has just started, for a dispatcher that knows what warm ones bear.
func TestColdWorkerIsNotRushed(t *testing.T) {
	set := testSettings()
	r := newRecorder(t, set)
	r.members(Whole, fleet(4)...)
	drive(r, 0, 400, 31*time.Millisecond, NoReport) // four warm workers of capacity 1 bear 0.8 each
	r.members(Changes, Worker{ID: 200, State: Ready, Since: r.now})
	r.work[200].limit = 1
	if drive(r, 400, 400, 25*time.Millisecond, NoReport)[200] == 0 {
		t.Error("the new worker never got a job while it warmed up")
	}
	// Hazard: what was sent to it is gone through at each request, and must not grow with its age.
	sent := r.b.byID[200].sent
	if from, to := sent[0].at, sent[len(sent)-1].at; to-from >= set.Rules.Fall {
		t.Errorf("sends over %v are kept, want under a window", to-from)
	}
}

// Rule 4 and the release that replaces a whole kind: a dispatcher that has seen only warm workers of
// another kind gives the new ones work within what the rule allows, not nothing until they are warm.
func TestColdKindWithoutRecordBorrows(t *testing.T) {
	set := testSettings()
	set.Kinds = 2
	r := newRecorder(t, set)
	warm := fleet(4)
	for i := range warm {
		warm[i].Kind = 1
	}
	r.members(Whole, warm...)
	drive(r, 0, 400, 31*time.Millisecond, NoReport)
	news := []Worker{{ID: 10, State: Ready, Since: r.now, Size: 1},
		{ID: 11, State: Ready, Since: r.now, Size: 1}}
	r.members(Whole, append(warm[:2:2], news...)...) // two of kind 0, never seen, take two places
	r.work[10].limit, r.work[11].limit = 1, 1
	// Five seconds: half of Cold, so that no worker of kind 0 is warm meanwhile.
	if got := drive(r, 400, 160, 31*time.Millisecond, NoReport); got[10]+got[11] == 0 {
		t.Error("no worker of the kind without a record got a job while it warmed up")
	}
}

// Rule 4 where warm workers are far from full on the whole: a cold worker's budget is what warm ones
// took while they were nearly full, and not only the little that they take on average; it is kept.
func TestColdBudgetByWhatFullOnesTake(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(4)...)
	drive(r, 0, 100, 250*time.Millisecond, freeSlots(4)) // four slots each; a tenth of one is taken
	full := drive(r, 100, 400, 8*time.Millisecond, freeSlots(0))
	if full[100] == 0 {
		t.Fatal("the warm workers were never full")
	}
	r.members(Changes, Worker{ID: 200, State: Ready, Since: r.now, Size: 1})
	r.work[200].limit = 4 // slot-seconds a second, when warm: what the recorder holds it to
	got := drive(r, 500, 200, 5*time.Millisecond, freeSlots(4))[200]
	if got < 16 {
		t.Errorf("the cold worker got %d jobs while warm ones were busy; want 16 or more", got)
	}
}

// Rule 4 after a flood: how long jobs ran while they waited must not make the budget larger. Recorded
// while every job took three times its hint, it lets as many jobs in afterwards as one recorded in calm.
func TestColdBudgetForgetsAFloodsWaits(t *testing.T) {
	jobs := func(flood float64) (n int) {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(4)...)
		r.b.ratio = flood
		for i := range 400 {
			q := &request{Request: hinted(i), class: &r.b.set.Classes[safeClass]}
			r.b.loads[0].add(r.b.effort(q), 0.1, true)
		}
		r.b.ratio = 1
		r.members(Changes, Worker{ID: 200, State: Ready, Since: r.now, Size: 1})
		w, q := r.b.byID[200], &request{Request: hinted(400), class: &r.b.set.Classes[safeClass]}
		for now := r.now + r.set.Rules.Cold/2; r.b.coldRoom(now, w, r.b.effort(q)); n++ {
			w.sent = append(w.sent, load{now, r.b.effort(q)})
		}
		return n
	}
	if calm, flood := jobs(1), jobs(3); calm == 0 || flood != calm {
		t.Errorf("%d jobs by a calm record, %d by a flood's", calm, flood)
	}
}

// Rule 4 counts requests: a cold worker's budget for requests far smaller than the mean is no more of them
// than of usual ones, and for one far larger than the mean it is in its work.
func TestColdBudgetCountsRequests(t *testing.T) {
	allowed := func(work float64) (n int) {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(4)...)
		r.b.loads[0].add(400, 100, false) // a warm worker finishes the work of four usual requests a second
		r.b.arrived, r.b.efforts = 100, 100
		r.members(Changes, Worker{ID: 200, State: Ready, Since: r.now, Size: 1})
		w := r.b.byID[200]
		for now := r.now + r.set.Rules.Cold/2; r.b.coldRoom(now, w, work); n++ {
			w.sent = append(w.sent, load{now, work})
		}
		return n
	}
	small, usual, large := allowed(0.02), allowed(1), allowed(3)
	if usual == 0 || small != usual || large*3 > usual {
		t.Errorf("%d small ones, %d usual ones, %d of three times the mean", small, usual, large)
	}
}

// Rule 4 over a whole fleet that sends a cold worker all that it may, at every moment: in no window does it
// get more requests of mean work than N + 2 root N + 2 (N under 30: 3 root N + 3). And the worker is not left
// idle: over its warm-up it gets a good part of N, however many dispatchers share it.
func TestColdWorkerBesideAGreedyFleet(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 32, 150, 300, 900} {
		// Requests a window, of a warm worker, and the part of N that is to be used at least.
		for allowed, least := range map[float64]float64{3: 1.2, 12: 0.6, 60: 0.45} {
			for _, uneven := range []bool{false, true} {
				most, used := greedy(t, size, allowed, uneven)
				if most > 0.9 || used < least {
					t.Errorf("%d dispatchers, N up to %v, uneven %v: %.2f of what the rule bears in the "+
						"fullest window, want at most 0.9; %.2f of N in all, want at least %.2f", size,
						allowed, uneven, most, used, least)
				}
			}
		}
	}
}

// greedy plays it and gives the fullest window, as a part of what the rule bears, and the part of N that was
// sent over the whole warm-up.
func greedy(t *testing.T, size int, allowed float64, uneven bool) (most, used float64) {
	set := testSettings()
	set.Fleet = size
	fall := set.Rules.Fall
	cold := Worker{ID: 200, State: Ready, Size: 1}
	var all []*recorder
	whole, shares := 0.0, make([]float64, size)
	for i := range shares {
		shares[i] = 1
		if uneven {
			shares[i] = 1 + float64(i*7%5)
		}
		whole += shares[i]
	}
	for i := range size {
		set.Me = i
		r := newRecorder(t, set)
		cold.Since = r.now
		r.members(Whole, append(fleet(4), cold)...)
		rate := allowed / fall.Seconds() / set.Rules.OverloadFactor * shares[i] / whole
		r.b.loads[0].add(rate*100, 100, false) // a usual request is one unit of work
		r.b.arrived, r.b.efforts = 100, 100
		all = append(all, r)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	const steps = 50 // in a window
	var sent []time.Duration
	total, bearable := 0.0, 0.0
	first := all[0]
	for now := cold.Since; now < cold.Since+set.Rules.Cold; now += fall / steps {
		for _, i := range rng.Perm(size) {
			b := all[i].b
			w := b.byID[cold.ID]
			for b.coldRoom(now, w, 1) {
				w.sent = append(w.sent, load{now, 1})
				sent = append(sent, now)
				total++
			}
		}
		for len(sent) > 0 && sent[0] <= now-fall {
			sent = sent[1:]
		}
		n := allowed * first.b.warmth(now, first.b.byID[cold.ID])
		bears := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			bears = n + 3*math.Sqrt(n) + 3
		}
		most = max(most, float64(len(sent))/bears)
		bearable += n / steps
	}
	return most, total / bearable
}

// Without any load seen, a cold worker's budget is nothing.
func TestColdWorkerWithoutKnowledge(t *testing.T) {
	r := newRecorder(t, testSettings())
	list := fleet(2)
	list[0].Since = r.now
	r.members(Cached, list...)
	for i := range 50 {
		r.request(job(i, safeClass))
	}
	for _, s := range r.sends {
		if s.w == list[0].ID {
			t.Fatal("a cold worker got a job from a dispatcher that knows nothing")
		}
	}
}

// Hazard: a worker that errors at once reads zero and wins every draw.
func TestFailingWorkerIsLeftOut(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(4)...)
	bad := 0
	for i := range 200 {
		r.request(job(i, unsafeClass))
		s := r.last()
		res := OK
		if s.w == 100 {
			bad++
			res = Error
		}
		r.pass(5 * time.Millisecond)
		r.end(s, res)
	}
	if bad > 5 {
		t.Errorf("the failing worker got %d of 200 unsafe jobs", bad)
	}
	r.pass(time.Minute)
	for i := 200; i < 240; i++ {
		r.request(job(i, safeClass))
		if r.last().w == 100 {
			return
		}
		r.end(r.last(), OK)
	}
	t.Error("a worker that failed a minute ago is never tried again")
}

// If all workers fail, jobs still go out.
func TestAllSuspect(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(3)...)
	for i := range 60 {
		r.request(job(i, unsafeClass))
		r.end(r.last(), Error)
	}
	before := len(r.sends)
	r.request(job(60, unsafeClass))
	if len(r.sends) != before+1 {
		t.Error("nothing was sent when all workers had failed")
	}
}

// Hazard: load above capacity. Jobs that would be late are refused, and the less worthy first.
func TestOverloadIsRefused(t *testing.T) {
	set := testSettings()
	set.TellsStart = true
	set.Classes[safeClass].Worth = 10
	r := newRecorder(t, set)
	r.members(Whole, fleet(1)...)
	n := 0
	for range 20 { // it runs jobs of 200 ms
		for class := range 3 {
			r.serve(n, 1, class, 200*time.Millisecond, NoReport)
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
	r.serve(0, 20, safeClass, 50*time.Millisecond, NoReport)
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

// Hazard: a worker goes silent with a job, and nothing tells of its end. One that goes on telling of jobs
// of ours is there, however long others wait at it.
func TestSecondCopyOfAJobAtASilentWorker(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		copies, silent bool
		sends          int
	}{
		{"safe", safeClass, true, true, 2},
		{"keyed, in its cell", keyedClass, true, true, 2},
		{"unsafe", unsafeClass, true, true, 1},
		{"not allowed", safeClass, false, true, 1},
		{"not silent", safeClass, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.TellsStart, set.Limits.SecondCopies, set.Progress = true, c.copies, 200*time.Millisecond
			r := newRecorder(t, set)
			r.members(Whole, fleet(4)...)
			r.request(job(0, c.class))
			first := *r.last()
			r.start(&first)
			for range 10 {
				r.pass(100 * time.Millisecond)
				if !c.silent {
					r.note(&first)
				}
			}
			if len(r.sends) != c.sends {
				t.Fatalf("%d sends, want %d", len(r.sends), c.sends)
			}
			if c.sends > 1 && r.last().w == first.w {
				t.Error("the copy went to the silent worker")
			}
			r.end(r.last(), OK)
			r.pass(6 * time.Second)
			if got := r.reqs["r0"].final; got != "served" {
				t.Errorf("answer %q, want served", got)
			}
		})
	}
}

// Hazard: where a cancel stops nothing, copies of jobs that only wait make every wait longer, and every
// longer wait makes more copies.
func TestNoCopiesOfJobsThatOnlyWait(t *testing.T) {
	set := testSettings()
	set.TellsStart, set.Limits.SecondCopies, set.Progress = true, true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.members(Whole, fleet(2)...)
	for i := range 6 {
		r.request(job(i, safeClass))
	}
	sent := len(r.sends)
	for _, s := range slices.Clone(r.sends[:2]) {
		r.start(&s)
	}
	for range 20 {
		r.pass(100 * time.Millisecond)
		for i := range 2 {
			r.note(&r.sends[i])
		}
	}
	if len(r.sends) != sent {
		t.Errorf("%d copies of jobs that wait in a queue", len(r.sends)-sent)
	}
}

// Hazard: a silent worker keeps its count and wins draws until its first attempt times out.
func TestSilentWorkerIsNotDrawn(t *testing.T) {
	set := testSettings()
	set.TellsStart, set.Progress = true, 200*time.Millisecond
	r := newRecorder(t, set)
	r.members(Whole, fleet(4)...)
	r.request(job(0, safeClass))
	silent := r.last().w
	r.start(r.last())
	r.pass(time.Second)
	for i := 1; i < 20; i++ {
		r.request(job(i, safeClass))
		if r.last().w == silent {
			t.Fatal("a job went to a worker that has fallen silent")
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

// Reports of free slots make a busy worker count as busy.
func TestReportsOfOthers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(2)...)
	busy := 0
	for i := range 200 {
		r.request(job(i, safeClass))
		s := r.last()
		r.pass(time.Millisecond)
		rep := freeSlots(4)
		if s.w == 100 && i > 10 {
			rep = freeSlots(0)
			busy++
		}
		r.endWith(s, OK, rep)
	}
	if busy > 40 {
		t.Errorf("%d of 190 jobs went to the worker whose slots others hold", busy)
	}
}

// Few reports by probe are enough to turn jobs away from a worker that others fill; those in answers
// come only from where jobs go and count little.
func TestProbedReportsCountMore(t *testing.T) {
	for _, c := range []struct {
		name   string
		probed bool
		most   int
	}{{"probed", true, 0}, {"in answers", false, 3}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportProbed = c.probed
			r := newRecorder(t, set)
			r.members(Whole, fleet(2)...)
			for _, free := range []float64{8, 0, 0, 0} {
				r.b.Probed(r.now, 100, OK, time.Millisecond, freeSlots(free))
			}
			there := 0
			for i := range 5 {
				r.request(job(i, safeClass))
				if r.last().w == 100 {
					there++
				}
			}
			if there > c.most || c.most > 0 && there == 0 {
				t.Errorf("%d of 5 jobs went to the worker that others fill, want at most %d", there, c.most)
			}
		})
	}
}

func TestProbesWhereReportsComeNoOtherWay(t *testing.T) {
	for _, c := range []struct {
		name            string
		probed, allowed bool
		want            int
	}{{"probed", true, true, 6}, {"in answers", false, true, 0}, {"forbidden", true, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportProbed, set.Limits.Probes = c.probed, c.allowed
			r := newRecorder(t, set)
			r.members(Whole, fleet(3)...)
			for i := range 6 {
				r.request(job(i, safeClass))
				r.pass(time.Millisecond)
			}
			if len(r.asked) != c.want {
				t.Errorf("%d probes, want %d", len(r.asked), c.want)
			}
			if c.want > 0 && len(slices.Compact(slices.Sorted(slices.Values(r.asked)))) != 3 {
				t.Errorf("probed %v, want all three in turn", r.asked)
			}
		})
	}
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for _, c := range []struct {
		want string
		do   func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[1].Deadline", func(s *Settings) { s.Classes[1].Deadline = 0 }},
		{"Classes[0].Kind", func(s *Settings) { s.Classes[0].Kind = 7 }},
		{"Limits.Attempts", func(s *Settings) { s.Limits.Attempts = -1 }},
		{"Rules.ColdShare", func(s *Settings) { s.Rules.ColdShare = 2 }},
		{"Me", func(s *Settings) { s.Me = 1 }},
		{"Zone", func(s *Settings) { s.Zones, s.Zone = 2, 2 }},
	} {
		set := testSettings()
		c.do(&set)
		if _, err := New(set, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("New: %v, want it to name %s", err, c.want)
		}
	}
	if _, err := New(testSettings(), 1, nil); err == nil {
		t.Error("New without actions gave no error")
	}
}

// Odd events change no count and break no rule.
func TestOddEvents(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(2)...)
	r.request(job(0, unsafeClass))
	s := r.last()
	r.b.Request(r.now, job(0, unsafeClass))                           // the same ID
	r.b.Outcome(r.now, Outcome{ID: "nobody"})                         // unknown
	r.b.Outcome(r.now, Outcome{ID: s.id, Attempt: 9, Result: Error})  // unknown attempt
	r.b.Progress(r.now, Note{ID: s.id, Attempt: -1, Started: true})   // unknown attempt
	r.b.Progress(r.now, Note{ID: "nobody", Started: true})            // unknown
	r.b.Probed(r.now, 9999, OK, 0, NoReport)                          // unknown worker
	r.b.Timer(r.now, 12345)                                           // unknown timer
	r.b.Gone(r.now, "nobody")                                         // unknown
	r.end(s, OK)                                                      // the one that counts
	r.b.Outcome(r.now, Outcome{ID: s.id, Worker: s.w, Result: Error}) // repeated
	r.request(Request{ID: "late", Class: unsafeClass})                // no time left
	for _, w := range r.b.workers {
		if w.own != 0 {
			t.Errorf("worker %d holds %v", w.ID, w.own)
		}
	}
	if len(r.sends) != 1 {
		t.Errorf("%d sends, want 1", len(r.sends))
	}
}

// fuzzRun plays the events that data spells, legal and odd, against the recorder.
func fuzzRun(t *testing.T, data []byte) {
	set := testSettings()
	if len(data) > 0 {
		set.Limits.SecondCopies = data[0]&1 != 0
		set.TellsStart = data[0]&2 != 0
		set.ReportProbed = data[0]&4 != 0
		set.MustAsk = data[0]&8 != 0
	}
	r := newRecorder(t, set)
	r.members(Cached, fleet(4)...)
	for i := 0; i+1 < len(data); i += 2 {
		x := int(data[i+1])
		switch data[i] % 8 {
		case 0, 1:
			q := job(i, x%3)
			q.Slots, q.Left = float64(x%4), time.Duration(x)*20*time.Millisecond
			r.request(q)
		case 2, 3:
			if n := len(r.sends); n > 0 {
				if s := &r.sends[n-1-x%n]; !s.ended {
					r.end(s, Result(x/8%8))
				}
			}
		case 4:
			r.pass(time.Duration(x) * 10 * time.Millisecond)
		case 5:
			r.members(Changes, Worker{ID: WorkerID(100 + x%6), Cell: x % 3, State: State(x / 8 % 3),
				Since: time.Duration(x/32%2) * r.now})
		case 6:
			if n := len(r.sends); n > 0 {
				r.start(&r.sends[n-1-x%n])
			}
		case 7:
			rep := freeSlots(float64(x % 5))
			rep.Queue = float64(x / 8 % 5)
			r.b.Probed(r.now, WorkerID(100+x%6), OK, 0, rep)
		}
	}
	r.pass(6 * time.Second)
	if len(r.b.open) != 0 {
		t.Fatalf("%d requests are open after all deadlines", len(r.b.open))
	}
	for _, w := range r.b.workers {
		if w.own != 0 {
			t.Fatalf("worker %d holds %v after all ended", w.ID, w.own)
		}
	}
}

func FuzzRules(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		data := make([]byte, 400)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(fuzzRun)
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() []recSend {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(9)...)
		for i := range 300 {
			r.request(job(i, i%3))
			r.pass(3 * time.Millisecond)
			if i%2 == 0 && !r.sends[len(r.sends)/2].ended {
				r.end(&r.sends[len(r.sends)/2], OK)
			}
		}
		return r.sends
	}
	if !slices.Equal(play(), play()) {
		t.Error("two runs of the same events differ")
	}
}

// Hazard: with many dispatchers all counts are zero and each meets every worker once in a long while.
func TestHomes(t *testing.T) {
	met := func(me int) map[WorkerID]int {
		set := testSettings()
		set.Me, set.Fleet = me, 16
		r := newRecorder(t, set)
		r.members(Whole, fleet(16)...)
		got := map[WorkerID]int{}
		for i := range 200 {
			r.request(job(i, safeClass))
			got[r.last().w]++
			r.end(r.last(), OK)
		}
		return got
	}
	homes := map[WorkerID]bool{}
	for me := range 16 {
		home, most := WorkerID(0), 0
		for w, n := range met(me) {
			if n > most {
				home, most = w, n
			}
		}
		if most < 100 {
			t.Errorf("dispatcher %d sent at most %d of 200 jobs to one worker, want half", me, most)
		}
		homes[home] = true
	}
	if len(homes) < 12 {
		t.Errorf("16 dispatchers have %d homes on 16 workers", len(homes))
	}
}

// Rule 4, where a dispatcher's part of a cold worker's budget is less than a job: a long quiet saves nothing
// up, so that when all other workers go the dispatchers don't all send at once; and yet the worker gets jobs.
func TestColdTurns(t *testing.T) {
	const many = 40
	var ru Rules
	var at []time.Duration // the sends to the cold worker, by its age
	for me := range many {
		set := testSettings()
		set.Me, set.Fleet, set.Rules.AnswerSlack = me, many, 200*time.Millisecond
		ru = set.Rules
		r := newSeeded(t, set, uint64(me))
		r.members(Whole, fleet(4)...)
		for i := range 40 { // each bears a fortieth of four warm workers' load of 0.8
			r.request(hinted(i))
			r.pass(100 * time.Millisecond)
			r.end(r.last(), OK)
			r.pass(1150 * time.Millisecond)
		}
		r.members(Changes, Worker{ID: 200, State: Ready, Since: r.now})
		r.pass(5 * time.Second)
		r.members(Whole, Worker{ID: 200, State: Ready, Since: r.work[200].Since})
		for i := range 80 {
			r.request(hinted(1000 + i))
			if s := r.last(); !s.ended {
				at = append(at, r.now-r.work[200].Since)
				r.end(s, OK)
			}
			r.pass(50 * time.Millisecond)
		}
	}
	if len(at) < 10 {
		t.Errorf("the cold worker got %d jobs from %d dispatchers", len(at), many)
	}
	slices.Sort(at)
	for i, from := range at {
		n := 0
		for _, a := range at[i:] {
			if a-from < ru.Fall {
				n++
			}
		}
		share := ru.ColdShare + (1-ru.ColdShare)*float64(from)/float64(ru.Cold)
		if limit := ru.OverloadFactor * share * ru.Fall.Seconds() / 0.1; float64(n) > limit {
			t.Fatalf("%d jobs in a window from age %v, want at most %.0f", n, from, limit)
		}
	}
}

// Hazard: each of many dispatchers loses some jobs to a failing worker before it knows.
func TestFailureToldToPeers(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.members(Whole, fleet(2)...)
	bad := r.work[100].ID
	r.b.Peer(r.now, 3, []byte{0, 0, 0, byte(bad)})
	for i := range 20 {
		r.request(job(i, unsafeClass))
		if s := r.last(); s.w == bad {
			t.Fatal("an unsafe job went to a worker that had just failed another dispatcher's")
		}
	}
	r.end(r.last(), Error)
	if len(r.tells) != 1 || string(r.tells[0]) != "\x00\x00\x00\x65" {
		t.Errorf("told %q after a failure, want the worker's ID", r.tells)
	}
	r.b.Peer(r.now, 3, []byte("?")) // not ours: no harm
	r.request(job(100, safeClass))
	r.end(r.last(), ConnectFailed)
	if len(r.tells) != 1 {
		t.Error("peers were told of a connection that failed; the path may be this dispatcher's alone")
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

// Hazard: jobs shorter than the clock's tick have no running time, and a pace of zero is divided by.
func TestTimesOfNothing(t *testing.T) {
	r := startsTold(t, 1)
	r.serve(0, 20, safeClass, 50*time.Millisecond, freeSlots(1))
	r.serve(100, 300, safeClass, 0, freeSlots(1))
	if w := r.b.byID[100]; w.pace < slow || r.b.paces[w.Kind] < slow {
		t.Errorf("paces of %v and %v after jobs that took no time", w.pace, r.b.paces[w.Kind])
	}
}

// Where 'full' is no proof, a job turned away may have run: unsafe ones end there, as failed; keyed ones stay
// in their group.
func TestFullUnproven(t *testing.T) {
	for class, want := range []struct {
		sends int
		final string
	}{{2, ""}, {2, ""}, {1, "failed"}} {
		set := testSettings()
		set.Rules.FullUnproven = true
		r := newRecorder(t, set)
		r.members(Whole, fleet(8)...)
		r.request(job(0, class))
		r.end(r.last(), Full)
		if len(r.sends) != want.sends || r.reqs["r0"].final != want.final {
			t.Errorf("class %d: %d sends, answer %q; want %d, %q", class, len(r.sends), r.reqs["r0"].final,
				want.sends, want.final)
		}
	}
}

// When all attempts fail, further ones stay within the budget of every window, and those that it has
// room for are made.
func TestBudgetOfFurtherAttempts(t *testing.T) {
	set := testSettings()
	set.Rules.Budget, set.Rules.FreeFurther, set.Rules.FurtherShare = 2*time.Second, 4, 0.1
	r := newRecorder(t, set)
	r.members(Whole, fleet(8)...)
	for i := range 400 {
		r.request(job(i, safeClass))
		for r.reqs[job(i, safeClass).ID].final == "" {
			r.end(r.last(), ConnectFailed)
		}
		r.pass(time.Duration(5+i%7) * time.Millisecond)
		if i == 200 {
			r.pass(1900 * time.Millisecond) // few requests are in the window, and the attempts still are
		}
	}
	if n := len(r.further); n < 25 || n > 60 {
		t.Errorf("%d further attempts for 400 requests in some five seconds, want 4 each two and a tenth", n)
	}
}

// Where a tenant sends far beyond its allowance and jobs wait, the excess is refused and the others'
// jobs go on; while nothing waits nobody is refused.
func TestExcessOfATenantRanksLast(t *testing.T) {
	set := testSettings()
	set.TellsStart, set.OverShare, set.Classes = true, 0.05, set.Classes[:1]
	set.Tenants = []Tenant{{Share: 0.5, Allowance: 4}, {Share: 0.5, Allowance: 4}}
	r := newRecorder(t, set)
	r.members(Whole, fleet(2)...)
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

// One of many dispatchers, whose news of a worker is long past, asks some workers before it sends: the job
// goes to the emptiest of those that answer, and soon goes on without those that don't.
func TestAskedFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers int
	}{{"all answer", 3}, {"two answer", 2}, {"none answers", 0}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.ReportProbed, set.Fleet = true, 100
			r := newRecorder(t, set)
			r.members(Whole, fleet(40)...)
			for i := range 30 { // rare requests: each worker is met twice a minute
				r.request(job(i, safeClass))
				for _, w := range r.asked[len(r.asked)-min(choices, len(r.asked)):] {
					r.b.Probed(r.now, w, OK, 0, freeSlots(4))
				}
				r.pass(time.Second)
				r.end(r.last(), OK)
			}
			sent, asked := len(r.sends), len(r.asked)
			r.request(job(100, safeClass))
			if n := len(r.asked) - asked; n != choices || len(r.sends) != sent {
				t.Fatalf("%d workers asked and %d sends, want %d and none yet", n, len(r.sends)-sent, choices)
			}
			for i, w := range r.asked[asked : asked+c.answers] {
				r.b.Probed(r.now, w, OK, 0, freeSlots(float64(2*i)))
			}
			r.pass(set.Classes[safeClass].Aim/brief + r.b.sweepEvery())
			if len(r.sends) != sent+1 {
				t.Fatalf("%d sends, want one", len(r.sends)-sent)
			}
			if c.answers > 0 && r.last().w != r.asked[asked+c.answers-1] {
				t.Errorf("sent to %d, want the emptiest that answered, of %v", r.last().w, r.asked[asked:])
			}
		})
	}
}

// Nobody waits for what a client that has left had asked for, nor for a second copy of
// what is answered: both are given up, once, where the deployment lets us.
func TestStopsWhatNobodyWaitsFor(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := testSettings()
		set.TellsStart, set.Limits.SecondCopies, set.Limits.Cancel = true, true, allowed
		set.Progress = 200 * time.Millisecond
		r := newRecorder(t, set)
		r.members(Whole, fleet(4)...)
		r.request(job(0, safeClass))
		r.start(r.last())
		r.pass(time.Second) // a second copy goes out
		if len(r.sends) != 2 {
			t.Fatalf("%d copies are out, want 2", len(r.sends))
		}
		r.end(&r.sends[1], OK)
		r.request(job(1, safeClass))
		r.b.Gone(r.now, "r1")
		r.reqs["r1"].final = "gone"
		r.b.Gone(r.now, "r1")
		want := []string{"r0/0", "r1/0"}
		if !allowed {
			want = nil
		}
		if !slices.Equal(r.cancels, want) {
			t.Errorf("gave up %v, want %v", r.cancels, want)
		}
	}
}

// A job that is lost when its aim is past goes out again where there is room, and gives way where there is
// none: a late answer earns less than others' jobs, but more than a failure.
func TestLateJobGoesOn(t *testing.T) {
	for _, busy := range []bool{false, true} {
		set := testSettings()
		set.Limits.Attempts = 5
		r := newRecorder(t, set)
		r.members(Whole, fleet(2)...) // of one cell
		r.serve(0, 20, keyedClass, 100*time.Millisecond, NoReport)
		r.request(job(100, keyedClass))
		lost := len(r.sends) - 1
		r.pass(1500 * time.Millisecond) // the aim is 0.2 s and twice the running time
		if busy {
			for _, w := range r.b.workers {
				w.others = 10
			}
		}
		r.end(&r.sends[lost], Reset)
		again := len(r.sends) == lost+2
		if final := r.reqs["r100"].final; again == busy || busy != (final == "failed") {
			t.Errorf("busy %v: sent again %v, final answer %q", busy, again, final)
		}
	}
}

// A job that a worker can't make sense of goes to no other, and the worker is as well as before.
func TestRejectedJob(t *testing.T) {
	for class := range testSettings().Classes {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(4)...)
		r.request(job(0, class))
		r.end(r.last(), Rejected)
		if q := r.reqs["r0"]; q.final != "failed" || len(r.sends) != 1 {
			t.Errorf("class %d: %q after %d sends, want failed after 1", class, q.final, len(r.sends))
		}
		for _, w := range r.b.workers {
			if w.ill != 0 || w.own != 0 {
				t.Errorf("class %d: worker %d is ill by %v and holds %v", class, w.ID, w.ill, w.own)
			}
		}
	}
}

// A request that ends while it waits for loads is forgotten, and its place is not used by another too early.
func TestGoneWhileAsking(t *testing.T) {
	set := testSettings()
	set.ReportProbed, set.Fleet = true, 100
	r := newRecorder(t, set)
	r.members(Whole, fleet(40)...)
	r.pass(time.Minute)
	r.request(job(0, safeClass))
	r.b.Gone(r.now, "r0")
	r.reqs["r0"].final = "gone"
	r.request(job(1, safeClass))
	r.pass(time.Second)
	if len(r.sends) != 1 || r.last().id != "r1" || len(r.b.asking) != 0 {
		t.Errorf("sends %v, %d still asking; want r1 alone", r.sends, len(r.b.asking))
	}
}

// Where jobs were turned away lately, excess stays out though the worker drawn looks free: it would take
// the next gap from the others.
func TestExcessStaysOutOfACrowd(t *testing.T) {
	set := testSettings()
	set.OverShare, set.Classes, set.TellsStart = 0.05, set.Classes[:1], true
	set.Tenants = []Tenant{{Share: 0.5, Allowance: 1}, {Share: 0.5, Allowance: 100}}
	r := newRecorder(t, set)
	r.members(Whole, fleet(8)...)
	r.b.tenants[0].at = r.now // its allowance is used up
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
			r.end(r.last(), Full)
		}
	}
	r.pass(3 * time.Second)
	for i := range 10 {
		if send(200+i, 0) != nil && i >= spare { // what it has saved up is not excess
			t.Fatal("excess was sent soon after jobs were turned away")
		}
	}
}

// A job turned away makes others be refused elsewhere only where starts are told, which also tell of jobs
// that met no wait.
func TestTurnedAwayAsAWait(t *testing.T) {
	for _, told := range []bool{false, true} {
		set := testSettings()
		set.TellsStart = told
		r := newRecorder(t, set)
		r.members(Whole, fleet(8)...)
		r.serve(0, 20, safeClass, time.Second, NoReport)
		r.pass(10 * time.Second)
		for i := range 6 {
			r.request(job(100+i, safeClass))
			r.end(r.last(), Full)
		}
		if got := r.b.usualWait(r.now) > 0; got != told {
			t.Errorf("starts told %v: a wait is usual %v", told, got)
		}
	}
}

// A tenant without an allowance is not limited, whatever it sends.
func TestTenantWithoutAllowance(t *testing.T) {
	set := testSettings()
	set.OverShare, set.Tenants = 0.05, []Tenant{{Share: 1}}
	r := newRecorder(t, set)
	r.members(Whole, fleet(2)...)
	for i := range 20 {
		r.request(job(i, safeClass))
		if r.b.open[job(i, safeClass).ID].excess {
			t.Fatal("a request of a tenant that is not limited is excess")
		}
		r.pass(50 * time.Millisecond)
		r.end(r.last(), OK)
	}
}

// A change of the classes under load: what is open keeps its terms, what comes has the new.
func TestConfigureKeepsOpenRequests(t *testing.T) {
	r := newRecorder(t, Settings{Classes: []Class{{Name: "c", Deadline: 10 * time.Second, Aim: time.Second,
		Worth: 1, Attempts: 2, Kind: -1}}, Limits: Limits{Attempts: 5}, Kinds: 1})
	b := r.b
	set := b.set
	set.Classes = []Class{{Name: "c", Deadline: 10 * time.Second, Aim: 2 * time.Second, Worth: 7, Kind: -1}}
	r.members(Whole, Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready}, Worker{ID: 3, State: Ready})
	r.request(Request{ID: "old", Left: 10 * time.Second})
	if err := b.CanConfigure(set); err != nil {
		t.Fatal(err)
	}
	b.Configure(set)
	r.request(Request{ID: "new", Left: 10 * time.Second})
	if got := b.attempts(b.open["old"]); got != 2 {
		t.Errorf("an open request has %d attempts, came with 2", got)
	}
	if got := b.attempts(b.open["new"]); got != 5 {
		t.Errorf("a new request has %d attempts, not the 5 of the limits", got)
	}
	if b.open["old"].class.Worth != 1 || b.open["new"].class.Worth != 7 {
		t.Error("a request does not have the class that it came with")
	}
	for _, spoil := range []func(*Class){
		func(c *Class) { c.Effect = Unsafe }, func(c *Class) { c.Name = "d" },
		func(c *Class) { c.Window = time.Hour }, func(c *Class) { c.Deadline = -1 }} {
		bad := set
		bad.Classes = append([]Class(nil), set.Classes...)
		spoil(&bad.Classes[0])
		if b.CanConfigure(bad) == nil {
			t.Errorf("taken over live: %+v", bad.Classes[0])
		}
	}
}

// A cold worker that operators have put back gets a job soon, and no more than its budget.
func TestOwedWorkerGetsAJob(t *testing.T) {
	for _, owed := range []bool{true, false} {
		set := testSettings()
		set.Rules.Cold, set.Rules.ColdShare = 20*time.Second, 0.12
		set.Rules.OverloadFactor, set.Rules.Fall = 3, time.Second
		r := newRecorder(t, set)
		list := fleet(4)
		r.members(Whole, list...)
		run := func(from, n int) (got int) {
			for i := range n {
				r.now += 50 * time.Millisecond
				r.request(job(from+i, 0))
				s := r.last()
				r.now += 30 * time.Millisecond
				if r.end(s, OK); s.w == list[0].ID {
					got++
				}
			}
			return got
		}
		run(0, 100)
		back := list[0]
		back.Since = r.now
		r.members(Changes, back)
		if owed {
			r.b.Owe(back.ID)
		}
		if got := run(1000, 1); (got == 1) != owed {
			t.Errorf("owed %v: the first job went there %d times", owed, got)
		}
		if r.b.owing != 0 {
			t.Error("it is owed more than one job")
		}
	}
}

// A process that takes another's place knows what that one spent on a cold worker, which
// workers fail, and what is out.
func TestMemoryPassesOn(t *testing.T) {
	set := testSettings()
	first := newRecorder(t, set)
	list := fleet(3)
	first.members(Whole, list...)
	for i := range 200 {
		first.now += 20 * time.Millisecond
		first.request(job(i, safeClass))
		if s := first.last(); s.w == list[0].ID {
			first.end(s, Error)
			first.now += time.Millisecond
			continue
		}
		first.end(first.last(), OK)
	}
	cold := list[2]
	cold.Since = first.now
	first.members(Changes, cold)
	first.b.byID[cold.ID].sent = []load{{first.now, 7}}
	for range 3 {
		first.b.fails(first.now, first.b.byID[list[0].ID])
	}
	first.request(job(1000, safeClass))

	raw, err := json.Marshal(first.b.Memory())
	if err != nil {
		t.Fatal(err)
	}
	var m Memory
	if err := json.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	second := newSeeded(t, set, 2)
	second.now = first.now
	second.members(Cached, list[0], list[1], cold)
	second.b.Recall(second.now, m)
	if w := second.b.byID[cold.ID]; len(w.sent) != 1 || w.sent[0].work != 7 {
		t.Errorf("what was spent on the cold worker: %v", w.sent)
	}
	if second.b.illness(second.now, second.b.byID[list[0].ID]) < suspect {
		t.Error("the failing worker is trusted")
	}
	out := 0.0
	for id, n := range first.b.Held() {
		second.b.Beside(id, n)
		out += second.b.held(second.now, second.b.byID[id])
	}
	if out != 1 || second.b.mean != first.b.mean || second.b.ratio != first.b.ratio {
		t.Errorf("%v jobs are out, the usual time is %v, was %v", out, second.b.mean, first.b.mean)
	}
	for id := range first.b.Held() { // and they end
		second.b.Beside(id, 0)
		if n := second.b.held(second.now, second.b.byID[id]); n != 0 {
			t.Errorf("%v jobs are out of a process that has none", n)
		}
	}
	// Hazard: the other process's clock is ahead, and an illness grows with time.
	behind := newSeeded(t, set, 3)
	behind.now = first.now - time.Minute
	behind.members(Cached, list[0], list[1], cold)
	behind.b.Recall(behind.now, m)
	if ill := behind.b.illness(behind.now, behind.b.byID[list[0].ID]); ill > 1 {
		t.Errorf("by a clock that is behind a worker is ill by %v", ill)
	}
	second.b.Recall(second.now, Memory{Ratio: 1, Usual: []float64{1}}) // of other settings
	// A process of before the hints' measure tells no full workers, and counts by how long jobs run.
	m.Full, m.Loads[0], m.Ratio = nil, [2]float64{8, 4}, 2
	older := newSeeded(t, set, 4)
	older.now = first.now
	older.members(Cached, list[0], list[1], cold)
	older.b.Recall(older.now, m)
	if rate, sent := older.b.warmRate(0), older.b.byID[cold.ID].sent[0].work; rate != 1 || sent != 3.5 {
		t.Errorf("from an older process a warm worker bears %v, want 1; 7 spent are %v, want 3.5", rate, sent)
	}
}

// After a release most of many dispatchers start at once: each asks for the list at a time of
// its own, and few of a small fleet wait.
func TestManyAskInTurn(t *testing.T) {
	for _, fleet := range []int{1, many - 1, many, 48} {
		asked := map[time.Duration]int{}
		var last time.Duration
		for me := range fleet {
			set := testSettings()
			set.MustAsk, set.Fleet, set.Me = true, fleet, me
			r := newRecorder(t, set)
			began := r.now
			r.members(Cached)
			for r.watch == 0 {
				r.pass(time.Millisecond)
			}
			asked[r.now-began]++
			last = max(last, r.now-began)
		}
		if fleet < many && last > 0 {
			t.Errorf("of %d dispatchers one waits for %v", fleet, last)
		}
		for at, n := range asked {
			if fleet >= many && (n > 1 || at > testSettings().Classes[0].Deadline/firstAsks) {
				t.Errorf("%d of %d dispatchers ask after %v", n, fleet, at)
			}
		}
	}
}

// Requests that come before the first list wait for it, but only for a part of their time.
func TestRequestsWaitForTheFirstList(t *testing.T) {
	set := testSettings()
	set.MustAsk = true
	r := newRecorder(t, set)
	r.members(Cached)
	early := job(0, 0)
	r.request(early)
	r.pass(100 * time.Millisecond)
	if got := r.reqs[early.ID].final; got != "" || len(r.sends) != 0 {
		t.Fatalf("before the list: %q, %d sends", got, len(r.sends))
	}
	r.members(Whole, fleet(3)...)
	if len(r.sends) != 1 {
		t.Fatalf("%d sends with the list there", len(r.sends))
	}

	r = newRecorder(t, set)
	r.members(Cached)
	late := job(0, 0)
	late.Left = time.Second
	r.request(late)
	r.pass(late.Left/firstList + 100*time.Millisecond)
	if got := r.reqs[late.ID].final; got != "refused" {
		t.Errorf("after half of its time without a list: %q", got)
	}
	left := job(1, 0)
	r = newRecorder(t, set)
	r.members(Cached)
	r.request(left)
	r.b.Gone(r.now, left.ID)
	r.members(Whole, fleet(3)...)
	if len(r.sends) != 0 {
		t.Error("a request whose client has left is sent once the list is there")
	}
}

// However long the list's service was down, the list is asked for soon enough that nothing it has to tell
// when it is back is missed: that counts as told 6 s later.
func TestListIsAskedForAfterALongOutage(t *testing.T) {
	for _, fleet := range []int{1, many, 300} {
		set := testSettings()
		set.MustAsk, set.Fleet = true, fleet
		r := newRecorder(t, set)
		r.members(Cached)
		for range 40 {
			asked, began := r.watch, r.now
			r.members(Failed)
			for r.watch == asked {
				r.pass(10 * time.Millisecond)
			}
			if waited := r.now - began; waited > longestAsk+20*time.Millisecond {
				t.Fatalf("one of %d dispatchers waits for %v", fleet, waited)
			}
		}
	}
}

// Repeats of a keyed request that may have run end a stall before the window does, and one that was begun and
// waits to be written ends with it.
func TestRepeatsEndAStallBeforeTheWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sends int
	}{{-10 * time.Millisecond, 2}, {10 * time.Millisecond, 1}} {
		r := newRecorder(t, testSettings())
		r.members(Whole, fleet(4)...)
		window := r.set.Classes[keyedClass].Window
		q := job(0, keyedClass)
		q.Left = 10 * window
		r.request(q)
		r.pass(window - stall + c.after)
		r.end(&r.sends[0], Reset)
		if len(r.sends) != c.sends {
			t.Errorf("%v from a stall before the window's end: %d sends, want %d", c.after, len(r.sends),
				c.sends)
		}
		if c.sends == 2 && (!r.b.StillAllowed(r.now, q.ID, 1) || r.b.StillAllowed(r.now+stall, q.ID, 1)) {
			t.Error("a repeat that waits to be written is allowed beyond the window, or not within it")
		}
	}
}
