package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The measured time of a run, and its calls: twice as many as the rate.
const (
	measureFrom   = 10 * time.Second
	measureUntil  = 50 * time.Second
	callsFrom     = 4 * time.Second
	callInterval  = 5 * time.Millisecond
	measuredRate  = 100.0 // jobs a second, and the burst
	moving        = "moving each second"
	evenlyAtAll   = "at all alike"
	maxOfRate     = measuredRate * float64((measureUntil-measureFrom)/time.Second)
	nineTenthsGap = 111 * time.Millisecond // in which ten jobs are admitted at nine tenths of the rate
)

// callPattern is how clients' calls come in: which front the next one comes to.
type callPattern struct {
	name    string
	frontAt func(now time.Duration, rng *rand.Rand, fronts int) int
}

var callPatterns = []callPattern{
	{"at one front", func(time.Duration, *rand.Rand, int) int { return 0 }},
	{evenlyAtAll, func(_ time.Duration, rng *rand.Rand, fronts int) int { return rng.IntN(fronts) }},
	{moving, func(now time.Duration, _ *rand.Rand, fronts int) int {
		return int(now/time.Second) % fronts
	}},
}

// measureLimiter returns the share of the rate that is admitted, and how many ticks calls that have moved to
// another front take until they have nine tenths of the rate there.
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
	if pattern.name == moving {
		ticks = ticksAfterMoves(admitted, p.TickInterval)
	}
	return float64(len(admitted)) / maxOfRate, ticks
}

// ticksAfterMoves is how many ticks after each full second the first of ten jobs in a row was admitted that
// came at nine tenths of the rate.
func ticksAfterMoves(admitted []time.Duration, tick time.Duration) (ticks []float64) {
	for moved := measureFrom + time.Second; moved < measureUntil-time.Second; moved += time.Second {
		first, _ := slices.BinarySearch(admitted, moved)
		for ; first+10 < len(admitted); first++ {
			if admitted[first+10]-admitted[first] <= nineTenthsGap {
				ticks = append(ticks, float64(admitted[first]-moved)/float64(tick))
				break
			}
		}
	}
	return ticks
}

// measureStaticSplit returns the share of the rate that is admitted where each front has a bucket with its
// part of the rate. With one front that is a central bucket, but for the cost of asking it.
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
	return float64(admitted) / maxOfRate
}

// Lent tokens use a rate wherever the calls are, where a static split leaves most of it unused. A central
// bucket uses all of it, and would cost each call a round trip.
func TestRateUtilisationComparedWithStaticSplitAndCentralBucket(t *testing.T) {
	for _, fronts := range []int{5, 15} {
		for _, pattern := range callPatterns {
			share, ticks := measureLimiter(t, pattern, fronts)
			split, central := measureStaticSplit(pattern, fronts), measureStaticSplit(callPatterns[0], 1)
			slices.Sort(ticks)
			afterMoves := ""
			if len(ticks) > 0 {
				afterMoves = fmt.Sprintf("; moved calls have the rate after %.1f ticks p50, %.1f p99",
					ticks[len(ticks)/2], ticks[len(ticks)*99/100])
			}
			t.Logf("%2d fronts, %-18s: lent tokens %.3f, static split %.3f, central %.3f%s", fronts,
				pattern.name,
				share, split, central, afterMoves)
			if share > 1.03 || share < 0.7 || pattern.name != evenlyAtAll && share < 2*split {
				t.Errorf("%d fronts, %s: lent tokens use %.3f of the rate, a static split %.3f", fronts,
					pattern.name, share, split)
			}
		}
	}
}
