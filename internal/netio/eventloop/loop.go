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

const (
	maxEventsPerPoll = 128 // how many events one epoll_wait may return
	maxPollsPerTurn  = 8   // how often more events are fetched before timers have their turn

	maxPollMillis = 60_000 // how long one epoll_wait may block
)

// eventSource is what epoll reports events of: a connection, a listener or the wake-up descriptor.
type eventSource interface{ handleEvents(events uint32) }

// Loop is the event loop. Make one with New.
type Loop struct {
	system        kernel.System
	epoll, wakeup int // descriptors
	sources       slotmap.Map[eventSource]
	listeners     []*Listener
	timers        timerHeap
	started       time.Time
	origin        time.Duration // the loop's clock at started
	stopped       bool
	events        [maxEventsPerPoll]unix.EpollEvent

	mu     sync.Mutex
	posted []func()
}

// New makes a loop on the Linux kernel. It fails if descriptors have run out.
func New() (*Loop, error) { return NewWithSystem(kernel.Linux{}) }

// NewWithSystem is New with another system in the kernel's place.
func NewWithSystem(system kernel.System) (*Loop, error) {
	now := time.Now()
	l := &Loop{system: system, started: now, origin: time.Duration(now.UnixNano())}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	if l.wakeup, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	_, err = l.register(l.wakeup, unix.EPOLLIN, wakeupSource{l})
	return l, err
}

// Now is the loop's clock. It began at the Unix time of New and goes on by the monotonic clock, so that it
// never goes back.
func (l *Loop) Now() time.Duration { return l.origin + time.Since(l.started) }

// Post runs f on the loop. It may be called from any goroutine, and does not wait.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// It can only fail when the counter is full, and then the loop wakes anyway.
	_, _ = unix.Write(l.wakeup, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// wakeupSource runs what was posted.
type wakeupSource struct{ loop *Loop }

func (w wakeupSource) handleEvents(uint32) {
	var count [8]byte
	_, _ = unix.Read(w.loop.wakeup, count[:])
	w.loop.mu.Lock()
	posted := w.loop.posted
	w.loop.posted = nil
	w.loop.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// Stop ends Run after the current callback.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events and timers until Stop. It fails if epoll does.
//
// Hazard: the process is held up, and a response or a request lies unread when a timer for it is due. So all
// that had come by the time at which timers are judged is read before they run.
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

// pollEvents waits so many milliseconds for events, and has their sources handle them, with all that are
// there already.
func (l *Loop) pollEvents(millis int) error {
	for range maxPollsPerTurn {
		n, err := l.system.EpollWait(l.epoll, l.events[:], millis)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll_wait: %w", err)
		}
		for i := range max(n, 0) {
			l.dispatch(&l.events[i])
		}
		if n < len(l.events) || l.stopped {
			return nil
		}
		millis = 0
	}
	return nil
}

// dispatch has the source of an event handle it.
func (l *Loop) dispatch(e *unix.EpollEvent) {
	// An earlier event of this batch may have closed the source of this one, and its slot may be in use
	// again: then the generation differs.
	if s, ok := l.sources.Get(slotmap.MakeID(uint32(e.Fd), uint32(e.Pad))); ok {
		s.handleEvents(e.Events)
	}
}

// pollTimeout is how long epoll_wait may block, in milliseconds, rounded up so as not to spin; -1: for ever.
func (l *Loop) pollTimeout() int {
	if len(l.timers) == 0 {
		return -1
	}
	rest := l.timers[0].deadline - l.Now()
	return int(min(max(rest+time.Millisecond-1, 0)/time.Millisecond, maxPollMillis))
}

func epollEvent(events uint32, id slotmap.ID) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(id.Index()), Pad: int32(id.Generation())}
}

// register has epoll report a descriptor's events to the source.
func (l *Loop) register(fd int, events uint32, s eventSource) (slotmap.ID, error) {
	id := l.sources.Add(s)
	if err := l.system.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, epollEvent(events, id)); err != nil {
		l.sources.Remove(id)
		return 0, fmt.Errorf("epoll_ctl: %w", err)
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
		return -1, nil, fmt.Errorf("address %q: not IPv4, the only family supported", address)
	}
	fd, err := l.system.Socket()
	if err != nil {
		return -1, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().Unmap().As4()}, nil
}
