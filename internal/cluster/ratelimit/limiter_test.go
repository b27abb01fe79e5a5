package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// A decision costs the same however many accounts there are, and makes no garbage.
func BenchmarkTake(b *testing.B) {
	for _, accounts := range []int{10, 100_000} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			p, _ := ParsePolicy(map[string]string{"default": "1000000000/s burst=1000000000 floor=equal",
				"parts": "1", "account": "X"}, nil)
			f := NewLimiter(0)
			f.Configure(0, p)
			own := placement.Session{Member: 1, Epoch: 1}
			f.SetView(0, placement.NewTable(placement.View{Members: []placement.Member{{Session: own}}}), own)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				f.Admit(time.Hour, names[i], "c")
			}
			rng := rand.New(rand.NewPCG(1, 1))
			rng.Shuffle(accounts, func(i, j int) { names[i], names[j] = names[j], names[i] })
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.Admit(time.Hour+time.Duration(i), names[i%accounts], "c")
			}
		})
	}
}

func TestTakeMakesNoGarbage(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"default": "5/s burst=5 floor=equal", "parts": "1", "account": "X",
		"account.a@c": "1/s"}, []string{"c"})
	f := NewLimiter(0)
	f.Configure(0, p)
	f.Admit(time.Second, "a", "c")
	now := time.Second
	if n := testing.AllocsPerRun(100, func() { now += time.Millisecond; f.Admit(now, "a", "c") }); n > 0 {
		t.Errorf("%v allocations a decision", n)
	}
}

// What makes no sense is refused with its key and what to do.
func TestPolicyRefuses(t *testing.T) {
	for want, words := range map[string]map[string]string{
		"no rate above 0":                {"account.a": "0/s"},
		"as in \"10/s\"":                 {"account.a": "fast"},
		"no whole number of jobs":        {"account.a": "10/s burst=0"},
		"burst=10 or more":               {"account.a": "10/s burst=9 floor=equal", "parts": "10"},
		"neither burst=N nor floor":      {"account.a": "10/s speed=3"},
		"no share from 0 to 1":           {"account.a": "10/s floor=2"},
		"there is no class \"z\"":        {"account.a@z": "10/s"},
		"is no key of this section":      {"acount.a": "10/s"},
		"less than 5 ticks":              {"tick": "1s", "term": "2s"},
		"is not a time from":             {"tick": "soon"},
		"leave the line out":             {"account.a": "none"},
		"nor the name of a header":       {"account": "X Account"},
		"the account has no name":        {"account.": "1/s"},
		"as many fronts as there may be": {"parts": "0"},
	} {
		_, wrong := ParsePolicy(words, []string{"c"})
		if !slices.ContainsFunc(wrong, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("%v: %q, want %q", words, wrong, want)
		}
	}
	p, wrong := ParsePolicy(map[string]string{"account.a": "90/m burst=3 floor=0.5", "parts": "3"}, nil)
	if len(wrong) > 0 || p.AccountLimits["a"] != (Limit{1.5, 3, 0.5}) {
		t.Errorf("%+v, %v", p.AccountLimits, wrong)
	}
}

// demand is how clients' calls come in: which front the next one comes to.
type demand struct {
	name string
	at   func(now time.Duration, rng *rand.Rand, fronts int) int
}

var demands = []demand{
	{"at one front", func(time.Duration, *rand.Rand, int) int { return 0 }},
	{"at all alike", func(_ time.Duration, rng *rand.Rand, n int) int { return rng.IntN(n) }},
	{"moving each second", func(now time.Duration, _ *rand.Rand, n int) int {
		return int(now/time.Second) % n
	}},
}

// use is the part of a rate of 100 a second that is admitted of twice as many calls, over 40 s, and how long
// calls that have moved take until they have nine tenths of the rate.
func slices100(t *testing.T, d demand, fronts int) (use float64, ticks []float64) {
	w := newWorld(t, 7, fronts, false)
	p, wrong := ParsePolicy(map[string]string{"tick": "50ms", "term": "500ms", "account.z": "100/s burst=100",
		"account": "X", "parts": fmt.Sprint(fronts)}, nil)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	w.policy = p
	for _, n := range w.nodes {
		n.front.Configure(n.clock(), p)
		n.authority.Configure(n.clock(), p)
	}
	admitted, since, moved := 0, 0, 10*time.Second
	var at []time.Duration
	var again func()
	again = func() {
		n := w.nodes[d.at(w.now, w.rng, fronts)]
		if n.call("z", "c") && w.now >= 10*time.Second {
			admitted++
			at = append(at, w.now)
		}
		w.at(5*time.Millisecond, again)
	}
	w.at(4*time.Second, again)
	w.run(50 * time.Second)
	if d.name == "moving each second" {
		for moved = 11 * time.Second; moved < 49*time.Second; moved += time.Second {
			for since = 0; since < len(at) && at[since] < moved; since++ {
			}
			// Until the first of ten in a row that came at nine tenths of the rate.
			for ; since+10 < len(at); since++ {
				if at[since+10]-at[since] <= 111*time.Millisecond {
					ticks = append(ticks, float64(at[since]-moved)/float64(p.TickInterval))
					break
				}
			}
		}
	}
	if broken := w.audit(1); broken != "" {
		t.Error(broken)
	}
	return float64(admitted) / 4000, ticks
}

// split is a bucket at each front with its part of the rate; central one bucket that all ask, at no cost.
func split(d demand, fronts int) float64 {
	rng := rand.New(rand.NewPCG(7, 1))
	level, last, admitted := make([]float64, fronts), make([]time.Duration, fronts), 0
	for now := 4 * time.Second; now < 50*time.Second; now += 5 * time.Millisecond {
		n := d.at(now, rng, fronts)
		level[n] = min(100/float64(fronts), level[n]+100/float64(fronts)*(now-last[n]).Seconds())
		if last[n] = now; level[n] >= 1 {
			level[n]--
			if now >= 10*time.Second {
				admitted++
			}
		}
	}
	return float64(admitted) / 4000
}

// Slices use a rate wherever the calls are, where a static split leaves most of it unused. A central bucket
// uses all of it, and would cost each call a round trip.
func TestUseOfARateBesideSplitAndCentral(t *testing.T) {
	for _, fronts := range []int{5, 15} {
		for _, d := range demands {
			use, ticks := slices100(t, d, fronts)
			apart, central := split(d, fronts), split(demands[0], 1)
			slices.Sort(ticks)
			late := ""
			if len(ticks) > 0 {
				late = fmt.Sprintf("; moved calls have the rate after %.1f ticks p50, %.1f p99",
					ticks[len(ticks)/2], ticks[len(ticks)*99/100])
			}
			t.Logf("%2d fronts, %-18s: slices %.3f, static split %.3f, central %.3f%s", fronts, d.name, use,
				apart, central, late)
			if use > 1.03 || use < 0.7 || d.name != "at all alike" && use < 2*apart {
				t.Errorf("%d fronts, %s: slices use %.3f of the rate, a static split %.3f", fronts, d.name,
					use, apart)
			}
		}
	}
}
