package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Worker is one that instances may use.
type Worker struct {
	Name string
	Zone string
}

// Subset is which workers an instance uses: k of them, in each zone a part as large as the zone's of all.
// Each worker is used by as many instances as any other of its zone, give or take one, and instances or
// workers that come and go move little. Where there are no more than k, all of them. It is a function of
// the set of instances and of the list; instances whose lists differ for a while are uneven for that
// while.
//
// All pairs of an instance and a worker are ranked by a hash, and taken from the best on for as long as
// the instance wants more and the worker has room. (Rendezvous hashing alone is uneven; the rounds of the
// "deterministic subsetting" of the SRE book are even, and nearly all move when an instance in the middle
// leaves.)
func Subset(members []Member, own Session, workers []Worker, k int) map[string]bool {
	use := map[string]bool{}
	me := slices.IndexFunc(members, func(m Member) bool { return m.Session == own })
	if k <= 0 || k >= len(workers) || me < 0 {
		for _, w := range workers {
			use[w.Name] = true
		}
		return use
	}
	zones := map[string][]Worker{}
	for _, w := range workers {
		zones[w.Zone] = append(zones[w.Zone], w)
	}
	parts := share(zones, len(workers), k)
	for zone, list := range zones {
		slices.SortFunc(list, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
		for _, n := range match(members, list, parts[zone])[me] {
			use[list[n].Name] = true
		}
	}
	return use
}

// share splits k over zones by their sizes; what is left over goes to those that it was taken from most.
func share(zones map[string][]Worker, all, k int) map[string]int {
	type zone struct {
		name string
		rest int
	}
	parts, left := map[string]int{}, k
	var order []zone
	for name, list := range zones {
		parts[name] = k * len(list) / all
		left -= parts[name]
		order = append(order, zone{name, k * len(list) % all})
	}
	slices.SortFunc(order, func(a, b zone) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.name, b.name))
	})
	for n := range left {
		parts[order[n].name]++
	}
	return parts
}

// pair is an instance and a worker, and how well they fit.
type pair struct {
	score          uint64
	member, worker int
}

// match gives each instance k of the workers.
func match(members []Member, workers []Worker, k int) [][]int {
	has := make([][]bool, len(members))
	want, room := make([]int, len(members)), rooms(len(members)*k, workers)
	pairs := make([]pair, 0, len(members)*len(workers))
	for m := range members {
		has[m], want[m] = make([]bool, len(workers)), k
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], members[m].Member)
		for w := range workers {
			h := xxhash.New()
			_, _ = h.Write(b[:])
			_, _ = h.WriteString(workers[w].Name)
			pairs = append(pairs, pair{h.Sum64(), m, w})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(members[a.member].Member,
			members[b.member].Member), cmp.Compare(a.worker, b.worker))
	})
	for _, p := range pairs {
		if want[p.member] > 0 && room[p.worker] > 0 {
			has[p.member][p.worker] = true
			want[p.member]--
			room[p.worker]--
		}
	}
	for m := range members {
		for want[m] > 0 && trade(m, has, room) {
			want[m]--
		}
	}
	lists := make([][]int, len(members))
	for m := range members {
		for w, is := range has[m] {
			if is {
				lists[m] = append(lists[m], w)
			}
		}
	}
	return lists
}

// rooms is how many instances may use each worker: their sum is what is wanted. Which have one more goes
// by their names.
func rooms(wanted int, workers []Worker) []int {
	room := make([]int, len(workers))
	order := make([]int, len(workers))
	for w := range workers {
		room[w], order[w] = wanted/len(workers), w
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(workers[a].Name), xxhash.Sum64String(workers[b].Name)),
			cmp.Compare(a, b))
	})
	for _, w := range order[:wanted%len(workers)] {
		room[w]++
	}
	return room
}

// trade gives an instance one more worker where all that have room are its own already: another one gives
// up a worker to it, and takes one of those.
func trade(m int, has [][]bool, room []int) bool {
	for spare := range room {
		if room[spare] == 0 {
			continue
		}
		if !has[m][spare] {
			has[m][spare] = true
			room[spare]--
			return true
		}
		for other := range has {
			if has[other][spare] {
				continue
			}
			for w, is := range has[other] {
				if is && !has[m][w] {
					has[other][w], has[other][spare], has[m][w] = false, true, true
					room[spare]--
					return true
				}
			}
		}
	}
	return false
}
