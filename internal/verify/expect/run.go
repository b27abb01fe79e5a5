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
	MaxSamples = 20_000 // more are not made: such a share can't be decided
	minSamples = 300    // for what must never be: a share of 1.5% shows with 99%
)

// requiredSamples is how many it takes to know a share within a tolerance.
func requiredSamples(share, within float64) int {
	worst := share // the variance is largest at the half
	for _, p := range []float64{share - within, share + within, 0.5} {
		if p >= 0 && p <= 1 && math.Abs(p-share) <= within*(1+1e-9) && p*(1-p) > worst*(1-worst) {
			worst = p
		}
	}
	return max(int(math.Ceil(z99*z99*worst*(1-worst)/(within*within))), minSamples)
}

// Result is what became of an expectation.
type Result struct {
	Name     string   `json:"name"`
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Rule     string   `json:"rule,omitempty"` // that decided, with its place
	Samples  int      `json:"draws"`
	Failures []string `json:"failures,omitempty"`
	Trace    []string `json:"trace,omitempty"` // of a failure: how the candidates got fewer
}

// Passed says whether the expectation holds.
func (r *Result) Passed() bool { return len(r.Failures) == 0 }

// Run checks the expectations whose names the filter takes, on several cores, and gives
// the results in the file's order.
func (s *Suite) Run(filter func(string) bool) []Result {
	var picked []int
	for i := range s.Expectations {
		if filter == nil || filter(s.Expectations[i].Name) {
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

// sampleCounts is what the draws of one expectation came to.
type sampleCounts struct {
	samples           int
	firstAttempts     map[string]int // by worker
	secondAttempts    map[string]int
	withSecondAttempt int
	attempted         map[string]int // draws with an attempt there
	served            int
	rejected          int
	failed            int
	maxAttempts       int
	minRetryAfter     time.Duration // the least time to return of a refusal; -1: none was told
}

func (s *Suite) check(n int) Result {
	e := &s.Expectations[n]
	r := Result{Name: e.Name, File: s.Path, Line: tomlfile.LineOfTable(s.raw, "expect", n)}
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	j := s.jobs[e.Job]
	d := s.decide(j)
	if d.Rule != nil {
		r.Rule = fmt.Sprintf("rule %d (%s), %v", d.Rule.Number, d.Rule.Name, d.Rule.Position)
	}
	if e.Rule != nil {
		got := ""
		if d.Rule != nil {
			got = d.Rule.Name
		}
		if got != *e.Rule {
			fail("rule: expected %s, got %s", ruleOrNone(*e.Rule), ruleOrNone(got))
		}
	}
	switch {
	case d.RejectReason != "":
		s.checkRuleRejection(e, d, fail)
	case d.Class < 0:
		// It is turned away unread, which is no busy answer.
		if e.Served == nil || *e.Served || e.Rejected != nil {
			fail("the job names no class, and no rule gives it one")
		}
	default:
		t, err := s.sample(e, j, d)
		if err != nil {
			fail("%v", err)
			break
		}
		r.Samples = t.samples
		s.checkSamples(e, t, fail)
	}
	if !r.Passed() {
		r.Trace = s.trace(e, j, d)
	}
	return r
}

func ruleOrNone(name string) string {
	if name == "" {
		return "no rule"
	}
	return "rule " + name
}

func (s *Suite) decide(j *Job) routing.Decision {
	if s.table == nil {
		return routing.Decision{Class: indexOf(s.knownNames.Classes, j.Class)}
	}
	return s.table.Decide(s.routingJob(j))
}

// checkRuleRejection is for a job that a rule refuses.
func (s *Suite) checkRuleRejection(e *Expectation, d routing.Decision, fail func(string, ...any)) {
	if e.Rejected == nil {
		if len(e.FirstAttempts)+len(e.SecondAttempts) > 0 || e.Served != nil && *e.Served {
			fail("expected to be sent, got refused by the rule: %s", d.RejectReason)
		}
		return
	}
	if e.Rejected.Reason != "" && e.Rejected.Reason != d.RejectReason {
		fail("refused: expected the reason %q, got %q", e.Rejected.Reason, d.RejectReason)
	}
	if least := time.Duration(e.Rejected.MinRetryAfter); d.RetryAfter < least {
		fail("refused: expected to return after %v at least, got %v", least, d.RetryAfter)
	}
}

// sample plays the job as often as the expectation needs, each time in a world of its own.
func (s *Suite) sample(e *Expectation, j *Job, d routing.Decision) (*sampleCounts, error) {
	n := minSamples
	for _, list := range [][]AttemptShare{e.FirstAttempts, e.SecondAttempts} {
		for _, sh := range list {
			n = max(n, requiredSamples(*sh.Fraction, sh.Tolerance))
		}
	}
	firstOnly := len(e.NoAttempts)+len(e.SecondAttempts) == 0 && e.Rejected == nil && e.Served == nil &&
		e.MaxAttempts == 0
	t := &sampleCounts{
		samples:        n,
		firstAttempts:  map[string]int{},
		secondAttempts: map[string]int{},
		attempted:      map[string]int{},
		minRetryAfter:  -1,
	}
	for i := range n {
		w, err := s.newSimulation(e, s.Seed<<32+uint64(i))
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

func (t *sampleCounts) add(w *simulation) {
	t.maxAttempts = max(t.maxAttempts, len(w.attempts))
	seen := map[string]bool{}
	for i, h := range w.attempts {
		name := h.worker.Name
		switch i {
		case 0:
			t.firstAttempts[name]++
		case 1:
			t.secondAttempts[name]++
			t.withSecondAttempt++
		}
		if !seen[name] {
			seen[name] = true
			t.attempted[name]++
		}
	}
	if w.response == nil {
		return
	}
	switch w.response.Kind {
	case broker.Served:
		t.served++
	case broker.Rejected:
		t.rejected++
		if t.minRetryAfter < 0 || w.response.RetryAfter < t.minRetryAfter {
			t.minRetryAfter = w.response.RetryAfter
		}
	default:
		t.failed++
	}
}

// countMatching counts the attempts that went to a set of workers.
func (s *Suite) countMatching(counts map[string]int, where WorkerSelector) int {
	n := 0
	for name, k := range counts {
		if s.matchesSelector(s.workers[name], where) {
			n += k
		}
	}
	return n
}

func (s *Suite) matchesSelector(w *Worker, where WorkerSelector) bool {
	if where.Pool != "" {
		bw := balancer.Worker{
			Zone:   indexOf(s.knownNames.Zones, w.Zone),
			Kind:   indexOf(s.knownNames.Kinds, w.Kind),
			Cell:   w.Cell,
			Labels: w.Labels,
		}
		if s.table == nil || !s.table.PoolContains(where.Pool, &bw) {
			return false
		}
	}
	return (where.Zone == "" || where.Zone == w.Zone) && (where.Kind == "" || where.Kind == w.Kind) &&
		(where.Worker == "" || where.Worker == w.Name)
}

func (w WorkerSelector) String() string {
	var parts []string
	for _, p := range [][2]string{
		{"zone", w.Zone}, {"kind", w.Kind}, {"pool", w.Pool}, {"worker", w.Worker}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	return strings.Join(parts, " and ")
}

func (s *Suite) checkSamples(e *Expectation, t *sampleCounts, fail func(string, ...any)) {
	for _, list := range []struct {
		what   string
		shares []AttemptShare
		counts map[string]int
		n      int
	}{{"goes_to", e.FirstAttempts, t.firstAttempts, t.samples}, {"falls_back_to", e.SecondAttempts,
		t.secondAttempts, t.withSecondAttempt}} {
		for _, sh := range list.shares {
			if list.n < t.samples*9/10 {
				fail(
					"%s %v: only %d of %d draws have such an attempt at all",
					list.what,
					sh.WorkerSelector,
					list.n,
					t.samples,
				)
				continue
			}
			got := float64(s.countMatching(list.counts, sh.WorkerSelector)) / float64(max(list.n, 1))
			if math.Abs(got-*sh.Fraction) > sh.Tolerance {
				fail(
					"%s %v: expected %.3g within %.3g, got %.3g of %d draws: %s",
					list.what,
					sh.WorkerSelector,
					*sh.Fraction,
					sh.Tolerance,
					got,
					list.n,
					formatCounts(list.counts),
				)
			}
		}
	}
	for _, where := range e.NoAttempts {
		if n := s.countMatching(t.attempted, where); n > 0 {
			fail("never %v: got there in %d of %d draws: %s", where, n, t.samples, formatCounts(t.attempted))
		}
	}
	if e.MaxAttempts > 0 && t.maxAttempts > e.MaxAttempts {
		fail("tried_at_most %d: got %d attempts", e.MaxAttempts, t.maxAttempts)
	}
	if e.Served != nil && *e.Served && t.served < t.samples {
		fail(
			"served: expected always, got %d of %d draws; %d refused, %d failed",
			t.served,
			t.samples,
			t.rejected,
			t.failed,
		)
	}
	if e.Served != nil && !*e.Served && t.served > 0 {
		fail("served: expected never, got %d of %d draws", t.served, t.samples)
	}
	if e.Rejected != nil {
		if e.Rejected.Reason != "" {
			fail("refused: expected a rule's reason %q, got no refusal by a rule", e.Rejected.Reason)
		} else if t.rejected < t.samples {
			fail("refused: expected always, got %d of %d draws; %d served, %d failed", t.rejected, t.samples,
				t.served, t.failed)
		} else if least := time.Duration(e.Rejected.MinRetryAfter); t.minRetryAfter < least {
			fail("refused: expected to return after %v at least, got %v", least, t.minRetryAfter)
		}
	}
}

func formatCounts(counts map[string]int) string {
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
func (s *Suite) trace(e *Expectation, j *Job, d routing.Decision) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if d.Rule == nil {
		say("rules: none matches")
	} else {
		say("rules: rule %d (%s) at %v decides", d.Rule.Number, d.Rule.Name, d.Rule.Position)
	}
	if d.RejectReason != "" {
		say("refused by the rule: %s", d.RejectReason)
		return out
	}
	if d.Class < 0 {
		say("the job has no class")
		return out
	}
	say("class %s", s.knownNames.Classes[d.Class])
	w, err := s.newSimulation(e, s.Seed<<32)
	if err != nil {
		say("%v", err)
		return out
	}
	tiers, pools := 1, []string{"any worker"}
	if route, ok := d.Route.(*routing.Route); ok && route != nil {
		tiers, pools = route.TierCount(), route.PoolNames()
	}
	t := s.brokerRequest(j, d)
	for tier := range tiers {
		verdicts := w.broker.Explain(t, tier)
		var left []string
		why := map[string][]string{}
		for _, worker := range s.workerSets[e.WorkerSet] {
			v, known := verdicts[worker.Name]
			switch {
			case !known:
				why["it is gone"] = append(why["it is gone"], worker.Name)
			case v.Reason == "":
				left = append(left, worker.Name)
			default:
				why[v.Reason] = append(why[v.Reason], worker.Name)
			}
		}
		say("choice %d, %s: left %s", tier+1, pools[tier], formatNames(left))
		var reasons []string
		for reason := range why {
			reasons = append(reasons, reason)
		}
		slices.Sort(reasons)
		for _, reason := range reasons {
			say("  out, %s: %s", reason, formatNames(why[reason]))
		}
	}
	return out
}

func formatNames(names []string) string {
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
	if s.workerSets[roster] == nil {
		return nil, fmt.Errorf("%s has no roster %q", s.Path, roster)
	}
	return s.trace(&Expectation{Job: job, WorkerSet: roster}, j, s.decide(j)), nil
}

// ApplyDocument puts an agreed document's classes and tenants over the deployment's.
func (s *Suite) ApplyDocument(doc *clusterstate.Document) error {
	set, err := doc.ApplyTo(s.settings)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	s.settings = set
	return nil
}
