package platform

import (
	"errors"
	"time"

	"moorstack/internal/proxy/drain"
)

var errNoWorker = errors.New("no trip worker is known")

// Ready is nil while the front is for more clients, or says why it is not.
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

// BeginStandby sends the clients away until Active.
func (f *Front) BeginStandby() {
	if f.drain.BeginStandby(f.loop.Now()) {
		f.log.Info("standing by: health says no, and clients are sent away")
		f.scheduleClosing()
	}
}

// EndStandby ends what Standby began. Nothing has to be undone: what is open stays open, and
// health says yes from here on.
func (f *Front) EndStandby() error {
	changed, err := f.drain.EndStandby()
	if changed {
		f.log.Info("serving again")
	}
	return err
}

// BeginShutdown begins the end: what comes is still taken for a while and all that was
// taken is finished; then done is called.
func (f *Front) BeginShutdown(done func()) {
	if !f.drain.BeginShutdown(f.loop.Now()) {
		return
	}
	f.shutdownAt = f.loop.Now()
	f.scheduleClosing()
	f.loop.At(f.drain.ClosingAt(), func() { f.awaitDrained(f.loop.Now()+partialRequestGrace, done) })
}

// ShutdownRequestedAt is when the process was asked to end; 0: it was not.
func (f *Front) ShutdownRequestedAt() time.Duration { return f.shutdownAt }

// scheduleClosing closes idle connections once the notice is over.
func (f *Front) scheduleClosing() {
	f.loop.At(f.drain.ClosingAt(), func() {
		if f.drain.Advance(f.loop.Now()) {
			f.closeIdleClients()
		}
	})
}

// closeIdleInterval is how often connections are looked at while clients are sent away: some are
// opened meanwhile and left idle, some held a request that was not read.
const closeIdleInterval = 100 * time.Millisecond

func (f *Front) closeIdleClients() {
	if f.drain.State() != drain.ClosingConnections {
		return
	}
	for c := range f.clients {
		c.closeIfIdle()
	}
	f.loop.After(closeIdleInterval, f.closeIdleClients)
}

// partialRequestGrace is how long the end waits for requests that have come in part, or not been read.
const partialRequestGrace = time.Second

// awaitDrained waits for the last answers to be written. The listener stays open until
// then: next hops call back on it.
//
// Hazards: between two looks at a connection a request may have come on it; one may come on a connection
// that waits to be accepted, or was just opened; an answer is on its way on a connection that is being
// ended, and the end of the process would reset it.
func (f *Front) awaitDrained(until time.Duration, done func()) {
	f.listener.AcceptPending()
	now := f.loop.Now()
	busy := f.broker.PendingCount() > 0 || f.listener.LingeringCount() > 0
	for c := range f.clients {
		busy = busy || c.owedResponse() || now < until && c.mayStillRequest(now)
	}
	if busy {
		f.loop.After(10*time.Millisecond, func() { f.awaitDrained(until, done) })
		return
	}
	f.listener.Close()
	done()
}

// owedResponse says whether the connection still has to get an answer, or may have to: a request that has
// come whole and was not read is owed one, however long ago the end began.
func (c *client) owedResponse() bool {
	return c.awaitsResponse || c.callBackForwarded || c.conn.UnsentBytes() > 0 ||
		!c.isWorker && c.conn.HasUnreadInput()
}

// mayStillRequest says whether a request is on its way: a part of it has come, or it would be the
// connection's first.
func (c *client) mayStillRequest(now time.Duration) bool {
	fresh := !c.sentMessage && now < c.openedAt+drain.HealthCheckGrace
	return !c.isWorker && (fresh || c.conn.HasPendingInput())
}
