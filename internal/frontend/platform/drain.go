package platform

import (
	"errors"
	"time"

	"moorstack/internal/proxy/drain"
)

const (
	// closeIdleInterval is how often idle connections are closed while the node drains: some are opened
	// meanwhile and left idle, some held a request that was not read.
	closeIdleInterval = 100 * time.Millisecond

	// partialRequestGrace is how long the shutdown waits for requests that have come in part, or not been
	// read.
	partialRequestGrace = time.Second

	// drainedInterval is how often the shutdown checks whether all responses have been written.
	drainedInterval = 10 * time.Millisecond
)

var errNoWorker = errors.New("no trip worker is known")

// Ready is nil while the front may get more clients. Otherwise the error is the reason; operators see its
// text.
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

// BeginStandby drains the clients until EndStandby: health checks fail, then idle connections are closed.
func (f *Front) BeginStandby() {
	if f.drain.BeginStandby(f.loop.Now()) {
		f.log.Info("standby begun, draining clients")
		f.scheduleClosing()
	}
}

// EndStandby ends what BeginStandby began. Nothing has to be undone: open connections stay open, and health
// checks succeed from here on. It fails with drain.ErrShuttingDown or drain.ErrTakenOver.
func (f *Front) EndStandby() error {
	changed, err := f.drain.EndStandby()
	if changed {
		f.log.Info("standby ended")
	}
	return err
}

// BeginShutdown begins a graceful shutdown: requests are still accepted for a while and all that were
// accepted are finished; then done is called. Only the first call has an effect.
func (f *Front) BeginShutdown(done func()) {
	if !f.drain.BeginShutdown(f.loop.Now()) {
		return
	}
	f.shutdownAt = f.loop.Now()
	f.scheduleClosing()
	f.loop.At(f.drain.ClosingAt(), func() { f.awaitDrained(f.loop.Now()+partialRequestGrace, done) })
}

// ShutdownRequestedAt returns when the process was requested to end; 0: it was not.
func (f *Front) ShutdownRequestedAt() time.Duration { return f.shutdownAt }

// scheduleClosing closes idle connections once health checks have failed for long enough.
func (f *Front) scheduleClosing() {
	f.loop.At(f.drain.ClosingAt(), func() {
		if f.drain.Advance(f.loop.Now()) {
			f.closeIdleClients()
		}
	})
}

// closeIdleClients closes the connections that are idle now, and again at each interval while the node
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

// awaitDrained calls done once the last responses are written. The listener stays open until then: workers
// call back on it.
//
// Hazards: between two checks of a connection a request may have come on it; one may come on a connection
// that waits to be accepted, or was just opened; a response is on its way on a connection that is being
// closed, and the end of the process would reset it.
func (f *Front) awaitDrained(partialUntil time.Duration, done func()) {
	f.listener.AcceptPending()
	now := f.loop.Now()
	busy := f.broker.PendingCount() > 0 || f.listener.LingeringCount() > 0
	for c := range f.clients {
		busy = busy || c.owedResponse() || now < partialUntil && c.mayStillRequest(now)
	}
	if busy {
		f.loop.After(drainedInterval, func() { f.awaitDrained(partialUntil, done) })
		return
	}
	f.listener.Close()
	done()
}
