package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// viewOf returns a view with the given member numbers. Each number is also the epoch of the member's session.
func viewOf(members ...uint64) View {
	v := View{Number: 1}
	for _, m := range members {
		v.Members = append(v.Members, Member{Session: Session{m, m}, Name: fmt.Sprint("n", m)})
	}
	return v
}

// memberNumbers returns n numbers that are spread over all 64 bits.
func memberNumbers(n int) []uint64 {
	var numbers []uint64
	for i := range n {
		numbers = append(numbers, uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return numbers
}

// No instance owns more than its even share plus the allowed overload, and an instance that joins or leaves
// moves few shards beyond those that must move.
func TestShardsAreEvenAndMoveLittle(t *testing.T) {
	for _, n := range []int{3, 5, 15, 40, 100, 400} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			numbers := memberNumbers(n + 1)
			before, after := NewTable(viewOf(numbers[:n]...)), NewTable(viewOf(numbers...))
			owned, moved := map[uint64]int{}, 0
			for shard := range ShardCount {
				a, _ := before.Owner(shard)
				b, _ := after.Owner(shard)
				owned[a.Member]++
				if a.Member != b.Member {
					moved++
				}
			}
			most := 0
			for _, count := range owned {
				most = max(most, count)
			}
			mean := float64(ShardCount) / float64(n)
			if float64(most) > mean*(1+maxOverload)+1 {
				t.Errorf("one instance owns %d of %d shards, the mean is %.1f", most, ShardCount, mean)
			}
			t.Logf("most over mean %.3f; one more instance moves %.2f / N of the shards",
				float64(most)/mean, float64(moved)/ShardCount*float64(n+1))
			if float64(moved) > 2*float64(ShardCount)/float64(n+1) {
				t.Errorf("one more instance moves %d shards of %d", moved, ShardCount)
			}
		})
	}
}

// Owners do not depend on the order of the members or on their sessions.
func TestOwnerDependsOnTheSetOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfNDistinct(rapid.Uint64Min(1), 1, 12, rapid.ID[uint64]).Draw(t, "numbers")
		a := viewOf(numbers...)
		b := View{Number: 9}
		for _, m := range rapid.Permutation(a.Members).Draw(t, "order") {
			m.Epoch += 7
			b.Members = append(b.Members, m)
		}
		tableA, tableB := NewTable(a), NewTable(b)
		for shard := range ShardCount {
			x, _ := tableA.Owner(shard)
			y, _ := tableB.Owner(shard)
			if x.Member != y.Member {
				t.Fatalf("shard %d is owned by member %d, and by %d with another order and other sessions",
					shard, x.Member, y.Member)
			}
		}
	})
}

func TestOwnedFractionFollowsWeight(t *testing.T) {
	v := viewOf(memberNumbers(4)...)
	v.Members[2].Weight = 3
	table, owned := NewTable(v), 0
	for shard := range ShardCount {
		if m, _ := table.Owner(shard); m.Member == v.Members[2].Member {
			owned++
		}
	}
	if fraction := float64(owned) / ShardCount; fraction < 0.45 || fraction > 0.53 {
		t.Errorf("a member with half of the total weight owns a fraction of %.2f, want 0.45 to 0.53",
			fraction)
	}
}

// The number of a view grows with every change: sessions open with growing epochs, replace earlier ones, and
// close.
func TestViewNumberGrowsWithEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch, open, last := uint64(0), 0, uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			switch {
			case open > 0 && rapid.Bool().Draw(t, "closes"):
				open -= rapid.IntRange(1, open).Draw(t, "how many")
			case open > 0 && rapid.Bool().Draw(t, "restarts"):
				epoch++ // a new session replaces the instance's old one
			default:
				epoch++
				open++
			}
			n := ViewNumber(epoch, open)
			if n <= last {
				t.Fatalf("view number %d follows %d, want a higher one", n, last)
			}
			last = n
		}
	})
}
