package emulate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// newWorld returns a world of smallScenario.
func newWorld(t *testing.T, seed uint64) *World {
	t.Helper()
	w, err := NewWorld(smallScenario(seed))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// smallScenario has ten workers in two zones, and a class of each idempotency.
func smallScenario(seed uint64) *Scenario {
	return &Scenario{
		Seed: seed, Duration: Duration(30 * time.Second), Nodes: 2, Zones: []string{"a", "b"},
		Classes: []ClassSpec{
			{
				Name:             "quote",
				LatencyObjective: Duration(250 * time.Millisecond),
				ObjectiveStretch: 1.75,
				Timeout:          Duration(5 * time.Second),
				PriorityWeight:   5,
				LateShare:        0.5,
				Size:             SizeSpec{Mean: 0.3},
			},
			{
				Name:             "book",
				Idempotency:      idempotentByKey,
				KeyWindow:        Duration(25 * time.Second),
				LatencyObjective: Duration(time.Second),
				ObjectiveStretch: 2,
				Timeout:          Duration(15 * time.Second),
				PriorityWeight:   15,
				LateShare:        0.3,
				Size:             SizeSpec{Dist: distLogNormal, Mean: 1, Sigma: 0.5},
			},
			{
				Name:        "once",
				Idempotency: nonIdempotent,
				Timeout:     Duration(10 * time.Second),
				Size:        SizeSpec{Dist: distPareto, Mean: 0.2, Alpha: 2.5},
			},
		},
		Workers: []WorkerGroup{
			{Count: 5, Zone: "a", Cores: 6, Speed: 1.2, PodSize: 3},
			{Count: 5, Zone: "b", Cores: 8, Speed: 0.9, PodSize: 3},
		},
		Clients: []ClientGroup{
			{Team: "muscat", Zone: "a", Rate: 20, Retries: 2},
			{Team: "batinah", Zone: "b", Rate: 20, Retries: 1},
		},
	}
}

func TestRunsOfOneSeedAreTheSame(t *testing.T) {
	run := func(seed uint64) string {
		b, err := json.Marshal(newWorld(t, seed).Run())
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	if first, second := run(3), run(3); first != second {
		t.Error("two runs with the same seed differ")
	}
	if run(3) == run(4) {
		t.Error("runs with different seeds are the same")
	}
}

func BenchmarkWorld(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			events, jobs := 0.0, 0.0
			for b.Loop() {
				sc := smallScenario(1)
				sc.Workers = []WorkerGroup{{Count: n, Zone: "a", Cores: 6}}
				sc.Clients = []ClientGroup{{Team: "t", Zone: "a", Rate: 5 * float64(n)}}
				sc.Nodes, sc.Zones = 1, []string{"a"}
				w, err := NewWorld(sc)
				if err != nil {
					b.Fatal(err)
				}
				r := w.Run()
				events, jobs = events+float64(r.Events), jobs+float64(r.Jobs)
			}
			b.ReportMetric(events/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(jobs/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}
