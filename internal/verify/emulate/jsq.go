package emulate

import (
	"math"
	"math/rand/v2"
	"time"
)

// JSQ is the textbook's world: one dispatcher that sees every queue, N servers of one
// slot, exponential work of mean 1 s, Poisson arrivals, and each job joining the shortest of D
// queues drawn at random. It is there to hold the emulator against closed forms, and to
// show what the design's d(N) rests on (Mukherjee, Borst, van Leeuwaarden, Whiting).
type JSQ struct {
	N    int
	D    int     // N: all of them
	Load float64 // arrivals a second for each server, below 1
	Seed uint64
	Jobs int // counted, after as many as a third of them to warm up
}

// JSQResult is what was seen.
type JSQResult struct {
	MeanWait     float64   `json:"wait"`  // mean, in mean service times
	WaitingShare float64   `json:"waits"` // the share of jobs that wait at all
	Tails        []float64 `json:"tails"` // k: the part of the servers with k jobs or more, as arrivals see them
}

const maxTail = 12

// SampleSize is d(N) as the design has it: min(N, max(2, ceil(sqrt(N) ln N))).
func SampleSize(n int) int {
	return min(n, max(2, int(math.Ceil(math.Sqrt(float64(n))*math.Log(float64(n))))))
}

// Run plays it.
func (j JSQ) Run() JSQResult {
	var clock Clock
	s := RandomStreams{j.Seed}
	arrivals, sizes, draws := s.Source("arrivals", 0), s.Source("sizes", 0), s.Source("draws", 0)
	queues := make([][]time.Duration, j.N) // of sizes; the first is being served
	order := make([]int32, j.N)            // room for a draw without repeats
	for i := range order {
		order[i] = int32(i)
	}
	held := make([]int, maxTail+1) // servers with k jobs or more
	held[0] = j.N
	var out JSQResult
	tails := make([]float64, maxTail+1)
	warm, made, counted := j.Jobs/3, 0, 0
	inside, idle, waiting := 0, j.N, 0.0 // jobs, servers without any, and the sum of those that wait
	var leave func(q int)
	leave = func(q int) {
		if n := len(queues[q]); n <= maxTail {
			held[n]--
		}
		queues[q] = append(queues[q][:0], queues[q][1:]...)
		inside--
		if len(queues[q]) == 0 {
			idle++
		} else {
			clock.After(queues[q][0], func() { leave(q) })
		}
	}
	var arrive func()
	arrive = func() {
		made++
		q := j.shortest(queues, order, draws)
		size := time.Duration(sizes.ExpFloat64() * 1e9)
		if made > warm {
			counted++
			waiting += float64(inside - (j.N - idle))
			for k, n := range held {
				tails[k] += float64(n) / float64(j.N)
			}
			if len(queues[q]) > 0 {
				out.WaitingShare++
			}
		}
		queues[q] = append(queues[q], size)
		inside++
		if n := len(queues[q]); n <= maxTail {
			held[n]++
		}
		if len(queues[q]) == 1 {
			idle--
			clock.After(size, func() { leave(q) })
		}
		if made < warm+j.Jobs {
			clock.After(time.Duration(arrivals.ExpFloat64()/(j.Load*float64(j.N))*1e9), arrive)
		}
	}
	arrive()
	clock.Run(1 << 62)
	out.WaitingShare /= float64(counted)
	for k := range tails {
		tails[k] /= float64(counted)
	}
	out.Tails = tails
	out.MeanWait = waiting / float64(counted) / (j.Load * float64(j.N)) // Little's law
	return out
}

// shortest draws D distinct queues and gives the shortest, ties at random: the draw's order
// is random, and the first of equals is taken.
func (j JSQ) shortest(queues [][]time.Duration, order []int32, rng *rand.Rand) int {
	best := -1
	for i := range j.D {
		k := i + rng.IntN(j.N-i)
		order[i], order[k] = order[k], order[i]
		q := int(order[i])
		if best < 0 || len(queues[q]) < len(queues[best]) {
			best = q
		}
	}
	return best
}

// MeanFieldTail is the limit of the tails for many servers: the part with k jobs or more, for D
// fixed (Vvedenskaya, Dobrushin, Karpelevich 1996; Mitzenmacher 1996).
func MeanFieldTail(load float64, d, k int) float64 {
	if d == 1 {
		return math.Pow(load, float64(k))
	}
	return math.Pow(load, (math.Pow(float64(d), float64(k))-1)/float64(d-1))
}
