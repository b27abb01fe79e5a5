package expect

import (
	"container/heap"
	"time"

	"moorstack/internal/proxy/broker"
)

// virtualClock implements broker.Clock in virtual time: it runs callbacks in the order of their times and
// never sleeps.
type virtualClock struct {
	now   time.Duration
	queue timerQueue
	seq   int // sequence number of the newest timer
}

type timer struct {
	at       time.Duration
	seq      int
	callback func()
	stopped  bool
}

// Stop implements broker.Timer.
func (t *timer) Stop() { t.stopped = true }

// timerQueue is a heap (container/heap) ordered by time, then by sequence number.
type timerQueue []*timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(*timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Now implements broker.Clock.
func (c *virtualClock) Now() time.Duration { return c.now }

// At implements broker.Clock.
func (c *virtualClock) At(at time.Duration, callback func()) broker.Timer {
	c.seq++
	t := &timer{at: max(at, c.now), seq: c.seq, callback: callback}
	heap.Push(&c.queue, t)
	return t
}

// runUntil runs the timers that are due up to end, or until stop returns true.
func (c *virtualClock) runUntil(end time.Duration, stop func() bool) {
	for len(c.queue) > 0 && c.queue[0].at <= end && !stop() {
		t := heap.Pop(&c.queue).(*timer)
		if t.stopped {
			continue
		}
		c.now = t.at
		t.callback()
	}
	if !stop() {
		c.now = max(c.now, end)
	}
}
