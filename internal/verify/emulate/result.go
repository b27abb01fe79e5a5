package emulate

import (
	"math"
	"slices"
	"time"
)

// Tally is what became of the jobs of a class or team.
type Tally struct {
	Name          string  `json:"name"`
	Arrived       int     `json:"came"`
	Served        int     `json:"served"`
	InTime        int     `json:"in_time"`
	Rejected      int     `json:"refused"`
	Failed        int     `json:"failed"`
	OfferedWeight float64 `json:"worth"`  // asked for
	EarnedWeight  float64 `json:"earned"` // in time in full, late in part
	P50           float64 `json:"p50_ms"` // of what was served, from the first try's sending
	P99           float64 `json:"p99_ms"`

	latencies []float64
}

// Second is a row of the time line.
type Second struct {
	At       int `json:"at"`
	Arrived  int `json:"came"`
	Served   int `json:"served"`
	InTime   int `json:"in_time"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	Queued   int `json:"waiting"` // jobs in workers' waiting rooms
	Running  int `json:"busy"`
}

// metrics is what is measured while a run goes on.
type metrics struct {
	classes, teams []Tally
	seconds        []Second
	attempts       int
	healthChecks   int
	listEntries    int
	rejections     int
	retries        int
}

func (m *metrics) init(sc *Scenario) {
	for _, c := range sc.Classes {
		m.classes = append(m.classes, Tally{Name: c.Name})
	}
	for _, g := range sc.Clients {
		if !slices.ContainsFunc(m.teams, func(t Tally) bool { return t.Name == g.Team }) {
			m.teams = append(m.teams, Tally{Name: g.Team})
		}
	}
}

// tallies are the tallies that a job counts in.
func (m *metrics) tallies(r *job) [2]*Tally {
	team := slices.IndexFunc(m.teams, func(t Tally) bool { return t.Name == r.group.spec.Team })
	return [2]*Tally{&m.classes[r.classIndex], &m.teams[team]}
}

func (m *metrics) second(w *World) *Second {
	at := int(w.Clock.now / time.Second)
	for len(m.seconds) <= at {
		s := Second{At: len(m.seconds)}
		for _, k := range w.workers {
			s.Queued += k.QueueLength()
			s.Running += k.RunningCount()
		}
		m.seconds = append(m.seconds, s)
	}
	return &m.seconds[at]
}

func (m *metrics) arrived(r *job) {
	m.second(r.world).Arrived++
	for _, t := range m.tallies(r) {
		t.Arrived++
		t.OfferedWeight += r.class.PriorityWeight * r.size
	}
}

func (m *metrics) finished(r *job, how string) {
	s := m.second(r.world)
	took := (r.world.Clock.now - r.arrivedAt).Seconds()
	inTime := took <= time.Duration(r.class.LatencyObjective).Seconds()+r.class.ObjectiveStretch*r.size
	switch how {
	case "served":
		s.Served++
		if inTime {
			s.InTime++
		}
	case "refused":
		s.Rejected++
	default:
		s.Failed++
	}
	for _, t := range m.tallies(r) {
		switch how {
		case "served":
			t.Served++
			t.latencies = append(t.latencies, took)
			if inTime {
				t.InTime++
				t.EarnedWeight += r.class.PriorityWeight * r.size
			} else {
				t.EarnedWeight += r.class.PriorityWeight * r.size * r.class.LateShare
			}
		case "refused":
			t.Rejected++
		default:
			t.Failed++
		}
	}
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
	ListEntries  int      `json:"list_lines"`
	Rejections   int      `json:"refusals"` // busy answers, also those that a retry made good
	Retries      int      `json:"retries"`
	Events       uint64   `json:"events"`
	EarnedShare  float64  `json:"worth"` // the part of what was asked for that was earned
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
		Events:       w.Clock.count,
		Violations:   w.invariants.violations,
	}
	worth, earned := 0.0, 0.0
	for _, list := range [][]Tally{r.Classes, r.Teams} {
		for i := range list {
			t := &list[i]
			slices.Sort(t.latencies)
			t.P50, t.P99 = 1000*quantile(t.latencies, 0.5), 1000*quantile(t.latencies, 0.99)
		}
	}
	for _, t := range r.Classes {
		r.Jobs += t.Arrived
		worth += t.OfferedWeight
		earned += t.EarnedWeight
	}
	r.EarnedShare = earned / math.Max(worth, 1e-9)
	return r
}

// quantile is of sorted values; 0 where there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
