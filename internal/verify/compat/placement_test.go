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

// ownership returns the index of the instance that owns a shard.
type ownership func(shard int) int

// placer assigns shards to n instances, whose IDs depend on draw. With the same draw, n+1 instances are the
// same n instances and one that has joined.
type placer func(n, draw int) ownership

// virtualNodes is the number of points of each instance on the hash ring.
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

// tablePlacer assigns shards by the table of package placement.
func tablePlacer(n, draw int) ownership {
	var v placement.View
	for i := range n {
		// Real member IDs are random numbers, so these are hashes.
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

// placementDraws is the number of draws of instance IDs that measurePlacer evaluates.
const placementDraws = 5

// measurePlacer returns the largest number of shards that an instance owns in any draw, relative to the mean,
// and the mean fraction of the shards that move when one more instance joins, relative to 1/(n+1).
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

// Compares package placement with a hash ring with virtual nodes and with hashing modulo n, on the same
// shards and draws: it must balance at least as well as the ring and move no more shards than modulo.
func TestPlacementBesideRingAndModulo(t *testing.T) {
	for _, n := range []int{3, 5, 15, 40, 100, 400} {
		tableMax, tableMoved := measurePlacer(tablePlacer, n)
		ringMax, ringMoved := measurePlacer(ringPlacer, n)
		_, moduloMoved := measurePlacer(moduloPlacer, n)
		t.Logf("%4d instances: maximum over mean %.2f, moved %.2f; ring %.2f, %.2f; modulo moves %.1f", n,
			tableMax, tableMoved, ringMax, ringMoved, moduloMoved)
		if tableMax > 1.2 || tableMax > ringMax {
			t.Errorf("%d instances: one owns %.2f times the mean, on a ring %.2f", n, tableMax, ringMax)
		}
		if tableMoved > 1.3 && n <= 40 || tableMoved > moduloMoved {
			t.Errorf("%d instances: one more moves %.2f times its share, modulo %.2f", n, tableMoved,
				moduloMoved)
		}
	}
}
