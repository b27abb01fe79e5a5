// Package slots keeps things in numbered slots that are used again.
//
// Each use of a slot has a generation of its own, and an ID holds both. An ID
// that outlived what it named finds nothing, never what has taken the slot since.
package slotmap

// ID names one use of one slot. The zero ID names nothing.
type ID uint64

// Index is the slot's number, and Generation counts its uses.
func (id ID) Index() uint32      { return uint32(id) }
func (id ID) Generation() uint32 { return uint32(id >> 32) }

// MakeID puts an ID together again.
func MakeID(index, generation uint32) ID { return ID(generation)<<32 | ID(index) }

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// Map holds values in slots. The zero Map is empty and ready for use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
}

// Add puts a value into a free slot.
func (t *Map[T]) Add(v T) ID {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[i]
	s.generation++ // from 1, so that no ID is zero
	s.used, s.value = true, v
	return MakeID(i, s.generation)
}

// Get gives the value that the ID names, if it is still there.
func (t *Map[T]) Get(id ID) (v T, ok bool) {
	if i := id.Index(); int(i) < len(t.slots) {
		if s := &t.slots[i]; s.used && s.generation == id.Generation() {
			return s.value, true
		}
	}
	return v, false
}

// Remove frees the slot, if the ID still names its value.
func (t *Map[T]) Remove(id ID) {
	if _, ok := t.Get(id); !ok {
		return
	}
	s := &t.slots[id.Index()]
	var none T
	s.used, s.value = false, none
	t.free = append(t.free, id.Index())
}

// Len is the number of slots in use.
func (t *Map[T]) Len() int { return len(t.slots) - len(t.free) }

// All gives the values, in the order of their slots.
func (t *Map[T]) All(yield func(ID, T) bool) {
	for i := 0; i < len(t.slots); i++ {
		if s := t.slots[i]; s.used && !yield(MakeID(uint32(i), s.generation), s.value) {
			return
		}
	}
}
