// Package net is the project's network code: one epoll loop that owns every
// socket and every deadline of the program, connections with one buffer each,
// and an HTTP/1.1 parser that takes its input in any pieces.
//
// Everything runs on the goroutine that calls Loop.Run, but for Loop.Post.
package eventloop

import (
	"container/heap"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/netio/kernel"
	"moorstack/internal/proxy/slotmap"
)

// Timer is a deadline that hangs in the loop's heap.
type Timer struct {
	loop      *Loop
	deadline  time.Duration
	heapIndex int // in the heap; -1 when it has run or was stopped
	callback  func()
}

type timerHeap []*Timer

func (d timerHeap) Len() int           { return len(d) }
func (d timerHeap) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d timerHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}
func (d *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.heapIndex = len(*d)
	*d = append(*d, t)
}
func (d *timerHeap) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.heapIndex = -1
	return t
}

// eventSource is what epoll reports on: a connection, a listener or the wake-up.
type eventSource interface{ handleEvents(events uint32) }

// Loop is the event loop.
type Loop struct {
	system        kernel.System
	epoll, wakeup int
	sources       slotmap.Map[eventSource]
	timers        timerHeap
	started       time.Time
	origin        time.Duration
	stopped       bool
	listeners     []*Listener
	events        [maxEventsPerPoll]unix.EpollEvent

	mu     sync.Mutex
	posted []func()
}

// New makes a loop. Its clock counts from the Unix epoch, for start times are
// given so, and goes on by the monotonic clock, so that it never goes back.
func New() (*Loop, error) { return NewWithSystem(kernel.Linux{}) }

// NewWithSystem is New with another system in the kernel's place.
func NewWithSystem(system kernel.System) (*Loop, error) {
	now := time.Now()
	l := &Loop{system: system, started: now, origin: time.Duration(now.UnixNano())}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wakeup, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	_, err = l.register(l.wakeup, unix.EPOLLIN, wakeupSource{l})
	return l, err
}

// Now is the loop's clock.
func (l *Loop) Now() time.Duration { return l.origin + time.Since(l.started) }

// At runs f at the given time, never before At has returned.
func (l *Loop) At(at time.Duration, f func()) *Timer {
	t := &Timer{loop: l, deadline: at, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// After runs f after d.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop takes the timer out. One that has run, or is nil, is left alone.
func (t *Timer) Stop() {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&t.loop.timers, t.heapIndex)
	}
}

// Post runs f on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// It can only fail when the counter is full, and then the loop wakes anyway.
	_, _ = unix.Write(l.wakeup, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

type wakeupSource struct{ l *Loop }

func (w wakeupSource) handleEvents(uint32) {
	var count [8]byte
	_, _ = unix.Read(w.l.wakeup, count[:])
	w.l.mu.Lock()
	fs := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range fs {
		f()
	}
}

// Stop ends Run.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
//
// Hazard: the process is held up, and an answer or a request lies unread when a deadline for it has passed.
// So whatever had come by the time at which deadlines are judged is taken before them.
func (l *Loop) Run() error {
	for !l.stopped {
		if err := l.pollEvents(l.pollTimeout()); err != nil {
			return err
		}
		now := l.Now()
		if !l.timerDue(now) {
			continue
		}
		if err := l.pollEvents(0); err != nil {
			return err
		}
		for l.timerDue(now) && !l.stopped {
			heap.Pop(&l.timers).(*Timer).callback()
		}
	}
	return nil
}

// timerDue reports whether the first deadline has come by the given time.
func (l *Loop) timerDue(now time.Duration) bool {
	return len(l.timers) > 0 && l.timers[0].deadline <= now
}

const (
	maxEventsPerPoll = 128 // events that are asked for at a time
	maxPollsPerTurn  = 8   // how often more are asked for before deadlines have their turn
)

// pollEvents waits so many milliseconds for events, and has their sources take them, with all that wait
// already.
func (l *Loop) pollEvents(wait int) error {
	for range maxPollsPerTurn {
		n, err := l.system.EpollWait(l.epoll, l.events[:], wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll: %w", err)
		}
		for i := range max(n, 0) {
			l.dispatch(&l.events[i])
		}
		if n < len(l.events) || l.stopped {
			return nil
		}
		wait = 0
	}
	return nil
}

// dispatch has the source of an event take it.
func (l *Loop) dispatch(e *unix.EpollEvent) {
	// An earlier event of this batch may have closed what this one is about, and its slot may be in use
	// again: then the generation misses.
	if s, ok := l.sources.Get(slotmap.MakeID(uint32(e.Fd), uint32(e.Pad))); ok {
		s.handleEvents(e.Events)
	}
}

// pollTimeout is how long epoll may sleep, in milliseconds, rounded up so as not to spin.
func (l *Loop) pollTimeout() int {
	if len(l.timers) == 0 {
		return -1
	}
	left := l.timers[0].deadline - l.Now()
	return int(min(max(left+time.Millisecond-1, 0)/time.Millisecond, 60_000))
}

func epollEvent(events uint32, id slotmap.ID) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(id.Index()), Pad: int32(id.Generation())}
}

func (l *Loop) register(fd int, events uint32, s eventSource) (slotmap.ID, error) {
	id := l.sources.Add(s)
	if err := l.system.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, epollEvent(events, id)); err != nil {
		l.sources.Remove(id)
		return 0, fmt.Errorf("epoll: %w", err)
	}
	return id, nil
}

// newSocket makes a socket for the address, to be bound or connected.
func (l *Loop) newSocket(address string) (int, unix.Sockaddr, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return -1, nil, fmt.Errorf("address %q: %w", address, err)
	}
	if !ap.Addr().Unmap().Is4() {
		return -1, nil, fmt.Errorf("address %q: only IPv4 is spoken", address)
	}
	fd, err := l.system.Socket()
	if err != nil {
		return -1, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().Unmap().As4()}, nil
}
