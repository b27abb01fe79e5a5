// Package slotmap stores values in numbered slots. Slots are reused, but IDs are not.
//
// Each use of a slot has its own generation, and an ID consists of the slot's number and the generation.
// After its value has been removed, an ID finds nothing, even if another value uses the slot. A Map is not
// safe for concurrent use.
package slotmap

// ID identifies one use of one slot. The zero ID is never assigned.
type ID uint64

// Index returns the slot's number.
func (id ID) Index() uint32 { return uint32(id) }

// Generation returns the number of the slot's use, from 1.
func (id ID) Generation() uint32 { return uint32(id >> 32) }

// MakeID returns the ID for a slot's number and generation.
func MakeID(index, generation uint32) ID { return ID(generation)<<32 | ID(index) }

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// Map maps IDs to values. The zero Map is empty and ready for use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32 // numbers of the unused slots
}

// Add stores a value in a free slot and returns its ID.
func (m *Map[T]) Add(v T) ID {
	var i uint32
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		i = uint32(len(m.slots))
		m.slots = append(m.slots, slot[T]{})
	}
	s := &m.slots[i]
	s.generation++ // starts at 1, so that no ID is zero
	s.used, s.value = true, v
	return MakeID(i, s.generation)
}

// Get returns the value with the given ID. ok is false if there is none or it has been removed.
func (m *Map[T]) Get(id ID) (v T, ok bool) {
	if i := id.Index(); int(i) < len(m.slots) {
		if s := &m.slots[i]; s.used && s.generation == id.Generation() {
			return s.value, true
		}
	}
	return v, false
}

// Remove removes the value with the given ID and frees its slot. It has no effect if the ID finds no value.
func (m *Map[T]) Remove(id ID) {
	if _, ok := m.Get(id); !ok {
		return
	}
	s := &m.slots[id.Index()]
	var zero T
	s.used, s.value = false, zero
	m.free = append(m.free, id.Index())
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return len(m.slots) - len(m.free) }

// All yields the IDs and values in the order of their slots. Values may be added and removed during the
// iteration.
func (m *Map[T]) All(yield func(ID, T) bool) {
	for i := 0; i < len(m.slots); i++ {
		if s := m.slots[i]; s.used && !yield(MakeID(uint32(i), s.generation), s.value) {
			return
		}
	}
}
