package compat

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/placement"
)

// owning is a way to say which of n instances owns a shard; the last is the one that joins or leaves.
type owning func(n, draw int) func(shard int) int

// points is how many virtual nodes an instance has on the ring.
const points = 100

func ring(n, draw int) func(int) int {
	type point struct {
		at uint64
		of int
	}
	var list []point
	for i := range n {
		for k := range points {
			list = append(list, point{xxhash.Sum64String(fmt.Sprint(draw, "i", i, "#", k)), i})
		}
	}
	slices.SortFunc(list, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return func(shard int) int {
		h := xxhash.Sum64String(fmt.Sprint(draw, "s", shard))
		k := sort.Search(len(list), func(k int) bool { return list[k].at >= h })
		return list[k%len(list)].of
	}
}

func modulo(n, draw int) func(int) int {
	return func(shard int) int { return int(xxhash.Sum64String(fmt.Sprint(draw, "s", shard)) % uint64(n)) }
}

func rendezvous(n, draw int) func(int) int {
	var v placement.View
	for i := range n {
		// Numbers as they are: drawn at random.
		seat := placement.Session{Member: xxhash.Sum64String(fmt.Sprint(draw, "i", i)), Epoch: uint64(i + 1)}
		v.Members = append(v.Members, placement.Member{Session: seat, Name: fmt.Sprint(i)})
	}
	t := placement.NewTable(v)
	return func(shard int) int {
		m, _ := t.Owner(shard)
		var i int
		_, _ = fmt.Sscan(m.Name, &i)
		return i
	}
}

// draws is over how many draws of the instances' numbers the ways are weighed.
const draws = 5

// weigh gives the most that any owns over the mean, of all draws, and how many shards move when one more
// joins, over 1/(n+1), of the draws' mean.
func weigh(way owning, n int) (most, moved float64) {
	for draw := range draws {
		counts := make([]int, n)
		before, after := way(n, draw), way(n+1, draw)
		changed := 0
		for s := range placement.ShardCount {
			a := before(s)
			counts[a]++
			if after(s) != a {
				changed++
			}
		}
		most = max(most, float64(slices.Max(counts))/float64(placement.ShardCount)*float64(n))
		moved += float64(changed) / placement.ShardCount * float64(n+1) / draws
	}
	return most, moved
}

// The way that is built beside a ring with virtual nodes and modulo, on the same shards and draws.
func TestPlacementBesideRingAndModulo(t *testing.T) {
	for _, n := range []int{3, 5, 15, 40, 100, 400} {
		ours, moved := weigh(rendezvous, n)
		onRing, ringMoved := weigh(ring, n)
		_, moduloMoved := weigh(modulo, n)
		t.Logf("%4d instances: most over mean %.2f, moved %.2f; a ring %.2f, %.2f; modulo moves %.1f", n,
			ours, moved, onRing, ringMoved, moduloMoved)
		if ours > 1.2 || ours > onRing {
			t.Errorf("%d instances: one has %.2f of its part, on a ring %.2f", n, ours, onRing)
		}
		if moved > 1.3 && n <= 40 || moved > moduloMoved {
			t.Errorf("%d instances: one more moves %.2f times its part, modulo %.2f", n, moved, moduloMoved)
		}
	}
}
