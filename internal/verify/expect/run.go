package expect

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/tomlfile"
)

// Draws are random, so what is expected of shares is checked with a stated confidence: as
// many draws are made as bring the estimate within the tolerance with a chance of 99%. The
// draws' seeds are fixed, so the verdict is the same each time.
const (
	z99        = 2.576  // the normal deviate of 99%, two-sided
	MaxDraws   = 20_000 // more are not made: such a share can't be decided
	plainDraws = 300    // for what must never be: a share of 1.5% shows with 99%
)

// draws is how many it takes to know a share within a tolerance.
func draws(share, within float64) int {
	worst := share // the variance is largest at the half
	for _, p := range []float64{share - within, share + within, 0.5} {
		if p >= 0 && p <= 1 && math.Abs(p-share) <= within*(1+1e-9) && p*(1-p) > worst*(1-worst) {
			worst = p
		}
	}
	return max(int(math.Ceil(z99*z99*worst*(1-worst)/(within*within))), plainDraws)
}

// Result is what became of an expectation.
type Result struct {
	Name     string   `json:"name"`
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Rule     string   `json:"rule,omitempty"` // that decided, with its place
	Draws    int      `json:"draws"`
	Failures []string `json:"failures,omitempty"`
	Trace    []string `json:"trace,omitempty"` // of a failure: how the candidates got fewer
}

// OK says whether the expectation holds.
func (r *Result) OK() bool { return len(r.Failures) == 0 }

// Run checks the expectations whose names the filter takes, on several cores, and gives
// the results in the file's order.
func (s *Suite) Run(filter func(string) bool) []Result {
	var picked []int
	for i := range s.Expects {
		if filter == nil || filter(s.Expects[i].Name) {
			picked = append(picked, i)
		}
	}
	results := make([]Result, len(picked))
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for k := range next {
				results[k] = s.check(picked[k])
			}
		})
	}
	for k := range picked {
		next <- k
	}
	close(next)
	wg.Wait()
	return results
}

// tally is what the draws of one expectation came to.
type tally struct {
	n        int
	first    map[string]int // by worker
	second   map[string]int
	seconds  int
	any      map[string]int // draws with an attempt there
	served   int
	refused  int
	failed   int
	most     int
	earliest time.Duration // the least time to return of a refusal; -1: none was told
}

func (s *Suite) check(n int) Result {
	e := &s.Expects[n]
	r := Result{Name: e.Name, File: s.Path, Line: tomlfile.Nth(s.raw, "expect", n)}
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	j := s.jobs[e.Job]
	d := s.decide(j)
	if d.Rule != nil {
		r.Rule = fmt.Sprintf("rule %d (%s), %v", d.Rule.Number, d.Rule.Name, d.Rule.Place)
	}
	if e.Rule != nil {
		got := ""
		if d.Rule != nil {
			got = d.Rule.Name
		}
		if got != *e.Rule {
			fail("rule: expected %s, got %s", orNone(*e.Rule), orNone(got))
		}
	}
	switch {
	case d.Refused != "":
		s.checkRefusal(e, d, fail)
	case d.Class < 0:
		// It is turned away unread, which is no busy answer.
		if e.Served == nil || *e.Served || e.Refused != nil {
			fail("the job names no class, and no rule gives it one")
		}
	default:
		t, err := s.draw(e, j, d)
		if err != nil {
			fail("%v", err)
			break
		}
		r.Draws = t.n
		s.checkDraws(e, t, fail)
	}
	if !r.OK() {
		r.Trace = s.trace(e, j, d)
	}
	return r
}

func orNone(name string) string {
	if name == "" {
		return "no rule"
	}
	return "rule " + name
}

func (s *Suite) decide(j *Job) routing.Decision {
	if s.table == nil {
		return routing.Decision{Class: index(s.names.Classes, j.Class)}
	}
	return s.table.Decide(s.about(j))
}

