package emulate

import (
	"slices"
	"time"
)

// metrics collects the measurements of a run.
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

// tallies returns the tallies of the job's class and of its team.
func (m *metrics) tallies(j *job) [2]*Tally {
	team := slices.IndexFunc(m.teams, func(t Tally) bool { return t.Name == j.group.spec.Team })
	return [2]*Tally{&m.classes[j.classIndex], &m.teams[team]}
}

// second returns the row of the current second. The first call within a second samples the workers.
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

func (m *metrics) arrived(j *job) {
	m.second(j.world).Arrived++
	for _, t := range m.tallies(j) {
		t.Arrived++
		t.OfferedWeight += float64(j.class.PriorityWeight * j.size)
	}
}

func (m *metrics) finished(j *job, o outcome) {
	latency := (j.world.Clock.now - j.arrivedAt).Seconds()
	objective := time.Duration(j.class.LatencyObjective).Seconds() + float64(j.class.ObjectiveStretch*j.size)
	inTime := latency <= objective
	s := m.second(j.world)
	switch o {
	case outcomeServed:
		s.Served++
		if inTime {
			s.InTime++
		}
	case outcomeRejected:
		s.Rejected++
	default:
		s.Failed++
	}
	for _, t := range m.tallies(j) {
		switch o {
		case outcomeServed:
			t.served(j, latency, inTime)
		case outcomeRejected:
			t.Rejected++
		default:
			t.Failed++
		}
	}
}
