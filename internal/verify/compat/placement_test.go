package compat

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/placement"
)

// ownership returns which of n instances owns a shard.
type ownership func(shard int) int

// placer assigns shards to n instances; in another draw their IDs are others. The last instance is the one
// that joins.
type placer func(n, draw int) ownership

// virtualNodes is how many points an instance has on the ring.
const virtualNodes = 100

func ringPlacer(n, draw int) ownership {
	type point struct {
		hash     uint64
		instance int
	}
	var ring []point
	for i := range n {
		for k := range virtualNodes {
			ring = append(ring, point{xxhash.Sum64String(fmt.Sprint(draw, "i", i, "#", k)), i})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return func(shard int) int {
		h := xxhash.Sum64String(fmt.Sprint(draw, "s", shard))
		k := sort.Search(len(ring), func(k int) bool { return ring[k].hash >= h })
		return ring[k%len(ring)].instance
	}
}

func moduloPlacer(n, draw int) ownership {
	return func(shard int) int {
		return int(xxhash.Sum64String(fmt.Sprint(draw, "s", shard)) % uint64(n))
	}
}

// tablePlacer is package placement's.
func tablePlacer(n, draw int) ownership {
	var v placement.View
	for i := range n {
		// Member numbers are drawn at random.
		session := placement.Session{Member: xxhash.Sum64String(fmt.Sprint(draw, "i", i)),
			Epoch: uint64(i + 1)}
		v.Members = append(v.Members, placement.Member{Session: session, Name: strconv.Itoa(i)})
	}
	table := placement.NewTable(v)
	return func(shard int) int {
		m, _ := table.Owner(shard)
		i, err := strconv.Atoi(m.Name)
		if err != nil {
			panic(err)
		}
		return i
	}
}

// placementDraws is how many draws a placer is measured on.
const placementDraws = 5

// measurePlacer returns the most shards that an instance owns, over the mean, in all draws; and how many
// shards move when one more instance joins, over 1/(n+1), in the mean of the draws.
func measurePlacer(p placer, n int) (maxOverMean, moved float64) {
	for draw := range placementDraws {
		counts := make([]int, n)
		before, after := p(n, draw), p(n+1, draw)
		changed := 0
		for shard := range placement.ShardCount {
			owner := before(shard)
			counts[owner]++
			if after(shard) != owner {
				changed++
			}
		}
		maxOverMean = max(maxOverMean, float64(slices.Max(counts))/float64(placement.ShardCount)*float64(n))
		moved += float64(changed) / placement.ShardCount * float64(n+1) / placementDraws
	}
	return maxOverMean, moved
}

// Package placement beside a ring with virtual nodes and modulo, on the same shards and draws.
func TestPlacementBesideRingAndModulo(t *testing.T) {
	for _, n := range []int{3, 5, 15, 40, 100, 400} {
		ours, moved := measurePlacer(tablePlacer, n)
		onRing, ringMoved := measurePlacer(ringPlacer, n)
		_, moduloMoved := measurePlacer(moduloPlacer, n)
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
