package emulate

import (
	"slices"
)

// Tally counts the results of the jobs of a class or team.
type Tally struct {
	Name          string  `json:"name"`
	Arrived       int     `json:"came"`
	Served        int     `json:"served"`
	InTime        int     `json:"in_time"` // served within the latency objective
	Rejected      int     `json:"refused"`
	Failed        int     `json:"failed"`
	OfferedWeight float64 `json:"worth"`  // of all jobs: the class's priority weight times the job's size
	EarnedWeight  float64 `json:"earned"` // of the served jobs: in full if in time, in part if late
	P50           float64 `json:"p50_ms"` // latency of the served jobs in milliseconds, from their arrival
	P99           float64 `json:"p99_ms"`

	latencies []float64 // in seconds
}

// served counts a served job.
func (t *Tally) served(j *job, latency float64, inTime bool) {
	t.Served++
	t.latencies = append(t.latencies, latency)
	if inTime {
		t.InTime++
		t.EarnedWeight += float64(j.class.PriorityWeight * j.size)
	} else {
		t.EarnedWeight += float64(j.class.PriorityWeight * j.size * j.class.LateShare)
	}
}

// Second holds the measurements of one second of a run.
type Second struct {
	At       int `json:"at"`
	Arrived  int `json:"came"`
	Served   int `json:"served"`
	InTime   int `json:"in_time"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	Queued   int `json:"waiting"` // jobs in the workers' queues at the start of the second
	Running  int `json:"busy"`    // jobs running at workers at the start of the second
}

// Result is the result of a run.
type Result struct {
	Seed         uint64   `json:"seed"`
	Classes      []Tally  `json:"classes"`
	Teams        []Tally  `json:"teams"`
	Seconds      []Second `json:"seconds,omitempty"`
	Jobs         int      `json:"jobs"`
	Attempts     int      `json:"attempts"`
	HealthChecks int      `json:"probes"`
	ListEntries  int      `json:"list_lines"` // received by nodes
	Rejections   int      `json:"refusals"`   // of single submissions, even if a retry was served
	Retries      int      `json:"retries"`    // by clients
	Events       uint64   `json:"events"`     // events that the clock has run
	EarnedShare  float64  `json:"worth"`      // earned weight of all classes as a share of the offered weight
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
	r.EarnedShare = earned / max(offered, 1e-9)
	return r
}

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
