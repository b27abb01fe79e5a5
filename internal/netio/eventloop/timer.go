package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a callback that the loop runs at a deadline.
type Timer struct {
	loop      *Loop
	deadline  time.Duration // on the loop's clock
	heapIndex int           // -1 once it has run or was stopped
	callback  func()
}

// At schedules f to run on the loop at the given time of its clock. f never runs before At returns.
func (l *Loop) At(deadline time.Duration, f func()) *Timer {
	t := &Timer{loop: l, deadline: deadline, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// After schedules f to run on the loop after d. f never runs before After returns.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop cancels the timer. It does nothing if the timer is nil or has run.
func (t *Timer) Stop() {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&t.loop.timers, t.heapIndex)
	}
}

// timerDue reports whether a timer is due at the given time.
func (l *Loop) timerDue(now time.Duration) bool {
	return len(l.timers) > 0 && l.timers[0].deadline <= now
}

// timerHeap is a min-heap of timers: the earliest deadline is at index 0.
type timerHeap []*Timer

var _ heap.Interface = (*timerHeap)(nil)

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}
