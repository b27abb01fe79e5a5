package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// workersInZones returns n workers, spread over zones.
func workersInZones(n, zones int) []Worker {
	var workers []Worker
	for i := range n {
		workers = append(workers, Worker{Name: fmt.Sprintf("w%d", i),
			Zone: fmt.Sprintf("z%d", i%max(zones, 1))})
	}
	return workers
}

// usersOfWorkers returns which instances use each worker, and checks the sizes of the subsets.
func usersOfWorkers(t *rapid.T, v View, workers []Worker, size int) map[string]map[uint64]bool {
	t.Helper()
	users := map[string]map[uint64]bool{}
	for _, w := range workers {
		users[w.Name] = map[uint64]bool{}
	}
	for _, m := range v.Members {
		subset := Subset(v.Members, m.Session, workers, size)
		if want := min(size, len(workers)); size > 0 && len(subset) != want {
			t.Errorf("an instance uses %d of %d workers, want %d", len(subset), len(workers), want)
		}
		for name := range subset {
			users[name][m.Member] = true
		}
	}
	return users
}

// Each worker is used by as many instances as any other of its zone, give or take one, for any numbers of
// instances, workers and zones.
func TestSubsetsUseWorkersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(memberNumbers(rapid.IntRange(1, 30).Draw(t, "instances"))...)
		workers := workersInZones(rapid.IntRange(1, 60).Draw(t, "workers"),
			rapid.IntRange(1, 3).Draw(t, "zones"))
		size := rapid.IntRange(0, 30).Draw(t, "size")
		fewest, most := map[string]int{}, map[string]int{}
		users := usersOfWorkers(t, v, workers, size)
		for _, w := range workers {
			n := len(users[w.Name])
			if f, ok := fewest[w.Zone]; !ok || n < f {
				fewest[w.Zone] = n
			}
			most[w.Zone] = max(most[w.Zone], n)
		}
		for zone := range fewest {
			if most[zone]-fewest[zone] > 1 {
				t.Errorf("%s: a worker is used by %d instances, another by %d", zone, most[zone],
					fewest[zone])
			}
		}
	})
}

// assignedPair is a pair of an instance and a worker that the instance uses.
type assignedPair struct {
	worker string
	member uint64
}

// assignedPairs returns all pairs in a view.
func assignedPairs(v View, workers []Worker, size int) map[assignedPair]bool {
	pairs := map[assignedPair]bool{}
	for m, used := range assignWorkers(v.Members, workers, size) {
		for _, w := range used {
			pairs[assignedPair{workers[w].Name, v.Members[m].Member}] = true
		}
	}
	return pairs
}

// An instance or worker that joins or leaves changes few pairs beyond those that must change: its own subset,
// or the instances that used the worker.
func TestSubsetsMoveLittle(t *testing.T) {
	for _, c := range []struct{ instances, workers, size int }{
		{5, 40, 10}, {15, 200, 20}, {50, 200, 20}, {100, 1000, 30},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			numbers, workers := memberNumbers(c.instances+1), workersInZones(c.workers+1, 1)
			middle := c.instances / 2
			withoutMiddle := slices.Delete(slices.Clone(numbers[:c.instances]), middle, middle+1)
			before := assignedPairs(viewOf(numbers[:c.instances]...), workers[:c.workers], c.size)
			total := c.instances * c.size
			for change, after := range map[string]map[assignedPair]bool{
				"an instance joins":  assignedPairs(viewOf(numbers...), workers[:c.workers], c.size),
				"an instance leaves": assignedPairs(viewOf(withoutMiddle...), workers[:c.workers], c.size),
				"a worker joins":     assignedPairs(viewOf(numbers[:c.instances]...), workers, c.size),
			} {
				added := 0
				for pair := range after {
					if !before[pair] {
						added++
					}
				}
				t.Logf("%s: %d new pairs of %d", change, added, total)
				if added > total/2 {
					t.Errorf("%s: more than half of %d pairs move", change, total)
				}
			}
		})
	}
}
