package emulate

import (
	"math"
	"testing"
	"time"

	"moorstack/balancer"
)

// forever is later than any event of a test.
const forever = 1 << 62

// meanWait runs a single worker under Poisson arrivals of exponential work and returns the mean wait of the
// jobs after a warm-up, in units of the mean service time.
func meanWait(cores int, load float64, seed uint64, jobs int) float64 {
	var clock Clock
	s := RandomStreams{seed}
	arrivals, sizes := s.Source("arrivals", 0), s.Source("sizes", 0)
	spec := WorkerSpec{Cores: cores, Slots: cores, QueueCapacity: 1 << 30, Speed: 1}
	k := NewWorker(&clock, s.Source("worker", 0), "w", spec)
	sum, n := 0.0, 0
	var arrive func()
	created := 0
	arrive = func() {
		if created++; created > jobs {
			return
		}
		size, arrivedAt, measured := sizes.ExpFloat64(), clock.now, created > jobs/10
		k.StartJob(JobRequest{Size: size, KnewStart: true}, func(balancer.Result) {
			if measured {
				sum += (clock.now - arrivedAt).Seconds() - size
				n++
			}
		})
		clock.After(time.Duration(arrivals.ExpFloat64()/(load*float64(cores))*1e9), arrive)
	}
	arrive()
	clock.Run(forever)
	return sum / float64(n)
}

// erlangC returns the mean wait in M/M/c in units of the mean service time.
func erlangC(c int, load float64) float64 {
	a := float64(c) * load
	term, sum := 1.0, 1.0
	for k := 1; k < c; k++ {
		term *= a / float64(k)
		sum += term
	}
	last := term * a / float64(c) / (1 - load)
	return last / (sum + last) / (float64(c) * (1 - load))
}

// The worker's mean waits agree with the closed form, within the spread of ten runs.
func TestWorkerWaitsAgreeWithErlangC(t *testing.T) {
	for _, q := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.8}, {4, 0.7}, {8, 0.9}} {
		want := erlangC(q.cores, q.load)
		var runs []float64
		mean := 0.0
		for seed := range uint64(10) {
			w := meanWait(q.cores, q.load, seed, 60_000)
			runs = append(runs, w)
			mean += w / 10
		}
		variance := 0.0
		for _, w := range runs {
			variance += (w - mean) * (w - mean) / 9
		}
		// 4 standard errors of the mean. The seeds are fixed, so the result is deterministic.
		if within := 4 * math.Sqrt(variance/10); math.Abs(mean-want) > within {
			t.Errorf("M/M/%d at %.1f: wait %.4f, want %.4f within %.4f", q.cores, q.load, mean, want, within)
		}
	}
}

// With many servers the queue lengths are distributed as in the mean-field limit.
func TestJSQTailsAgreeWithMeanFieldLimit(t *testing.T) {
	for _, d := range []int{1, 2, 5} {
		r := JSQ{N: 1000, D: d, Load: 0.7, Seed: 1, Jobs: 200_000}.Run()
		for k := 1; k <= 4; k++ {
			want := MeanFieldTail(0.7, d, k)
			// A server's state is sampled 200 times over about 200 service times, which gives a spread of a
			// few parts per thousand; the limit itself deviates by about 1/N.
			if got := r.Tails[k]; math.Abs(got-want) > 0.006+0.03*want {
				t.Errorf("d = %d: a share of %.4f of the servers has %d or more jobs, want %.4f",
					d, got, k, want)
			}
		}
	}
}

// With one draw each server is an independent M/M/1 queue.
func TestJSQOfOneDrawAgreesWithMM1(t *testing.T) {
	r := JSQ{N: 50, D: 1, Load: 0.8, Seed: 3, Jobs: 600_000}.Run()
	if math.Abs(r.MeanWait-4) > 0.2 || math.Abs(r.WaitingShare-0.8) > 0.01 {
		t.Errorf("mean wait %.3f and waiting share %.3f, want 4 and 0.8", r.MeanWait, r.WaitingShare)
	}
}

// Checks the choice of d(N) at a size that can be simulated: waits with d(N) draws are close to those with
// full information (at most twice as long), while two draws give waits at least 50 times as long.
func TestSampleSizeOfTheDesignIsNearFullInformation(t *testing.T) {
	run := func(d int) float64 { return JSQ{N: 300, D: d, Load: 0.9, Seed: 1, Jobs: 100_000}.Run().MeanWait }
	size := SampleSize(300)
	all, sampled, two := run(300), run(size), run(2)
	if sampled > 2*all || two < 50*sampled {
		t.Errorf("mean waits: %.4f with full information, %.4f with %d draws, %.4f with 2",
			all, sampled, size, two)
	}
}
