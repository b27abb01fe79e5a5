package emulate

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"moorstack/internal/proxy/broker"
)

// Clock is virtual time: a queue of events, in order of time and then of their scheduling. The zero Clock
// begins at 0 and is ready for use, by one goroutine.
type Clock struct {
	now      time.Duration
	queue    []*event // a heap with four children a node: fewer levels, and they share cache lines
	sequence uint64   // of the last event scheduled
	free     []*event
	count    uint64 // of the events that have run
}

// event is a pending call, or a free one to be used again.
type event struct {
	at         time.Duration
	sequence   uint64
	run        func()
	index      int    // in the queue; below 0: it has run or was stopped
	generation uint32 // grows each time that it is used again
}

// eventTimer stops an event, and nothing that has used it again since. The zero eventTimer stops nothing.
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

// EventCount is how many events have run.
func (c *Clock) EventCount() uint64 { return c.count }

// At implements broker.Clock: f runs at the time, or next if that is past.
func (c *Clock) At(at time.Duration, f func()) broker.Timer { return c.schedule(at, f) }

// After runs f after d.
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
	c.up(e.index)
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

func (c *Clock) up(i int) {
	for i > 0 && c.less(i, (i-1)/4) {
		c.swap(i, (i-1)/4)
		i = (i - 1) / 4
	}
}

func (c *Clock) down(i int) {
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

// remove takes an event out, to be used again.
func (c *Clock) remove(e *event) {
	i, last := e.index, len(c.queue)-1
	c.swap(i, last)
	c.queue[last] = nil
	c.queue = c.queue[:last]
	if i < last {
		c.down(i)
		c.up(i)
	}
	e.index, e.run = -1, nil
	c.free = append(c.free, e)
}

// Run runs the events that are due up to a time, and leaves the clock there.
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

// RandomStreams are random sources, one a concern: to draw more from one shifts no other.
type RandomStreams struct{ Seed uint64 }

// Source gives the source of a concern, and of one thing among many where there are many.
func (s RandomStreams) Source(concern string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(concern))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()+uint64(n)*0x9e3779b97f4a7c15))
}
