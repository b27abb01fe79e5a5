package expect

import (
	"fmt"
	"maps"
	"slices"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// Explain describes how the candidates for a job are narrowed down within a worker set.
func (s *Suite) Explain(job, workerSet string) ([]string, error) {
	j := s.jobs[job]
	if j == nil {
		return nil, fmt.Errorf("%s has no job %q", s.Path, job)
	}
	if s.workerSets[workerSet] == nil {
		return nil, fmt.Errorf("%s has no roster %q", s.Path, workerSet)
	}
	return s.trace(&Expectation{Job: job, WorkerSet: workerSet}, j, s.decide(j)), nil
}

// trace describes how the rules and the broker narrow down the candidates for a job, step by step.
func (s *Suite) trace(e *Expectation, j *Job, d routing.Decision) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if d.Rule == nil {
		add("rules: no rule matches")
	} else {
		add("rules: rule %d (%s) at %v matches", d.Rule.Number, d.Rule.Name, d.Rule.Position)
	}
	if d.RejectReason != "" {
		add("rejected by the rule: %s", d.RejectReason)
		return lines
	}
	if d.Class < 0 {
		add("the job has no class")
		return lines
	}
	add("class %s", s.knownNames.Classes[d.Class])
	sim, err := s.newSimulation(e, s.sampleSeed(0))
	if err != nil {
		add("%v", err)
		return lines
	}
	tiers, pools := 1, []string{"any worker"}
	if route, ok := d.Route.(*routing.Route); ok && route != nil {
		tiers, pools = route.TierCount(), route.PoolNames()
	}
	for tier := range tiers {
		candidates, excluded := sim.candidates(e, s.brokerRequest(j, d), tier)
		add("tier %d, %s: candidates %s", tier+1, pools[tier], formatNames(candidates))
		for _, reason := range slices.Sorted(maps.Keys(excluded)) {
			add("  excluded, %s: %s", reason, formatNames(excluded[reason]))
		}
	}
	return lines
}

// candidates returns the workers of a tier that may receive a job, and the excluded workers by reason.
func (sim *simulation) candidates(e *Expectation, request broker.Request, tier int) (candidates []string,
	excluded map[string][]string) {
	verdicts := sim.broker.Explain(request, tier)
	excluded = map[string][]string{}
	for _, worker := range sim.suite.workerSets[e.WorkerSet] {
		v, known := verdicts[worker.Name]
		reason := v.Reason
		if !known {
			reason = "it has been removed"
		}
		if reason == "" {
			candidates = append(candidates, worker.Name)
		} else {
			excluded[reason] = append(excluded[reason], worker.Name)
		}
	}
	return candidates, excluded
}
