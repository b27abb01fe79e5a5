package emulate

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"moorstack/internal/proxy/broker"
)

// Clock is virtual time: a queue of what is due, in order of time and then of asking. The
// zero Clock begins at 0 and is ready for use.
type Clock struct {
	now   time.Duration
	queue []*event // a heap with four children a node: fewer levels, and they share lines
	seq   uint64
	free  []*event
	count uint64
}

type event struct {
	at         time.Duration
	seq        uint64
	run        func()
	index      int // in the queue; below 0: it has run or was stopped
	generation uint32
}

// eventTimer stops an event, and nothing else that has taken its place since.
type eventTimer struct {
	clock      *Clock
	event      *event
	generation uint32
}

// Stop implements core.Timer.
func (h eventTimer) Stop() {
	if h.event != nil && h.event.generation == h.generation && h.event.index >= 0 {
		h.clock.remove(h.event)
	}
}

// Now implements core.Clock.
func (c *Clock) Now() time.Duration { return c.now }

// EventCount is how many have run.
func (c *Clock) EventCount() uint64 { return c.count }

// At implements core.Clock: f runs at the time, or next if that is past.
func (c *Clock) At(at time.Duration, f func()) broker.Timer { return c.schedule(at, f) }

// After runs f after d.
func (c *Clock) After(d time.Duration, f func()) broker.Timer { return c.schedule(c.now+d, f) }

func (c *Clock) schedule(at time.Duration, f func()) eventTimer {
	var d *event
	if n := len(c.free); n > 0 {
		d, c.free = c.free[n-1], c.free[:n-1]
	} else {
		d = &event{}
	}
	c.seq++
	d.at, d.seq, d.run, d.index = max(at, c.now), c.seq, f, len(c.queue)
	d.generation++
	c.queue = append(c.queue, d)
	c.up(d.index)
	return eventTimer{c, d, d.generation}
}

func (c *Clock) less(i, j int) bool {
	a, b := c.queue[i], c.queue[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
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

func (c *Clock) remove(d *event) {
	i, last := d.index, len(c.queue)-1
	c.swap(i, last)
	c.queue[last] = nil
	c.queue = c.queue[:last]
	if i < last {
		c.down(i)
		c.up(i)
	}
	d.index, d.run = -1, nil
	c.free = append(c.free, d)
}

// Run runs what is due up to a time, and leaves the clock there.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		d := c.queue[0]
		c.now = d.at
		f := d.run
		c.remove(d)
		c.count++
		f()
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
