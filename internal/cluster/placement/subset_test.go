package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func workers(n, zones int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, Worker{Name: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%max(zones, 1))})
	}
	return list
}

// uses is which instances use which worker.
func uses(t interface{ Errorf(string, ...any) }, v View, list []Worker, k int) map[string]map[uint64]bool {
	all := map[string]map[uint64]bool{}
	for _, w := range list {
		all[w.Name] = map[uint64]bool{}
	}
	for _, m := range v.Members {
		set := Subset(v.Members, m.Session, list, k)
		if want := min(k, len(list)); k > 0 && len(set) != want {
			t.Errorf("an instance uses %d of %d workers, %d are wanted", len(set), len(list), want)
		}
		for name := range set {
			all[name][m.Member] = true
		}
	}
	return all
}

// Each worker is used by as many instances as any other of its zone, give or take one, whatever the
// numbers are.
func TestSubsetsAreEven(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := view(some(rapid.IntRange(1, 30).Draw(r, "instances"))...)
		list := workers(rapid.IntRange(1, 60).Draw(r, "workers"), rapid.IntRange(1, 3).Draw(r, "zones"))
		k := rapid.IntRange(0, 30).Draw(r, "k")
		least, most := map[string]int{}, map[string]int{}
		all := uses(r, v, list, k)
		for _, w := range list {
			n := len(all[w.Name])
			if l, ok := least[w.Zone]; !ok || n < l {
				least[w.Zone] = n
			}
			most[w.Zone] = max(most[w.Zone], n)
		}
		for zone := range least {
			if most[zone]-least[zone] > 1 {
				r.Errorf("%s: a worker is used by %d instances, another by %d", zone, most[zone], least[zone])
			}
		}
	})
}

// One instance or worker that comes or goes moves little more than it must: its own k, or what used the
// worker.
func TestSubsetsAreStill(t *testing.T) {
	for _, c := range []struct{ n, w, k int }{{5, 40, 10}, {15, 200, 20}, {50, 200, 20}, {100, 1000, 30}} {
		ids, list := some(c.n+1), workers(c.w+1, 1)
		uses := func(v View, list []Worker) map[string]map[uint64]bool {
			all := map[string]map[uint64]bool{}
			for m, used := range match(v.Members, list, c.k) {
				for _, w := range used {
					if all[list[w].Name] == nil {
						all[list[w].Name] = map[uint64]bool{}
					}
					all[list[w].Name][v.Members[m].Member] = true
				}
			}
			return all
		}
		before := uses(view(ids[:c.n]...), list[:c.w])
		moved := func(after map[string]map[uint64]bool) (sum int) {
			for name, users := range after {
				for id := range users {
					if !before[name][id] {
						sum++
					}
				}
			}
			return sum
		}
		joined := moved(uses(view(ids...), list[:c.w]))
		left := moved(uses(view(append(append([]uint64{}, ids[:c.n/2]...), ids[c.n/2+1:c.n]...)...),
			list[:c.w]))
		more := moved(uses(view(ids[:c.n]...), list))
		pairs := c.n * c.k
		t.Logf("%d use %d of %d: one joins %d new pairs (%d its own), one leaves %d, a worker more %d; %d",
			c.n, c.k, c.w, joined, c.k, left, more, pairs)
		if joined > pairs/2 || left > pairs/2 || more > pairs/2 {
			t.Errorf("more than half of %d pairs move", pairs)
		}
	}
}

// In no order of learning do parts come to more than the whole, and no two have one turn: instances join,
// leave, stand still, and hear of a view late, but act only while their right lasts.
func TestPartsNeverComeToMoreThanTheWhole(t *testing.T) {
	const lease = 500 * time.Millisecond
	wait := 2 * lease
	whole := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		type one struct {
			parts   Partitioning
			seen    int // views that it has learned
			until   time.Duration
			index   int // its lease counts once it has learned so many
			granted time.Duration
			stalled time.Duration
			id      uint64
		}
		var nodes []*one
		for i := range 6 {
			nodes = append(nodes, &one{id: uint64(i + 1)})
		}
		open, ends := map[uint64]bool{}, map[uint64]time.Duration{}
		var views []View
		epoch := uint64(0)
		change := func() {
			v := View{}
			for _, n := range nodes {
				if open[n.id] {
					v.Members = append(v.Members, Member{Session: Session{n.id, 1}})
				}
			}
			epoch++
			v.Number = epoch
			views = append(views, v)
		}
		for now := time.Millisecond; now < 20*time.Second; now += 10 * time.Millisecond {
			if rng.IntN(60) == 0 {
				n := nodes[rng.IntN(len(nodes))]
				if n.stalled = now + time.Duration(rng.IntN(3000))*time.Millisecond; rng.IntN(2) == 0 &&
					!open[n.id] {
					open[n.id], n.stalled = true, 0
					ends[n.id] = now + wait
					change()
				}
			}
			for _, n := range nodes {
				if open[n.id] && now > ends[n.id] { // its lease has surely run out
					open[n.id] = false
					change()
				}
				if now < n.stalled {
					continue
				}
				if open[n.id] && rng.IntN(5) == 0 {
					n.granted, n.index = now+lease, len(views)
					ends[n.id] = now + wait
				}
				for n.seen < len(views) && rng.IntN(4) == 0 {
					n.parts.SetView(now, views[n.seen], Session{n.id, 1}, wait)
					n.seen++
				}
				if n.seen >= n.index {
					n.until = n.granted
				}
			}
			sum, turns := 0.0, map[[2]int]uint64{}
			for _, n := range nodes {
				me, of, ok := n.parts.Partition(now, n.until)
				if !ok {
					continue
				}
				sum += 1 / float64(of)
				if was, taken := turns[[2]int{me, of}]; taken {
					t.Fatalf("seed %d: %d and %d both have part %d of %d", seed, was, n.id, me, of)
				}
				turns[[2]int{me, of}] = n.id
			}
			if sum > 1+1e-9 {
				t.Fatalf("seed %d, at %v: the parts come to %.3f", seed, now, sum)
			}
			if sum > 1-1e-9 {
				whole++
			}
		}
	}
	if whole == 0 {
		t.Error("the whole was never had")
	}
}
