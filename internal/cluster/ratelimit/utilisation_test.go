package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Calls start at callsFrom and arrive at twice the rate; admissions from measureFrom to measureUntil count.
const (
	measureFrom    = 10 * time.Second
	measureUntil   = 50 * time.Second
	callsFrom      = 4 * time.Second
	callInterval   = 5 * time.Millisecond
	measuredRate   = 100.0 // jobs per second; also the burst
	movingCalls    = "moving every second"
	randomCalls    = "at random fronts"
	maxAdmitted    = measuredRate * float64((measureUntil-measureFrom)/time.Second)
	tenJobInterval = 111 * time.Millisecond // time to admit ten jobs at nine tenths of the rate
)

// callPattern determines the front that receives the call at a given time.
type callPattern struct {
	name    string
	frontAt func(now time.Duration, rng *rand.Rand, fronts int) int
}

var callPatterns = []callPattern{
	{"at one front", func(time.Duration, *rand.Rand, int) int { return 0 }},
	{randomCalls, func(_ time.Duration, rng *rand.Rand, fronts int) int { return rng.IntN(fronts) }},
	{movingCalls, func(now time.Duration, _ *rand.Rand, fronts int) int {
		return int(now/time.Second) % fronts
	}},
}

// measureLimiter returns the fraction of the rate that is admitted. For moving calls it also returns, for
// each move to another front, the number of ticks until nine tenths of the rate are admitted there.
func measureLimiter(t *testing.T, pattern callPattern, fronts int) (share float64, ticks []float64) {
	t.Helper()
	s := newSimulation(t, 7, fronts, false)
	p, problems := ParsePolicy(map[string]string{"tick": "50ms", "term": "500ms",
		"account.z": "100/s burst=100", "account": "X", "parts": fmt.Sprint(fronts)}, nil)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s.policy = p
	for _, n := range s.nodes {
		n.limiter.Configure(n.clock(), p)
		n.authority.Configure(n.clock(), p)
	}
	var admitted []time.Duration
	var call func()
	call = func() {
		n := s.nodes[pattern.frontAt(s.now, s.rng, fronts)]
		if n.call("z", "c") && s.now >= measureFrom {
			admitted = append(admitted, s.now)
		}
		s.after(callInterval, call)
	}
	s.after(callsFrom, call)
	s.run(measureUntil)
	if violation := s.audit(1); violation != "" {
		t.Error(violation)
	}
	if pattern.name == movingCalls {
		ticks = ticksAfterMoves(admitted, p.TickInterval)
	}
	return float64(len(admitted)) / maxAdmitted, ticks
}

// ticksAfterMoves returns, for each full second, the number of ticks until jobs are admitted at nine tenths
// of the rate or more for ten successive intervals between admissions.
func ticksAfterMoves(admitted []time.Duration, tick time.Duration) (ticks []float64) {
	for moved := measureFrom + time.Second; moved < measureUntil-time.Second; moved += time.Second {
		first, _ := slices.BinarySearch(admitted, moved)
		for ; first+10 < len(admitted); first++ {
			if admitted[first+10]-admitted[first] <= tenJobInterval {
				ticks = append(ticks, float64(admitted[first]-moved)/float64(tick))
				break
			}
		}
	}
	return ticks
}

// measureStaticSplit returns the fraction of the rate that is admitted if each front has its own bucket with
// an equal part of the rate. With one front, this models a central bucket, but without the cost of its round
// trips.
func measureStaticSplit(pattern callPattern, fronts int) float64 {
	rng := rand.New(rand.NewPCG(7, 1))
	level, refilledAt, admitted := make([]float64, fronts), make([]time.Duration, fronts), 0
	ratePerFront := measuredRate / float64(fronts)
	for now := callsFrom; now < measureUntil; now += callInterval {
		n := pattern.frontAt(now, rng, fronts)
		level[n] = min(ratePerFront, level[n]+ratePerFront*(now-refilledAt[n]).Seconds())
		if refilledAt[n] = now; level[n] >= 1 {
			level[n]--
			if now >= measureFrom {
				admitted++
			}
		}
	}
	return float64(admitted) / maxAdmitted
}

// Lent tokens must make most of a rate usable at whatever fronts the calls arrive, also where a static split
// leaves most of it unused. A central bucket makes all of it usable, but would cost each call a round trip.
func TestRateUtilisationComparedWithStaticSplitAndCentralBucket(t *testing.T) {
	for _, fronts := range []int{5, 15} {
		for _, pattern := range callPatterns {
			share, ticks := measureLimiter(t, pattern, fronts)
			split, central := measureStaticSplit(pattern, fronts), measureStaticSplit(callPatterns[0], 1)
			slices.Sort(ticks)
			afterMoves := ""
			if len(ticks) > 0 {
				afterMoves = fmt.Sprintf("; moved calls reach 0.9 of the rate after %.1f ticks p50, %.1f p99",
					ticks[len(ticks)/2], ticks[len(ticks)*99/100])
			}
			t.Logf("%2d fronts, %-19s: lent tokens %.3f, static split %.3f, central bucket %.3f%s", fronts,
				pattern.name,
				share, split, central, afterMoves)
			if share > 1.03 || share < 0.7 || pattern.name != randomCalls && share < 2*split {
				t.Errorf("%d fronts, %s: lent tokens use %.3f of the rate, a static split %.3f", fronts,
					pattern.name, share, split)
			}
		}
	}
}
