package slotmap

import (
	"slices"
	"testing"
)

// The slot of a removed value is used again, and the old ID never finds the new value.
func TestOldIDNeverFindsTheNewValue(t *testing.T) {
	var m Map[string]
	a := m.Add("a")
	m.Remove(a)
	m.Remove(a)
	b := m.Add("b")
	if a.Index() != b.Index() || a == b || a == 0 {
		t.Fatalf("the IDs are %x and %x, want two generations of one slot", a, b)
	}
	if v, ok := m.Get(a); ok {
		t.Errorf("the old ID finds %q", v)
	}
	m.Remove(a)
	if v, ok := m.Get(b); !ok || v != "b" || m.Len() != 1 {
		t.Errorf("the new ID finds %q, %v; %d values", v, ok, m.Len())
	}
	for _, id := range []ID{0, MakeID(7, 1)} {
		if _, ok := m.Get(id); ok {
			t.Errorf("ID %x, which was never given, finds a value", id)
		}
	}
	if MakeID(b.Index(), b.Generation()) != b {
		t.Errorf("ID %x is not put together from its parts", b)
	}
}

// Values that are added while all are visited are visited, too, and those that are removed are not.
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
		t.Errorf("visited %v", got)
	}
	for range m.All {
		break
	}
}
