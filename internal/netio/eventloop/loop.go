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
	"moorstack/internal/slotmap"
)

const (
	maxEventsPerPoll = 128 // events that one epoll_wait may return
	maxPollsPerTurn  = 8   // consecutive epoll_wait calls before timers run

	maxPollMillis = 60_000 // longest time that one epoll_wait may block
)

// eventSource handles the events of one descriptor: a connection, a listener or the wake-up descriptor.
type eventSource interface{ handleEvents(events uint32) }

// Loop is an event loop on epoll. Create one with New.
type Loop struct {
	system        kernel.System
	epoll, wakeup int // file descriptors
	sources       slotmap.Map[eventSource]
	listeners     []*Listener
	timers        timerHeap
	started       time.Time
	origin        time.Duration // value of the loop's clock at started
	stopped       bool
	events        [maxEventsPerPoll]unix.EpollEvent

	mu     sync.Mutex
	posted []func()
}

// New returns a loop on the Linux kernel. It fails if the process has no free file descriptors.
func New() (*Loop, error) { return NewWithSystem(kernel.Linux{}) }

// NewWithSystem is like New, but makes its system calls through the given system.
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

// Now returns the loop's clock: the Unix time at which the loop was created plus the monotonic time since
// then, so that it never goes backwards.
func (l *Loop) Now() time.Duration { return l.origin + time.Since(l.started) }

// Post schedules f to run on the loop and returns immediately. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	// The write fails only if the eventfd counter is full, and then the loop wakes up anyway.
	_, _ = unix.Write(l.wakeup, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// wakeupSource runs the functions passed to Post.
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

// Stop makes Run return after the current callback.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events and timers until Stop is called. It returns an error if epoll_wait fails.
//
// After the process was stalled, a request or response may be unread while its timeout is already due. So
// before timers run, Run polls once more and reads all input that had arrived when they became due.
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

// pollEvents waits up to the given number of milliseconds for events and dispatches them. If a poll returns
// a full batch, it polls again without waiting, at most maxPollsPerTurn times in all.
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

// dispatch passes an event to its source.
func (l *Loop) dispatch(e *unix.EpollEvent) {
	// An earlier event of this batch may have closed this event's source, and its slot may have been
	// reused. The generation differs then.
	if s, ok := l.sources.Get(slotmap.MakeID(uint32(e.Fd), uint32(e.Pad))); ok {
		s.handleEvents(e.Events)
	}
}

// pollTimeout returns how long epoll_wait may block, in milliseconds; -1 means without a limit. It rounds up,
// because rounding down would make the loop spin until the timer is due.
func (l *Loop) pollTimeout() int {
	if len(l.timers) == 0 {
		return -1
	}
	remaining := l.timers[0].deadline - l.Now()
	return int(min(max(remaining+time.Millisecond-1, 0)/time.Millisecond, maxPollMillis))
}

func epollEvent(events uint32, id slotmap.ID) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(id.Index()), Pad: int32(id.Generation())}
}

// register adds a descriptor to the epoll set; its events go to the source.
func (l *Loop) register(fd int, events uint32, s eventSource) (slotmap.ID, error) {
	id := l.sources.Add(s)
	if err := l.system.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, epollEvent(events, id)); err != nil {
		l.sources.Remove(id)
		return 0, fmt.Errorf("epoll_ctl: %w", err)
	}
	return id, nil
}

// newSocket creates a socket for the address. The caller binds or connects it.
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
