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

// The cost of Admit does not depend on the number of accounts.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{10, 100_000} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			p, _ := ParsePolicy(map[string]string{"default": "1000000000/s burst=1000000000 floor=equal",
				"parts": "1", "account": "X"}, nil)
			limiter := NewLimiter(0)
			limiter.Configure(0, p)
			self := placement.Session{Member: 1, Epoch: 1}
			limiter.SetView(0, tableOf(1, self), self)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				limiter.Admit(time.Hour, names[i], "c")
			}
			rng := rand.New(rand.NewPCG(1, 1))
			rng.Shuffle(accounts, func(i, j int) { names[i], names[j] = names[j], names[i] })
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				limiter.Admit(time.Hour+time.Duration(i), names[i%accounts], "c")
			}
		})
	}
}

// Admit runs for every call, so it must not allocate memory.
func TestAdmitDoesNotAllocate(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"default": "5/s burst=5 floor=equal", "parts": "1", "account": "X",
		"account.a@c": "1/s"}, []string{"c"})
	limiter := NewLimiter(0)
	limiter.Configure(0, p)
	limiter.Admit(time.Second, "a", "c")
	now := time.Second
	admit := func() {
		now += time.Millisecond
		limiter.Admit(now, "a", "c")
	}
	if n := testing.AllocsPerRun(100, admit); n > 0 {
		t.Errorf("Admit made %v allocations per call, want 0", n)
	}
}

// Each invalid value is reported as a problem that says what is expected.
func TestParsePolicyReportsInvalidValues(t *testing.T) {
	for want, values := range map[string]map[string]string{
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
		_, problems := ParsePolicy(values, []string{"c"})
		if !slices.ContainsFunc(problems, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("ParsePolicy(%v): got problems %q, want one that contains %q", values, problems, want)
		}
	}
	p, problems := ParsePolicy(map[string]string{"account.a": "90/m burst=3 floor=0.5", "parts": "3"}, nil)
	if len(problems) > 0 || p.AccountLimits["a"] != (Limit{1.5, 3, 0.5}) {
		t.Errorf("got limits %+v and problems %v, want 1.5 jobs/s, burst 3, floor share 0.5",
			p.AccountLimits, problems)
	}
}

// availableTokens returns how many tokens a front has in each of its buckets, including its floor.
func availableTokens(limiter *Limiter, now time.Duration) map[Key]int {
	tokens := map[Key]int{}
	for k, b := range limiter.buckets {
		limiter.refresh(now, b)
		tokens[k] = b.tokens + b.previousTokens + int(b.floorTokens)
	}
	return tokens
}
