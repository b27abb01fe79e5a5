package emulate

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"moorstack/internal/proxy/broker"
)

// Clock is a virtual clock: a queue of events ordered by time, then by the order of scheduling. The zero
// Clock starts at time 0 and is ready to use. It is not safe for concurrent use.
type Clock struct {
	now      time.Duration
	queue    []*event // 4-ary heap: fewer levels than a binary one, and siblings share cache lines
	sequence uint64   // number of the last event scheduled
	free     []*event
	count    uint64 // number of events that have run
}

// event is a pending call, or an entry of the free list.
type event struct {
	at         time.Duration
	sequence   uint64
	run        func()
	index      int    // in the queue; -1 after it has run or was stopped
	generation uint32 // incremented on each reuse
}

// eventTimer stops one use of an event: it does nothing once the event has been reused. The zero eventTimer
// stops nothing.
type eventTimer struct {
	clock      *Clock
	event      *event
	generation uint32
}

// Stop implements broker.Timer.
func (t eventTimer) Stop() {
	if t.event != nil && t.event.generation == t.generation && t.event.index >= 0 {
		t.clock.remove(t.event)
	}
}

// Now implements broker.Clock.
func (c *Clock) Now() time.Duration { return c.now }

// EventCount returns the number of events that have run.
func (c *Clock) EventCount() uint64 { return c.count }

// At implements broker.Clock. A time in the past is treated as the current time.
func (c *Clock) At(at time.Duration, f func()) broker.Timer { return c.schedule(at, f) }

// After schedules f to run after d.
func (c *Clock) After(d time.Duration, f func()) broker.Timer { return c.schedule(c.now+d, f) }

func (c *Clock) schedule(at time.Duration, f func()) eventTimer {
	var e *event
	if n := len(c.free); n > 0 {
		e, c.free = c.free[n-1], c.free[:n-1]
	} else {
		e = &event{}
	}
	c.sequence++
	e.at, e.sequence, e.run, e.index = max(at, c.now), c.sequence, f, len(c.queue)
	e.generation++
	c.queue = append(c.queue, e)
	c.siftUp(e.index)
	return eventTimer{c, e, e.generation}
}

func (c *Clock) less(i, j int) bool {
	a, b := c.queue[i], c.queue[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (c *Clock) swap(i, j int) {
	c.queue[i], c.queue[j] = c.queue[j], c.queue[i]
	c.queue[i].index, c.queue[j].index = i, j
}

func (c *Clock) siftUp(i int) {
	for i > 0 && c.less(i, (i-1)/4) {
		c.swap(i, (i-1)/4)
		i = (i - 1) / 4
	}
}

func (c *Clock) siftDown(i int) {
	for {
		least := i
		for k := 4*i + 1; k <= 4*i+4 && k < len(c.queue); k++ {
			if c.less(k, least) {
				least = k
			}
		}
		if least == i {
			return
		}
		c.swap(i, least)
		i = least
	}
}

// remove takes an event out of the queue and adds it to the free list.
func (c *Clock) remove(e *event) {
	i, last := e.index, len(c.queue)-1
	c.swap(i, last)
	c.queue[last] = nil
	c.queue = c.queue[:last]
	if i < last {
		c.siftDown(i)
		c.siftUp(i)
	}
	e.index, e.run = -1, nil
	c.free = append(c.free, e)
}

// Run executes the events due up to and including the given time, and leaves the clock at that time.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := c.queue[0]
		c.now = e.at
		run := e.run
		c.remove(e)
		c.count++
		run()
	}
	c.now = max(c.now, until)
}

// RandomStreams derives independent random sources from one seed, one for each concern, so additional draws
// from one do not change the others.
type RandomStreams struct{ Seed uint64 }

// Source returns the source of the n-th instance of a concern. The same seed, concern and n give the same
// source.
func (s RandomStreams) Source(concern string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(concern))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()+uint64(n)*0x9e3779b97f4a7c15))
}
