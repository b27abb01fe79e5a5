package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards. All instances of a group must use the same number.
const ShardCount = 4096

// maxOverload is the fraction by which the shards of an instance may exceed its even share.
const maxOverload = 0.08

// Table maps each shard to its owner in one view. It is immutable.
type Table struct {
	View   View
	owners [ShardCount]int // index into View.Members, by shard
}

// NewTable computes the owners of all shards in a view. It computes ShardCount hashes for each member.
func NewTable(v View) *Table {
	t := &Table{View: v}
	if len(v.Members) == 0 {
		return t
	}
	capacity := shardCapacities(v.Members)
	for shard := range ShardCount {
		best, bestScore := -1, 0.0
		for i := range v.Members {
			if capacity[i] == 0 {
				continue
			}
			if score := v.Members[i].score(uint64(shard)); best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		capacity[best]--
		t.owners[shard] = best
	}
	return t
}

// shardCapacities returns the maximum number of shards that each member may own.
func shardCapacities(members []Member) []int {
	total := 0.0
	for i := range members {
		total += members[i].weight()
	}
	capacity := make([]int, len(members))
	for i := range members {
		capacity[i] = int(math.Ceil(ShardCount * members[i].weight() / total * (1 + maxOverload)))
	}
	return capacity
}

// score is the member's weighted rendezvous hash for a shard. It depends on the member and not on its
// session: an instance that restarts owns the same shards as before.
func (m *Member) score(shard uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], m.Member)
	binary.BigEndian.PutUint64(b[8:], shard)
	// A number above 0 and below 1, from 53 bits of the hash.
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -m.weight() / math.Log(u)
}

// ShardOf returns the shard of a key, from 0 to ShardCount-1.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// OwnedFractions returns the fraction of all shards that each member owns, by member number.
func (t *Table) OwnedFractions() map[uint64]float64 {
	fractions := map[uint64]float64{}
	for shard := range ShardCount {
		if m, ok := t.Owner(shard); ok {
			fractions[m.Member] += 1.0 / ShardCount
		}
	}
	return fractions
}

// MovedFraction returns the fraction of all shards that have different owners in the two tables.
func (t *Table) MovedFraction(other *Table) (fraction float64) {
	for shard := range ShardCount {
		from, _ := t.Owner(shard)
		if to, _ := other.Owner(shard); from.Member != to.Member {
			fraction += 1.0 / ShardCount
		}
	}
	return fraction
}

// Owner returns the owner of a shard. It returns false if the view has no members, or if t is nil.
func (t *Table) Owner(shard int) (Member, bool) {
	if t == nil || len(t.View.Members) == 0 {
		return Member{}, false
	}
	return t.View.Members[t.owners[shard]], true
}
