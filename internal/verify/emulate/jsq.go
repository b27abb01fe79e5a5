package emulate

import (
	"math"
	"math/rand/v2"
	"time"
)

// JSQ is the textbook's world: one dispatcher that sees every queue, N servers of one slot, exponential work
// of mean 1 s, Poisson arrivals, and each job joining the shortest of D queues drawn at random. It is there
// to hold the emulator against closed forms, and to show what the design's d(N) rests on (Mukherjee, Borst,
// van Leeuwaarden, Whiting).
type JSQ struct {
	N    int     // servers
	D    int     // queues drawn for a job; N: all of them
	Load float64 // arrivals a second for each server, below 1
	Seed uint64
	Jobs int // counted, after as many as a third of them to warm up
}

// JSQResult is what was measured.
type JSQResult struct {
	MeanWait     float64 `json:"wait"`  // in mean service times
	WaitingShare float64 `json:"waits"` // of jobs that wait at all
	// Tails are, for k from 0, the share of the servers with k jobs or more, as arriving jobs find them.
	Tails []float64 `json:"tails"`
}

// maxTail is the largest k of JSQResult.Tails.
const maxTail = 12

// SampleSize is d(N) as the design has it: min(N, max(2, ceil(sqrt(N) ln N))).
func SampleSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*math.Log(float64(n))))))
}

// jsqRun is a run of a JSQ.
type jsqRun struct {
	JSQ
	clock                  Clock
	arrivals, sizes, draws *rand.Rand
	queues                 [][]time.Duration // the jobs' sizes; the first is being served
	order                  []int32           // of the queues, for draws without repeats
	atLeast                []int             // k: servers with k jobs or more
	inside, idle           int               // jobs, and servers without any
	warmUp, made, counted  int               // jobs
	waiting                float64           // sum over the counted of the jobs that wait
	result                 JSQResult
}

// Run runs it.
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

// arrive is a job's arrival, which schedules the next one.
func (r *jsqRun) arrive() {
	r.made++
	q := r.shortest()
	size := time.Duration(r.sizes.ExpFloat64() * 1e9)
	if r.made > r.warmUp {
		r.count(q)
	}
	r.queues[q] = append(r.queues[q], size)
	r.inside++
	if n := len(r.queues[q]); n <= maxTail {
		r.atLeast[n]++
	}
	if len(r.queues[q]) == 1 {
		r.idle--
		r.clock.After(size, func() { r.depart(q) })
	}
	if r.made < r.warmUp+r.Jobs {
		r.clock.After(time.Duration(r.arrivals.ExpFloat64()/(r.Load*float64(r.N))*1e9), r.arrive)
	}
}

// count measures what a job finds that joins a queue.
func (r *jsqRun) count(q int) {
	r.counted++
	r.waiting += float64(r.inside - (r.N - r.idle))
	for k, n := range r.atLeast {
		r.result.Tails[k] += float64(n) / float64(r.N)
	}
	if len(r.queues[q]) > 0 {
		r.result.WaitingShare++
	}
}

// depart is the end of the job that a queue's server has served.
func (r *jsqRun) depart(q int) {
	if n := len(r.queues[q]); n <= maxTail {
		r.atLeast[n]--
	}
	r.queues[q] = append(r.queues[q][:0], r.queues[q][1:]...)
	r.inside--
	if len(r.queues[q]) == 0 {
		r.idle++
	} else {
		r.clock.After(r.queues[q][0], func() { r.depart(q) })
	}
}

// shortest draws D distinct queues and gives the shortest, ties at random: the draw's order is random, and
// the first of equals is taken.
func (r *jsqRun) shortest() int {
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

// MeanFieldTail is the limit of the tails for many servers: the share with k jobs or more, for D fixed
// (Vvedenskaya, Dobrushin, Karpelevich 1996; Mitzenmacher 1996).
func MeanFieldTail(load float64, d, k int) float64 {
	if d == 1 {
		return math.Pow(load, float64(k))
	}
	return math.Pow(load, (math.Pow(float64(d), float64(k))-1)/float64(d-1))
}
