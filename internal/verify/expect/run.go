package expect

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"moorstack/internal/proxy/routing"
	"moorstack/internal/tomlfile"
)

// Result is the outcome of checking an expectation.
type Result struct {
	Name     string   `json:"name"`
	File     string   `json:"file"`
	Line     int      `json:"line"`
	Rule     string   `json:"rule,omitempty"` // the rule that matched, with its position
	Samples  int      `json:"draws"`
	Failures []string `json:"failures,omitempty"`
	Trace    []string `json:"trace,omitempty"` // only with failures: how the candidates were narrowed down
}

// Passed reports whether the expectation holds.
func (r *Result) Passed() bool { return len(r.Failures) == 0 }

func (r *Result) failf(format string, args ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}

// Run checks the expectations whose names the filter accepts (nil: all), using all CPU cores. The results are
// in the order of the file.
func (s *Suite) Run(filter func(name string) bool) []Result {
	var selected []int
	for i := range s.Expectations {
		if filter == nil || filter(s.Expectations[i].Name) {
			selected = append(selected, i)
		}
	}
	results := make([]Result, len(selected))
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for k := range next {
				results[k] = s.check(selected[k])
			}
		})
	}
	for k := range selected {
		next <- k
	}
	close(next)
	wg.Wait()
	return results
}

// check checks the nth expectation.
func (s *Suite) check(n int) Result {
	e := &s.Expectations[n]
	r := Result{Name: e.Name, File: s.Path, Line: tomlfile.LineOfTable(s.raw, "expect", n)}
	j := s.jobs[e.Job]
	d := s.decide(j)
	ruleName := ""
	if d.Rule != nil {
		ruleName = d.Rule.Name
		r.Rule = fmt.Sprintf("rule %d (%s), %v", d.Rule.Number, ruleName, d.Rule.Position)
	}
	if e.Rule != nil && ruleName != *e.Rule {
		r.failf("rule: expected %s, got %s", ruleOrNone(*e.Rule), ruleOrNone(ruleName))
	}
	switch {
	case d.RejectReason != "":
		r.checkRuleRejection(e, d)
	case d.Class < 0:
		// The front responds with a client error, not with a retryable rejection, and the broker never
		// receives the job.
		if e.Served == nil || *e.Served || e.Rejected != nil {
			r.failf("the job names no class, and no rule sets one")
		}
	default:
		counts, err := s.sample(e, j, d)
		if err != nil {
			r.failf("%v", err)
			break
		}
		r.Samples = counts.samples
		s.checkSamples(&r, e, counts)
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
		return routing.Decision{Class: slices.Index(s.knownNames.Classes, j.Class)}
	}
	return s.table.Decide(s.routingJob(j))
}

// routingJob converts a job to the form that the routing rules match.
func (s *Suite) routingJob(j *Job) *routing.Job {
	front := j.Front
	if front == "" {
		front = routing.FrontHTTP
	}
	return &routing.Job{
		Front:        front,
		Class:        slices.Index(s.knownNames.Classes, j.Class),
		Tenant:       slices.Index(s.knownNames.Tenants, j.Tenant),
		Host:         j.Host,
		Path:         j.Path,
		Header:       func(name string) string { return j.Headers[name] },
		RouteKey:     j.RouteKey,
		ExpectedWork: time.Duration(j.ExpectedWork),
		Queue:        j.Queue,
		JobType:      j.JobType,
		ID:           requestID,
	}
}

// checkRuleRejection checks the expectation of a job that a rule rejects.
func (r *Result) checkRuleRejection(e *Expectation, d routing.Decision) {
	if e.Rejected == nil {
		if len(e.FirstAttempts)+len(e.SecondAttempts) > 0 || e.Served != nil && *e.Served {
			r.failf("expected attempts, but the rule rejects the job: %s", d.RejectReason)
		}
		return
	}
	if e.Rejected.Reason != "" && e.Rejected.Reason != d.RejectReason {
		r.failf("refused: expected the reason %q, got %q", e.Rejected.Reason, d.RejectReason)
	}
	if least := time.Duration(e.Rejected.MinRetryAfter); d.RetryAfter < least {
		r.failf("refused: expected a retry after %v at least, got %v", least, d.RetryAfter)
	}
}
