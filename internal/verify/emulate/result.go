package emulate

import (
	"math"
	"slices"
	"time"
)

// Tally is what became of the jobs of a class or team.
type Tally struct {
	Name    string  `json:"name"`
	Came    int     `json:"came"`
	Served  int     `json:"served"`
	InTime  int     `json:"in_time"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`  // asked for
	Earned  float64 `json:"earned"` // in time in full, late in part
	P50     float64 `json:"p50_ms"` // of what was served, from the first try's sending
	P99     float64 `json:"p99_ms"`

	took []float64
}

// Second is a row of the time line.
type Second struct {
	At      int `json:"at"`
	Came    int `json:"came"`
	Served  int `json:"served"`
	InTime  int `json:"in_time"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Waiting int `json:"waiting"` // jobs in workers' waiting rooms
	Busy    int `json:"busy"`
}

// rows is what is measured while a run goes on.
type rows struct {
	classes, teams []Tally
	seconds        []Second
	attempts       int
	probes         int
	lines          int
	refusals       int
	retries        int
}

func (m *rows) init(sc *Scenario) {
	for _, c := range sc.Classes {
		m.classes = append(m.classes, Tally{Name: c.Name})
	}
	for _, g := range sc.Clients {
		if !slices.ContainsFunc(m.teams, func(t Tally) bool { return t.Name == g.Team }) {
			m.teams = append(m.teams, Tally{Name: g.Team})
		}
	}
}

// of are the tallies that a job counts in.
func (m *rows) of(r *request) [2]*Tally {
	team := slices.IndexFunc(m.teams, func(t Tally) bool { return t.Name == r.g.spec.Team })
	return [2]*Tally{&m.classes[r.index], &m.teams[team]}
}

func (m *rows) second(w *World) *Second {
	at := int(w.Clock.now / time.Second)
	for len(m.seconds) <= at {
		s := Second{At: len(m.seconds)}
		for _, k := range w.workers {
			s.Waiting += k.Queue()
			s.Busy += k.Busy()
		}
		m.seconds = append(m.seconds, s)
	}
	return &m.seconds[at]
}

func (m *rows) came(r *request) {
	m.second(r.w).Came++
	for _, t := range m.of(r) {
		t.Came++
		t.Worth += r.class.Worth * r.size
	}
}

func (m *rows) ended(r *request, how string) {
	s := m.second(r.w)
	took := (r.w.Clock.now - r.came).Seconds()
	inTime := took <= time.Duration(r.class.Aim).Seconds()+r.class.Stretch*r.size
	switch how {
	case "served":
		s.Served++
		if inTime {
			s.InTime++
		}
	case "refused":
		s.Refused++
	default:
		s.Failed++
	}
	for _, t := range m.of(r) {
		switch how {
		case "served":
			t.Served++
			t.took = append(t.took, took)
			if inTime {
				t.InTime++
				t.Earned += r.class.Worth * r.size
			} else {
				t.Earned += r.class.Worth * r.size * r.class.LateShare
			}
		case "refused":
			t.Refused++
		default:
			t.Failed++
		}
	}
}

// Result is what a run came to.
type Result struct {
	Seed       uint64   `json:"seed"`
	Classes    []Tally  `json:"classes"`
	Teams      []Tally  `json:"teams"`
	Seconds    []Second `json:"seconds,omitempty"`
	Jobs       int      `json:"jobs"`
	Attempts   int      `json:"attempts"`
	Probes     int      `json:"probes"`
	Lines      int      `json:"list_lines"`
	Refusals   int      `json:"refusals"` // busy answers, also those that a retry made good
	Retries    int      `json:"retries"`
	Events     uint64   `json:"events"`
	Worth      float64  `json:"worth"` // the part of what was asked for that was earned
	Violations []string `json:"violations,omitempty"`
}

func (w *World) result() *Result {
	w.watch.end()
	m := &w.rows
	r := &Result{
		Seed:       w.sc.Seed,
		Classes:    m.classes,
		Teams:      m.teams,
		Seconds:    m.seconds,
		Attempts:   m.attempts,
		Probes:     m.probes,
		Lines:      m.lines,
		Refusals:   m.refusals,
		Retries:    m.retries,
		Events:     w.Clock.count,
		Violations: w.watch.broken,
	}
	worth, earned := 0.0, 0.0
	for _, list := range [][]Tally{r.Classes, r.Teams} {
		for i := range list {
			t := &list[i]
			slices.Sort(t.took)
			t.P50, t.P99 = 1000*quantile(t.took, 0.5), 1000*quantile(t.took, 0.99)
		}
	}
	for _, t := range r.Classes {
		r.Jobs += t.Came
		worth += t.Worth
		earned += t.Earned
	}
	r.Worth = earned / math.Max(worth, 1e-9)
	return r
}

// quantile is of sorted values; 0 where there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
