package emulate

import (
	"os"
	"testing"
	"time"
)

// newFault makes a fault of a fraction of the workers or nodes.
func newFault(kind string, start, length time.Duration, fraction float64) Fault {
	return Fault{Kind: kind, Start: Duration(start), Length: Duration(length), Fraction: fraction}
}

// Under each kind of fault the real broker and balancer keep the rules, and all jobs come to an end.
func TestRulesHoldUnderEveryFault(t *testing.T) {
	magnitudes := map[string]float64{"slow": 6, "errors": 0.7, "stale": 5, "heavy": 15, "flood": 4,
		"retry-storm": 5, "grey": 8}
	for kind := range faultKinds {
		for seed := range uint64(6) {
			sc := small(seed)
			f := newFault(kind, 8*time.Second, 10*time.Second, 0.3)
			f.Magnitude, f.Class = magnitudes[kind], sc.Classes[0].Name
			if kind == faultZoneLost {
				f.Zone = "a"
			}
			sc.Faults = []Fault{f}
			r, err := RunScenario(sc)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 {
				t.Errorf("%s, seed %d: %v", kind, seed, r.Violations)
			}
			if r.Jobs < 1000 || r.EarnedShare < 0.1 {
				t.Errorf("%s, seed %d: %d jobs, %.3f of their weight", kind, seed, r.Jobs, r.EarnedShare)
			}
		}
	}
}

// Maintenance holds while nodes hot restart and the list is late, and workers that come back from it in slow
// start are not overloaded by two processes of a node.
func TestMaintenanceHoldsDuringHotRestarts(t *testing.T) {
	for seed := range uint64(12) {
		sc := small(seed)
		stale := newFault("stale", 5*time.Second, 8*time.Second, 0)
		stale.Magnitude = 4
		sc.Faults = []Fault{
			newFault("maintain", 4*time.Second, 12*time.Second, 0.3),
			newFault("replace", 6*time.Second, 12*time.Second, 1),
			stale,
			newFault("replace", 15*time.Second, 5*time.Second, 1),
		}
		r, err := RunScenario(sc)
		if err != nil || len(r.Violations) > 0 || r.EarnedShare < 0.3 {
			t.Errorf("seed %d: %v, %+v", seed, err, r)
		}
	}
}

// The rules hold under many faults at once, drawn at random.
func TestRulesHoldInFaultStorms(t *testing.T) {
	worst := 1.0
	err := RunFaultStorms(small(0), 100, 40, 6, func(s FaultStorm) {
		worst = min(worst, s.EarnedShare)
		if len(s.Violations) > 0 {
			t.Errorf("seed %d: %v by %+v", s.Seed, s.Violations[0], s.MinimalFaults)
		}
	})
	if err != nil || worst > 0.95 {
		t.Errorf("%v; the worst storm left %.3f of the weight", err, worst)
	}
}

// Twelve nodes share the slow-start budget of each worker, and have time slots in it. The first eight storms
// overloaded a worker, by an older and narrower rule, while the slots and the others' steady shares did not
// fit into a window together. The others do, by the rule of today, where slots are not kept or each node's
// share is three times as much.
func TestRulesHoldInFaultStormsOfManyNodes(t *testing.T) {
	const file = "../../../experiments/small.toml"
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	sc, err := ParseScenario(file, raw)
	if err != nil {
		t.Fatal(err)
	}
	sc.Nodes = 12
	for _, seed := range []uint64{49, 91, 98, 154, 178, 248, 408, 564, 9, 11, 19, 46, 67, 85, 104} {
		err := RunFaultStorms(sc, seed, 1, 6, func(s FaultStorm) {
			if len(s.Violations) > 0 {
				t.Errorf("seed %d: %v", s.Seed, s.Violations[0])
			}
		})
		if err != nil {
			t.Error(err)
		}
	}
}

func TestShrinkKeepsWhatStillFails(t *testing.T) {
	faults := RandomFaults(small(0), 5, 6)
	for len(faults) < 6 {
		faults = append(faults, Fault{Kind: "slow", Length: Duration(8 * time.Second)})
	}
	faults[2].Kind, faults[2].Length, faults[4].Kind = "cut", Duration(8*time.Second), "drain"
	got := Shrink(faults, func(faults []Fault) bool {
		cut, drain := false, false
		for _, f := range faults {
			cut = cut || f.Kind == "cut" && f.Length >= Duration(time.Second)
			drain = drain || f.Kind == "drain"
		}
		return cut && drain
	})
	if len(got) != 2 || got[0].Kind != "cut" || got[0].Length != Duration(time.Second) ||
		got[1].Kind != "drain" {
		t.Errorf("%+v", got)
	}
}
