package emulate

import (
	"math"
	"math/rand/v2"
	"time"

	"moorstack/internal/portablemath"
)

// JSQ is the standard join-the-shortest-queue model: one dispatcher that sees every queue, N single-slot
// servers, exponential work with a mean of 1 s, Poisson arrivals, and each job joining the shortest of D
// queues drawn at random. It serves to validate the emulator against closed forms, and to show the result
// behind the sample size d(N) (Mukherjee, Borst, van Leeuwaarden, Whiting).
type JSQ struct {
	N    int     // servers
	D    int     // queues drawn for each job; N: all of them
	Load float64 // arrivals per second and server, below 1
	Seed uint64
	Jobs int // number of jobs measured, after a warm-up of a third as many
}

// JSQResult holds the measurements of a run.
type JSQResult struct {
	MeanWait     float64 `json:"wait"`  // in units of the mean service time
	WaitingShare float64 `json:"waits"` // share of the jobs that have to wait
	// Tails[k] is the share of the servers with k or more jobs, as seen by arriving jobs.
	Tails []float64 `json:"tails"`
}

// maxTail is the highest index of JSQResult.Tails.
const maxTail = 12

// SampleSize returns d(N), the number of workers to sample out of n: min(n, max(2, ceil(sqrt(n) ln n))).
func SampleSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*portablemath.Log(float64(n))))))
}

// jsqRun is the state of a run of a JSQ.
type jsqRun struct {
	JSQ
	clock                    Clock
	arrivals, sizes, draws   *rand.Rand
	queues                   [][]time.Duration // the sizes of each server's jobs; the first is in service
	order                    []int32           // permutation of the servers, for draws without replacement
	atLeast                  []int             // atLeast[k]: number of servers with k or more jobs
	inSystem, idle           int               // jobs in the system, and idle servers
	warmUp, created, counted int               // jobs for the warm-up, created and measured
	waiting                  float64           // sum of the queued jobs that the measured jobs find
	result                   JSQResult
}

// Run simulates the model and returns its measurements.
func (j JSQ) Run() JSQResult {
	s := RandomStreams{j.Seed}
	r := &jsqRun{JSQ: j, arrivals: s.Source("arrivals", 0), sizes: s.Source("sizes", 0),
		draws: s.Source("draws", 0), queues: make([][]time.Duration, j.N), order: make([]int32, j.N),
		atLeast: make([]int, maxTail+1), idle: j.N, warmUp: j.Jobs / 3}
	for i := range r.order {
		r.order[i] = int32(i)
	}
	r.atLeast[0] = j.N
	r.result.Tails = make([]float64, maxTail+1)
	r.arrive()
	r.clock.Run(1 << 62)
	r.result.WaitingShare /= float64(r.counted)
	for k := range r.result.Tails {
		r.result.Tails[k] /= float64(r.counted)
	}
	r.result.MeanWait = r.waiting / float64(r.counted) / (j.Load * float64(j.N)) // Little's law
	return r.result
}

// arrive handles the arrival of a job and schedules the next one.
func (r *jsqRun) arrive() {
	r.created++
	q := r.drawShortest()
	size := time.Duration(portablemath.Exponential(r.sizes) * 1e9)
	if r.created > r.warmUp {
		r.measure(q)
	}
	r.queues[q] = append(r.queues[q], size)
	r.inSystem++
	if n := len(r.queues[q]); n <= maxTail {
		r.atLeast[n]++
	}
	if len(r.queues[q]) == 1 {
		r.idle--
		r.clock.After(size, func() { r.depart(q) })
	}
	if r.created < r.warmUp+r.Jobs {
		r.clock.After(time.Duration(portablemath.Exponential(r.arrivals)/(r.Load*float64(r.N))*1e9), r.arrive)
	}
}

// measure records the state that a job finds when it joins the queue of server q.
func (r *jsqRun) measure(q int) {
	r.counted++
	r.waiting += float64(r.inSystem - (r.N - r.idle))
	for k, n := range r.atLeast {
		r.result.Tails[k] += float64(n) / float64(r.N)
	}
	if len(r.queues[q]) > 0 {
		r.result.WaitingShare++
	}
}

// depart handles the departure of the job in service at server q.
func (r *jsqRun) depart(q int) {
	if n := len(r.queues[q]); n <= maxTail {
		r.atLeast[n]--
	}
	r.queues[q] = append(r.queues[q][:0], r.queues[q][1:]...)
	r.inSystem--
	if len(r.queues[q]) == 0 {
		r.idle++
	} else {
		r.clock.After(r.queues[q][0], func() { r.depart(q) })
	}
}

// drawShortest draws D distinct servers and returns the one with the shortest queue. Ties are broken at
// random: the order of the draws is random, and the first of equals wins.
func (r *jsqRun) drawShortest() int {
	best := -1
	for i := range r.D {
		k := i + r.draws.IntN(r.N-i)
		r.order[i], r.order[k] = r.order[k], r.order[i]
		q := int(r.order[i])
		if best < 0 || len(r.queues[q]) < len(r.queues[best]) {
			best = q
		}
	}
	return best
}

// MeanFieldTail is the limit of Tails[k] for many servers and a fixed D (Vvedenskaya, Dobrushin, Karpelevich
// 1996; Mitzenmacher 1996).
func MeanFieldTail(load float64, d, k int) float64 {
	if d == 1 {
		return portablemath.Pow(load, float64(k))
	}
	return portablemath.Pow(load, (portablemath.Pow(float64(d), float64(k))-1)/float64(d-1))
}
