package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is a worker of the endpoint list, as Subset needs it.
type Worker struct {
	Name string
	Zone string
}

// Subset returns the names of the workers that an instance uses: size workers, split over the zones in
// proportion to each zone's number of workers. Each worker is used by as many instances as any other worker
// of its zone, give or take one, and a change of the instances or workers changes few of these pairs. Subset
// returns all workers if size is 0 or not less than their number, or if own is not among the members.
//
// Subset is a pure function of the members and the workers; while instances' endpoint lists differ, subsets
// are uneven.
//
// All pairs of an instance and a worker are ranked by a hash and accepted in that order, while the instance
// needs more workers and the worker has capacity for more instances. Rendezvous hashing alone is uneven; the
// rounds of "deterministic subsetting" (SRE book) are even, but nearly all pairs move when an instance in the
// middle leaves.
func Subset(members []Member, own Session, workers []Worker, size int) map[string]bool {
	subset := map[string]bool{}
	ownIndex := slices.IndexFunc(members, func(m Member) bool { return m.Session == own })
	if size <= 0 || size >= len(workers) || ownIndex < 0 {
		for _, w := range workers {
			subset[w.Name] = true
		}
		return subset
	}
	zones := map[string][]Worker{}
	for _, w := range workers {
		zones[w.Zone] = append(zones[w.Zone], w)
	}
	sizes := splitByZone(zones, len(workers), size)
	for zone, list := range zones {
		slices.SortFunc(list, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
		for _, n := range assignWorkers(members, list, sizes[zone])[ownIndex] {
			subset[list[n].Name] = true
		}
	}
	return subset
}

// splitByZone splits the subset's size over the zones in proportion to their workers, by largest remainder.
func splitByZone(zones map[string][]Worker, workerCount, size int) map[string]int {
	type zone struct {
		name      string
		remainder int
	}
	sizes, unassigned := map[string]int{}, size
	var order []zone
	for name, list := range zones {
		sizes[name] = size * len(list) / workerCount
		unassigned -= sizes[name]
		order = append(order, zone{name, size * len(list) % workerCount})
	}
	slices.SortFunc(order, func(a, b zone) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.name, b.name))
	})
	for n := range unassigned {
		sizes[order[n].name]++
	}
	return sizes
}

// rankedPair is a pair of an instance and a worker, both given as indices, with its hash.
type rankedPair struct {
	score          uint64
	member, worker int
}

// rankPairs returns all pairs of an instance and a worker, highest hash first.
func rankPairs(members []Member, workers []Worker) []rankedPair {
	pairs := make([]rankedPair, 0, len(members)*len(workers))
	for m := range members {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], members[m].Member)
		for w := range workers {
			h := xxhash.New()
			_, _ = h.Write(b[:])
			_, _ = h.WriteString(workers[w].Name)
			pairs = append(pairs, rankedPair{h.Sum64(), m, w})
		}
	}
	slices.SortFunc(pairs, func(a, b rankedPair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(members[a.member].Member,
			members[b.member].Member), cmp.Compare(a.worker, b.worker))
	})
	return pairs
}

// assignment records which instance uses which worker while this is being computed.
type assignment struct {
	uses     [][]bool // by index of the member and of the worker
	capacity []int    // how many more instances may use each worker
}

// assignWorkers returns the indices of the count workers that each member uses.
func assignWorkers(members []Member, workers []Worker, count int) [][]int {
	a := assignment{uses: make([][]bool, len(members)),
		capacity: workerCapacities(len(members)*count, workers)}
	wanted := make([]int, len(members))
	for m := range members {
		a.uses[m], wanted[m] = make([]bool, len(workers)), count
	}
	for _, p := range rankPairs(members, workers) {
		if wanted[p.member] > 0 && a.capacity[p.worker] > 0 {
			a.uses[p.member][p.worker] = true
			wanted[p.member]--
			a.capacity[p.worker]--
		}
	}
	for m := range members {
		for wanted[m] > 0 && a.addBySwap(m) {
			wanted[m]--
		}
	}
	lists := make([][]int, len(members))
	for m := range members {
		for w, used := range a.uses[m] {
			if used {
				lists[m] = append(lists[m], w)
			}
		}
	}
	return lists
}

// workerCapacities returns how many instances may use each worker. The capacities add up to total; the hashes
// of the names determine which workers have a capacity that is greater by one.
func workerCapacities(total int, workers []Worker) []int {
	capacity := make([]int, len(workers))
	order := make([]int, len(workers))
	for w := range workers {
		capacity[w], order[w] = total/len(workers), w
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(workers[a].Name), xxhash.Sum64String(workers[b].Name)),
			cmp.Compare(a, b))
	})
	for _, w := range order[:total%len(workers)] {
		capacity[w]++
	}
	return capacity
}

// addBySwap assigns one more worker to a member. If the member already uses all workers that have capacity,
// it gets a worker from another member, which uses one of those with capacity instead. It returns false if
// that is not possible.
func (a *assignment) addBySwap(member int) bool {
	for spare := range a.capacity {
		if a.capacity[spare] == 0 {
			continue
		}
		if !a.uses[member][spare] {
			a.uses[member][spare] = true
			a.capacity[spare]--
			return true
		}
		for other := range a.uses {
			if a.uses[other][spare] {
				continue
			}
			for w, used := range a.uses[other] {
				if used && !a.uses[member][w] {
					a.uses[other][w], a.uses[other][spare], a.uses[member][w] = false, true, true
					a.capacity[spare]--
					return true
				}
			}
		}
	}
	return false
}
