package slotmap

import (
	"slices"
	"testing"
)

// A slot is reused after its value has been removed. The old ID must not find the new value.
func TestOldIDNeverFindsTheNewValue(t *testing.T) {
	var m Map[string]
	a := m.Add("a")
	m.Remove(a)
	m.Remove(a)
	b := m.Add("b")
	if a.Index() != b.Index() || a == b || a == 0 {
		t.Fatalf("got IDs %x and %x, want two generations of the same slot", a, b)
	}
	if v, ok := m.Get(a); ok {
		t.Errorf("the old ID finds %q", v)
	}
	m.Remove(a)
	if v, ok := m.Get(b); !ok || v != "b" || m.Len() != 1 {
		t.Errorf("the new ID finds %q (%v) and Len is %d, want \"b\" and 1", v, ok, m.Len())
	}
	for _, id := range []ID{0, MakeID(7, 1)} {
		if _, ok := m.Get(id); ok {
			t.Errorf("ID %x, which was never assigned, finds a value", id)
		}
	}
	if MakeID(b.Index(), b.Generation()) != b {
		t.Errorf("MakeID of the parts of ID %x returns another ID", b)
	}
}

// Values that are added during an iteration are visited, and values that are removed before their turn are
// not.
func TestAllWhileTheMapChanges(t *testing.T) {
	var m Map[int]
	m.Add(0)
	second := m.Add(1)
	var got []int
	for _, v := range m.All {
		if got = append(got, v); v == 0 {
			m.Remove(second)
			m.Add(2) // into the slot of 1
			m.Add(3)
		}
	}
	if !slices.Equal(got, []int{0, 2, 3}) {
		t.Errorf("visited %v, want [0 2 3]", got)
	}
	for range m.All {
		break
	}
}
