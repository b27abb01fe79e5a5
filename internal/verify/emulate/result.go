package emulate

import (
	"math"
	"slices"
)

// Tally is what became of the jobs of a class or team.
type Tally struct {
	Name          string  `json:"name"`
	Arrived       int     `json:"came"`
	Served        int     `json:"served"`
	InTime        int     `json:"in_time"` // of the served: within the latency objective
	Rejected      int     `json:"refused"`
	Failed        int     `json:"failed"`
	OfferedWeight float64 `json:"worth"`  // of all jobs, by their class's priority weight and their size
	EarnedWeight  float64 `json:"earned"` // of the served: in time in full, late in part
	P50           float64 `json:"p50_ms"` // latency of the served in milliseconds, from their arrival
	P99           float64 `json:"p99_ms"`

	latencies []float64 // in seconds
}

// served counts a job that was served.
func (t *Tally) served(j *job, latency float64, inTime bool) {
	t.Served++
	t.latencies = append(t.latencies, latency)
	if inTime {
		t.InTime++
		t.EarnedWeight += j.class.PriorityWeight * j.size
	} else {
		t.EarnedWeight += j.class.PriorityWeight * j.size * j.class.LateShare
	}
}

// Second is a second of a run.
type Second struct {
	At       int `json:"at"`
	Arrived  int `json:"came"`
	Served   int `json:"served"`
	InTime   int `json:"in_time"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	Queued   int `json:"waiting"` // jobs in the workers' queues at its beginning
	Running  int `json:"busy"`    // and at work
}

// Result is what a run came to.
type Result struct {
	Seed         uint64   `json:"seed"`
	Classes      []Tally  `json:"classes"`
	Teams        []Tally  `json:"teams"`
	Seconds      []Second `json:"seconds,omitempty"`
	Jobs         int      `json:"jobs"`
	Attempts     int      `json:"attempts"`
	HealthChecks int      `json:"probes"`
	ListEntries  int      `json:"list_lines"` // that nodes received
	Rejections   int      `json:"refusals"`   // of single submissions, also where a retry was served
	Retries      int      `json:"retries"`    // by clients
	Events       uint64   `json:"events"`     // of the clock
	EarnedShare  float64  `json:"worth"`      // earned weight of all classes, as a share of the offered
	Violations   []string `json:"violations,omitempty"`
}

func (w *World) result() *Result {
	w.invariants.checkEnd()
	m := &w.metrics
	r := &Result{
		Seed:         w.scenario.Seed,
		Classes:      m.classes,
		Teams:        m.teams,
		Seconds:      m.seconds,
		Attempts:     m.attempts,
		HealthChecks: m.healthChecks,
		ListEntries:  m.listEntries,
		Rejections:   m.rejections,
		Retries:      m.retries,
		Events:       w.Clock.EventCount(),
		Violations:   w.invariants.violations,
	}
	for _, tallies := range [][]Tally{r.Classes, r.Teams} {
		for i := range tallies {
			t := &tallies[i]
			slices.Sort(t.latencies)
			t.P50, t.P99 = 1000*quantile(t.latencies, 0.5), 1000*quantile(t.latencies, 0.99)
		}
	}
	offered, earned := 0.0, 0.0
	for _, t := range r.Classes {
		r.Jobs += t.Arrived
		offered += t.OfferedWeight
		earned += t.EarnedWeight
	}
	r.EarnedShare = earned / math.Max(offered, 1e-9)
	return r
}

// quantile is of sorted values; 0 where there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
