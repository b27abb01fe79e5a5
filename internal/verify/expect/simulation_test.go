package expect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"moorstack/balancer"
	"moorstack/internal/proxy/routing"
)

// slowStart is the slow-start window of the deployed settings. The jobs of these tests may not be sent to a
// worker within it.
const slowStart = 24 * time.Second

// drawnCase is a randomly generated rule with workers and events.
type drawnCase struct {
	suite       Suite
	expectation Expectation
	draining    map[string]bool // workers that begin draining before the job
}

func drawCase(t *rapid.T, s *Suite) drawnCase {
	rules := *s.rules
	spillovers := []routing.Spillover{routing.SpillNever, routing.SpillIfEmpty, routing.SpillIfBusy}
	pools := []string{"everyone", "seeb", "ruwi", "quick", "slow", "canary"}
	rules.Rules = []routing.RuleSpec{{
		Name:      "r",
		Spillover: rapid.SampledFrom(spillovers).Draw(t, "spillover"),
		PreferredPools: rapid.SliceOfNDistinct(rapid.SampledFrom(pools), 1, 4, rapid.ID[string]).
			Draw(t, "preferred pools"),
		MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max attempts"),
	}}
	table, _, err := routing.Compile(&rules, s.knownNames)
	if err != nil {
		t.Fatal(err)
	}
	c := drawnCase{suite: *s, draining: map[string]bool{},
		expectation: Expectation{WorkerSet: "any", After: duration(3 * time.Second)}}
	c.suite.table = table
	templates := []string{"s1", "s2", "r1", "r2", "r6", "s-drains", "s-cold", "s-mute"}
	responses := []JobResponse{RespondOK, RespondError, RespondFull}
	var workers []*Worker
	for i := range rapid.IntRange(1, 10).Draw(t, "workers") {
		w := *s.workers[rapid.SampledFrom(templates).Draw(t, "worker")]
		w.Name = fmt.Sprint("w", i)
		workers = append(workers, &w)
		if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
			// The endpoint list says so at 1 s and the job follows at 3 s, so it may not be sent there.
			c.draining[w.Name] = true
			c.expectation.Events = append(c.expectation.Events,
				Event{At: duration(time.Second), Worker: w.Name, Lifecycle: LifecycleDraining})
		}
		if response := rapid.SampledFrom(responses).Draw(t, "response"); response != RespondOK {
			c.expectation.Events = append(c.expectation.Events, Event{Worker: w.Name, JobResponse: response})
		}
	}
	c.suite.workerSets = map[string][]*Worker{"any": workers}
	return c
}

// Routing rules can't lift restrictions of the broker or the balancer: no attempt goes to a draining worker,
// to a worker in slow start without a budget, outside the rule's pools or, if a keyed job may have run,
// outside its cell.
func TestNoRuleLiftsARestriction(t *testing.T) {
	s := loadDeployed(t)
	jobs := []string{"dialysis-muscat", "book-muscat", "quote-muscat"}
	rapid.Check(t, func(t *rapid.T) {
		c := drawCase(t, s)
		j := s.jobs[rapid.SampledFrom(jobs).Draw(t, "job")]
		d := c.suite.decide(j)
		sim, err := c.suite.newSimulation(&c.expectation, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		if err := sim.run(j, d, false); err != nil {
			t.Fatal(err)
		}
		if sim.response == nil {
			t.Fatal("no response")
		}
		checkAttempts(t, c, d, sim)
	})
}

// checkAttempts checks the endpoints of a job's attempts.
func checkAttempts(t *rapid.T, c drawnCase, d routing.Decision, sim *simulation) {
	byKey := c.suite.settings.Classes[d.Class].Idempotency == balancer.IdempotentByKey
	cell, mayHaveRun := 0, false // cell of an attempt that may have run
	for n, endpoint := range sim.attempts {
		entry, w := endpoint.entry(), endpoint.worker
		worker := balancer.Worker{Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, Labels: entry.Labels}
		switch {
		case endpoint.state != balancer.Ready || c.draining[w.Name]:
			t.Fatalf("attempt %d goes to a draining worker", n)
		case w.Age > 0 && time.Duration(w.Age) < slowStart:
			t.Fatalf("attempt %d goes to a worker in slow start without a budget", n)
		case d.Route.Tier(&worker) < 0:
			t.Fatalf("attempt %d goes outside the pools", n)
		case n > 0 && d.MaxAttempts > 0 && n >= d.MaxAttempts:
			t.Fatalf("attempt %d, at most %d are allowed", n+1, d.MaxAttempts)
		case mayHaveRun && byKey && w.Cell != cell:
			t.Fatalf("attempt %d of a keyed job that may have run goes to another cell", n)
		}
		if endpoint.reachable && endpoint.jobResponse == RespondError { // unreachable: it did not run
			cell, mayHaveRun = w.Cell, true
		}
	}
}
