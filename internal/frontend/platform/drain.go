package platform

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/drain"
)

const (
	// closeIdleInterval is how often idle connections are closed while the node drains. One pass is not
	// enough: new connections may stay idle, and others were kept because of an unread request.
	closeIdleInterval = 100 * time.Millisecond

	// partialRequestGrace is how long the shutdown waits for the rest of partial requests, and for the first
	// request of connections just opened.
	partialRequestGrace = time.Second

	// drainCheckInterval is how often the shutdown checks whether all responses have been written.
	drainCheckInterval = 10 * time.Millisecond
)

var errNoWorker = errors.New("no trip worker is known")

// Ready returns nil while the front accepts new clients, otherwise an error with the reason. Operators see
// the error's text.
func (f *Front) Ready() error {
	switch {
	case f.drain.ShuttingDown():
		return drain.ErrShuttingDown
	case f.drain.TakenOver():
		return drain.ErrTakenOver
	case f.drain.State() != drain.Serving:
		return errors.New(f.drain.State().String())
	case !f.broker.HasEndpoints():
		return errNoWorker
	}
	return nil
}

// BeginStandby starts to drain the clients, until EndStandby: health checks fail, and after a while idle
// connections are closed.
func (f *Front) BeginStandby() {
	if f.drain.BeginStandby(f.loop.Now()) {
		f.log.Info("standby begun, draining clients")
		f.scheduleClosing()
	}
}

// EndStandby ends the drain that BeginStandby started. Connections that are still open stay open, and health
// checks succeed again. It fails with drain.ErrShuttingDown or drain.ErrTakenOver.
func (f *Front) EndStandby() error {
	changed, err := f.drain.EndStandby()
	if changed {
		f.log.Info("standby ended")
	}
	return err
}

// BeginShutdown begins a graceful shutdown: requests are still accepted for a while, and after that if they
// can be finished before the process may be killed. All accepted requests are completed, and then done is
// called. Only the first call has an effect.
func (f *Front) BeginShutdown(done func()) {
	if !f.drain.BeginShutdown(f.loop.Now(), drain.TerminationGrace(f.longestTimeout())) {
		return
	}
	f.shutdownAt = f.loop.Now()
	f.scheduleClosing()
	f.loop.At(f.drain.ClosingAt(), func() { f.awaitDrained(f.loop.Now()+partialRequestGrace, done) })
}

// longestTimeout returns the longest timeout of a class.
func (f *Front) longestTimeout() time.Duration {
	longest := time.Duration(0)
	for i := range f.cfg.Settings.Classes {
		longest = max(longest, time.Duration(f.cfg.Settings.Classes[i].Timeout))
	}
	return longest
}

// limitToShutdown limits the timeout of a request that arrives late in a shutdown, so that it has its final
// response before the process may be killed.
func (f *Front) limitToShutdown(r *broker.Request, arrivedAt time.Duration) {
	due, limited := f.drain.ResponseDue(arrivedAt)
	remaining := due - f.loop.Now()
	if !limited || r.Timeout <= remaining {
		return
	}
	r.Timeout, r.MustFinish = remaining, true
	f.log.WithFields(logrus.Fields{"request_id": r.ID, "remaining": remaining}).
		Info("request arrived late in the shutdown, its timeout is shortened")
}

// ShutdownRequestedAt returns when the graceful shutdown was requested; 0: not requested.
func (f *Front) ShutdownRequestedAt() time.Duration { return f.shutdownAt }

// scheduleClosing closes idle connections once health checks have failed for long enough.
func (f *Front) scheduleClosing() {
	f.loop.At(f.drain.ClosingAt(), func() {
		if f.drain.Advance(f.loop.Now()) {
			f.closeIdleClients()
		}
	})
}

// closeIdleClients closes the idle connections, and repeats that at every closeIdleInterval while the node
// drains.
func (f *Front) closeIdleClients() {
	if f.drain.State() != drain.ClosingConnections {
		return
	}
	for c := range f.clients {
		c.closeIfIdle()
	}
	f.loop.After(closeIdleInterval, f.closeIdleClients)
}

// awaitDrained closes the listener and all connections, and calls done, once the last responses have been
// sent. The listener stays open until then, since workers call back on it. The process may go on for longer
// than the front, and a request that it accepted then might not be finished before its end.
//
// It waits not only for pending requests. Unread input may be a request that came after the connection was
// last handled, and a request may still come on a connection that is not accepted yet or was just opened. A
// connection that is being closed may still carry a response, which would be lost in the reset at the end of
// the process.
func (f *Front) awaitDrained(partialUntil time.Duration, done func()) {
	f.listener.AcceptPending()
	now := f.loop.Now()
	busy := f.broker.PendingCount() > 0 || f.listener.LingeringCount() > 0
	for c := range f.clients {
		busy = busy || c.needsResponse() || now < partialUntil && c.expectsRequest(now)
	}
	if busy {
		f.loop.After(drainCheckInterval, func() { f.awaitDrained(partialUntil, done) })
		return
	}
	f.listener.Close()
	for c := range f.clients {
		c.conn.CloseAfterFlush()
		c.unregister()
	}
	done()
}

// DrainPending returns what a graceful shutdown of the front still waits for.
func (f *Front) DrainPending() drain.Pending {
	return drain.Pending{Jobs: f.broker.PendingCount(), Connections: len(f.clients)}
}
