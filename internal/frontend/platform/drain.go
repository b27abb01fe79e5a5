package platform

import (
	"errors"
	"time"

	"moorstack/internal/proxy/drain"
)

var errNoHop = errors.New("no trip worker is known")

// Ready is nil while the front is for more clients, or says why it is not.
func (f *Front) Ready() error {
	switch {
	case f.drain.Ending():
		return drain.ErrEnding
	case f.drain.Handed():
		return drain.ErrHanded
	case f.drain.State() != drain.Serving:
		return errors.New(f.drain.State().String())
	case !f.core.Ready():
		return errNoHop
	}
	return nil
}

// Standby sends the clients away until Active.
func (f *Front) Standby() {
	if f.drain.Standby(f.loop.Now()) {
		f.log.Info("standing by: health says no, and clients are sent away")
		f.steer()
	}
}

// Active ends what Standby began. Nothing has to be undone: what is open stays open, and
// health says yes from here on.
func (f *Front) Active() error {
	changed, err := f.drain.Active()
	if changed {
		f.log.Info("serving again")
	}
	return err
}

// Drain begins the end: what comes is still taken for a while and all that was
// taken is finished; then done is called.
func (f *Front) Drain(done func()) {
	if !f.drain.End(f.loop.Now()) {
		return
	}
	f.ends = f.loop.Now()
	f.steer()
	f.loop.At(f.drain.At(), func() { f.finish(f.loop.Now()+half, done) })
}

// Ends is when the process was asked to end; 0: it was not.
func (f *Front) Ends() time.Duration { return f.ends }

// steer closes idle connections once the notice is over.
func (f *Front) steer() {
	f.loop.At(f.drain.At(), func() {
		if f.drain.Due(f.loop.Now()) {
			f.sweep()
		}
	})
}

// sweepEvery is how often connections are looked at while clients are sent away: some are
// opened meanwhile and left idle, some held a request that was not read.
const sweepEvery = 100 * time.Millisecond

func (f *Front) sweep() {
	if f.drain.State() != drain.Closing {
		return
	}
	for c := range f.clients {
		c.closeIfIdle()
	}
	f.loop.After(sweepEvery, f.sweep)
}

// half is how long the end waits for requests that have come in part, or not been read.
const half = time.Second

// finish waits for the last answers to be written. The listener stays open until
// then: next hops call back on it.
//
// Hazards: between two looks at a connection a request may have come on it; one may come on a connection
// that waits to be accepted, or was just opened; an answer is on its way on a connection that is being
// ended, and the end of the process would reset it.
func (f *Front) finish(until time.Duration, done func()) {
	f.listener.AcceptPending()
	now := f.loop.Now()
	busy := f.core.Waiting() > 0 || f.listener.Lingering() > 0
	for c := range f.clients {
		busy = busy || c.owed() || now < until && c.mayYetAsk(now)
	}
	if busy {
		f.loop.After(10*time.Millisecond, func() { f.finish(until, done) })
		return
	}
	f.listener.Close()
	done()
}

// owed says whether the connection still has to get an answer, or may have to: a request that has come whole
// and was not read is owed one, however long ago the end began.
func (c *client) owed() bool {
	return c.waits || c.relayed || c.conn.Unsent() > 0 || !c.hop && c.conn.Unread()
}

// mayYetAsk says whether a request is on its way: a part of it has come, or it would be the connection's
// first.
func (c *client) mayYetAsk(now time.Duration) bool {
	fresh := !c.used && now < c.opened+drain.Notice
	return !c.hop && (fresh || c.conn.Pending())
}