// checkRefusal is for a job that a rule refuses.
func (s *Suite) checkRefusal(e *Expect, d routing.Decision, fail func(string, ...any)) {
	if e.Refused == nil {
		if len(e.GoesTo)+len(e.FallsBackTo) > 0 || e.Served != nil && *e.Served {
			fail("expected to be sent, got refused by the rule: %s", d.Refused)
		}
		return
	}
	if e.Refused.Reason != "" && e.Refused.Reason != d.Refused {
		fail("refused: expected the reason %q, got %q", e.Refused.Reason, d.Refused)
	}
	if least := time.Duration(e.Refused.AfterLeast); d.RetryAfter < least {
		fail("refused: expected to return after %v at least, got %v", least, d.RetryAfter)
	}
}

// draw plays the job as often as the expectation needs, each time in a world of its own.
func (s *Suite) draw(e *Expect, j *Job, d routing.Decision) (*tally, error) {
	n := plainDraws
	for _, list := range [][]Share{e.GoesTo, e.FallsBackTo} {
		for _, sh := range list {
			n = max(n, draws(*sh.Share, sh.Within))
		}
	}
	firstOnly := len(e.Never)+len(e.FallsBackTo) == 0 && e.Refused == nil && e.Served == nil &&
		e.TriedAtMost == 0
	t := &tally{n: n, first: map[string]int{}, second: map[string]int{}, any: map[string]int{}, earliest: -1}
	for i := range n {
		w, err := s.newWorld(e, s.Seed<<32+uint64(i))
		if err != nil {
			return nil, err
		}
		if err := w.run(j, d, firstOnly); err != nil {
			return nil, err
		}
		t.add(w)
	}
	return t, nil
}

func (t *tally) add(w *world) {
	t.most = max(t.most, len(w.attempts))
	seen := map[string]bool{}
	for i, h := range w.attempts {
		name := h.worker.Name
		switch i {
		case 0:
			t.first[name]++
		case 1:
			t.second[name]++
			t.seconds++
		}
		if !seen[name] {
			seen[name] = true
			t.any[name]++
		}
	}
	if w.answer == nil {
		return
	}
	switch w.answer.Kind {
	case broker.Served:
		t.served++
	case broker.Busy:
		t.refused++
		if t.earliest < 0 || w.answer.RetryAfter < t.earliest {
			t.earliest = w.answer.RetryAfter
		}
	default:
		t.failed++
	}
}

// of counts the attempts that went to a set of workers.
func (s *Suite) of(counts map[string]int, where Where) int {
	n := 0
	for name, k := range counts {
		if s.within(s.workers[name], where) {
			n += k
		}
	}
	return n
}

func (s *Suite) within(w *Worker, where Where) bool {
	if where.Pool != "" {
		bw := balancer.Worker{
			Zone:   index(s.names.Zones, w.Zone),
			Kind:   index(s.names.Kinds, w.Kind),
			Cell:   w.Cell,
			Labels: w.Labels,
		}
		if s.table == nil || !s.table.InPool(where.Pool, &bw) {
			return false
		}
	}
	return (where.Zone == "" || where.Zone == w.Zone) && (where.Kind == "" || where.Kind == w.Kind) &&
		(where.Worker == "" || where.Worker == w.Name)
}

