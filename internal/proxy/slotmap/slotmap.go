// Package slotmap keeps values in numbered slots that are reused, under IDs that are not.
//
// Each use of a slot has a generation of its own, and an ID holds both numbers. An ID that has outlived its
// value finds nothing, never the value that uses the slot now. A Map is used by one goroutine at a time.
package slotmap

// ID names one use of one slot. The zero ID names nothing.
type ID uint64

// Index is the slot's number.
func (id ID) Index() uint32 { return uint32(id) }

// Generation counts the uses of the slot, from 1.
func (id ID) Generation() uint32 { return uint32(id >> 32) }

// MakeID makes the ID of a slot's number and generation.
func MakeID(index, generation uint32) ID { return ID(generation)<<32 | ID(index) }

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// Map holds values by ID. The zero Map is empty and ready for use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32 // the numbers of slots that are not in use
}

// Add puts a value into a free slot, and gives its ID.
func (m *Map[T]) Add(v T) ID {
	var i uint32
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		i = uint32(len(m.slots))
		m.slots = append(m.slots, slot[T]{})
	}
	s := &m.slots[i]
	s.generation++ // from 1, so that no ID is zero
	s.used, s.value = true, v
	return MakeID(i, s.generation)
}

// Get gives the value of an ID, and false if it has been removed.
func (m *Map[T]) Get(id ID) (v T, ok bool) {
	if i := id.Index(); int(i) < len(m.slots) {
		if s := &m.slots[i]; s.used && s.generation == id.Generation() {
			return s.value, true
		}
	}
	return v, false
}

// Remove frees the slot of an ID. It does nothing if the value has been removed already.
func (m *Map[T]) Remove(id ID) {
	if _, ok := m.Get(id); !ok {
		return
	}
	s := &m.slots[id.Index()]
	var zero T
	s.used, s.value = false, zero
	m.free = append(m.free, id.Index())
}

// Len is the number of values.
func (m *Map[T]) Len() int { return len(m.slots) - len(m.free) }

// All yields the IDs and values, in the order of their slots. Values may be added and removed meanwhile.
func (m *Map[T]) All(yield func(ID, T) bool) {
	for i := 0; i < len(m.slots); i++ {
		if s := m.slots[i]; s.used && !yield(MakeID(uint32(i), s.generation), s.value) {
			return
		}
	}
}
