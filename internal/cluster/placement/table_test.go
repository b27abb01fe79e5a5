package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func view(members ...uint64) View {
	v := View{Number: 1}
	for _, m := range members {
		v.Members = append(v.Members, Member{Session: Session{m, m}, Name: fmt.Sprint("n", m)})
	}
	return v
}

func some(n int) []uint64 {
	var list []uint64
	for i := range n {
		list = append(list, uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return list
}

// No instance owns more than its part and a little, and one that joins or leaves moves little more than
// what must move.
func TestEvenAndStill(t *testing.T) {
	for _, n := range []int{3, 5, 15, 40, 100, 400} {
		ids := some(n + 1)
		before, after := NewTable(view(ids[:n]...)), NewTable(view(ids...))
		count, moved := map[uint64]int{}, 0
		for s := range ShardCount {
			a, _ := before.Owner(s)
			b, _ := after.Owner(s)
			count[a.Member]++
			if a.Member != b.Member {
				moved++
			}
		}
		most := 0
		for _, c := range count {
			most = max(most, c)
		}
		mean := float64(ShardCount) / float64(n)
		if float64(most) > mean*(1+slack)+1 {
			t.Errorf("%d instances: one owns %d of %d shards, the mean is %.1f", n, most, ShardCount, mean)
		}
		t.Logf("%d instances: most over mean %.3f; one more moves %.2f / N of the shards", n,
			float64(most)/mean, float64(moved)/ShardCount*float64(n+1))
		if float64(moved) > 2*float64(ShardCount)/float64(n+1) {
			t.Errorf("%d instances: one more moves %d shards of %d", n, moved, ShardCount)
		}
	}
}

// The order in which members are named, and their sessions, change nothing.
func TestOwnerIsAFunctionOfTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Uint64Min(1), 1, 12, rapid.ID[uint64]).Draw(t, "ids")
		a := view(ids...)
		b := View{Number: 9}
		for _, i := range rapid.Permutation(a.Members).Draw(t, "order") {
			i.Epoch += 7
			b.Members = append(b.Members, i)
		}
		ta, tb := NewTable(a), NewTable(b)
		for s := range ShardCount {
			x, _ := ta.Owner(s)
			y, _ := tb.Owner(s)
			if x.Member != y.Member {
				t.Fatalf("shard %d: %d and %d", s, x.Member, y.Member)
			}
		}
	})
}

// Weights are kept to.
func TestWeights(t *testing.T) {
	v := view(some(4)...)
	v.Members[2].Weight = 3
	table, n := NewTable(v), 0
	for s := range ShardCount {
		if m, _ := table.Owner(s); m.Member == v.Members[2].Member {
			n++
		}
	}
	if part := float64(n) / ShardCount; part < 0.45 || part > 0.53 {
		t.Errorf("half of all is due to it, and it owns %.2f", part)
	}
}

// The number of a view grows whatever becomes of sessions: they are opened under growing epochs, and end.
func TestNumbersGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch, open, last := uint64(0), 0, uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch {
			case open > 0 && rapid.Bool().Draw(t, "ends"):
				open -= rapid.IntRange(1, open).Draw(t, "many")
			case open > 0 && rapid.Bool().Draw(t, "anew"):
				epoch++ // one instance starts anew: its old session is no more
			default:
				epoch++
				open++
			}
			if n := ViewNumber(epoch, open); n <= last {
				t.Fatalf("%d after %d", n, last)
			} else {
				last = n
			}
		}
	})
}

// A lease that was granted by a leader which knew more than this instance does counts for nothing yet.
func TestRight(t *testing.T) {
	var r LeaseClock
	const lease = time.Second
	r.ObserveGrant(4, 100, lease, 50, 49)
	if r.ExpiresAt(4, lease) != 0 {
		t.Error("it may act by a state that is older than the leader's was")
	}
	if r.ObserveApplied(50); r.ExpiresAt(4, lease) != 100+lease {
		t.Errorf("its right ends at %v", r.ExpiresAt(4, lease))
	}
	if r.ExpiresAt(5, lease) != 0 {
		t.Error("a lease counts for another session")
	}
	if r.ExpiresAt(4, lease/2) != 100+lease/2 {
		t.Error("the configuration's shorter lease is not kept to")
	}
	r.ObserveGrant(4, 200, lease, 60, 55)
	if r.ExpiresAt(4, lease) != 100+lease {
		t.Error("a renewal that does not count yet took the place of one that does")
	}
}