func (w Where) String() string {
	var parts []string
	for _, p := range [][2]string{
		{"zone", w.Zone}, {"kind", w.Kind}, {"pool", w.Pool}, {"worker", w.Worker}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	return strings.Join(parts, " and ")
}

func (s *Suite) checkDraws(e *Expect, t *tally, fail func(string, ...any)) {
	for _, list := range []struct {
		what   string
		shares []Share
		counts map[string]int
		n      int
	}{{"goes_to", e.GoesTo, t.first, t.n}, {"falls_back_to", e.FallsBackTo, t.second, t.seconds}} {
		for _, sh := range list.shares {
			if list.n < t.n*9/10 {
				fail(
					"%s %v: only %d of %d draws have such an attempt at all",
					list.what,
					sh.Where,
					list.n,
					t.n,
				)
				continue
			}
			got := float64(s.of(list.counts, sh.Where)) / float64(max(list.n, 1))
			if math.Abs(got-*sh.Share) > sh.Within {
				fail(
					"%s %v: expected %.3g within %.3g, got %.3g of %d draws: %s",
					list.what,
					sh.Where,
					*sh.Share,
					sh.Within,
					got,
					list.n,
					counted(list.counts),
				)
			}
		}
	}
	for _, where := range e.Never {
		if n := s.of(t.any, where); n > 0 {
			fail("never %v: got there in %d of %d draws: %s", where, n, t.n, counted(t.any))
		}
	}
	if e.TriedAtMost > 0 && t.most > e.TriedAtMost {
		fail("tried_at_most %d: got %d attempts", e.TriedAtMost, t.most)
	}
	if e.Served != nil && *e.Served && t.served < t.n {
		fail(
			"served: expected always, got %d of %d draws; %d refused, %d failed",
			t.served,
			t.n,
			t.refused,
			t.failed,
		)
	}
	if e.Served != nil && !*e.Served && t.served > 0 {
		fail("served: expected never, got %d of %d draws", t.served, t.n)
	}
	if e.Refused != nil {
		if e.Refused.Reason != "" {
			fail("refused: expected a rule's reason %q, got no refusal by a rule", e.Refused.Reason)
		} else if t.refused < t.n {
			fail("refused: expected always, got %d of %d draws; %d served, %d failed", t.refused, t.n,
				t.served, t.failed)
		} else if least := time.Duration(e.Refused.AfterLeast); t.earliest < least {
			fail("refused: expected to return after %v at least, got %v", least, t.earliest)
		}
	}
}

func counted(counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for i, name := range names {
		if i == 6 {
			parts = append(parts, fmt.Sprintf("%d others", len(names)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// trace says how the candidates of a job got fewer, stage by stage.
func (s *Suite) trace(e *Expect, j *Job, d routing.Decision) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if d.Rule == nil {
		say("rules: none matches")
	} else {
		say("rules: rule %d (%s) at %v decides", d.Rule.Number, d.Rule.Name, d.Rule.Place)
	}
	if d.Refused != "" {
		say("refused by the rule: %s", d.Refused)
		return out
	}
	if d.Class < 0 {
		say("the job has no class")
		return out
	}
	say("class %s", s.names.Classes[d.Class])
	w, err := s.newWorld(e, s.Seed<<32)
	if err != nil {
		say("%v", err)
		return out
	}
	tiers, pools := 1, []string{"any worker"}
	if route, ok := d.Route.(*routing.Route); ok && route != nil {
		tiers, pools = route.Tiers(), route.Pools()
	}
	t := s.transaction(j, d)
	for tier := range tiers {
		verdicts := w.core.Explain(t, tier)
		var left []string
		why := map[string][]string{}
		for _, worker := range s.rosters[e.Roster] {
			v, known := verdicts[worker.Name]
			switch {
			case !known:
				why["it is gone"] = append(why["it is gone"], worker.Name)
			case v.Why == "":
				left = append(left, worker.Name)
			default:
				why[v.Why] = append(why[v.Why], worker.Name)
			}
		}
		say("choice %d, %s: left %s", tier+1, pools[tier], listed(left))
		var reasons []string
		for reason := range why {
			reasons = append(reasons, reason)
		}
		slices.Sort(reasons)
		for _, reason := range reasons {
			say("  out, %s: %s", reason, listed(why[reason]))
		}
	}
	return out
}

func listed(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// Explain says how the candidates of a job get fewer in a roster.
func (s *Suite) Explain(job, roster string) ([]string, error) {
	j := s.jobs[job]
	if j == nil {
		return nil, fmt.Errorf("%s has no job %q", s.Path, job)
	}
	if s.rosters[roster] == nil {
		return nil, fmt.Errorf("%s has no roster %q", s.Path, roster)
	}
	return s.trace(&Expect{Job: job, Roster: roster}, j, s.decide(j)), nil
}

// Under puts an agreed document's classes and tenants over the deployment's.
func (s *Suite) Under(doc *clusterstate.Document) error {
	set, err := doc.Onto(s.set)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	s.set = set
	return nil
}
