package platform

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
)

// unconfirmedTimeout is how long a node waits for discovery before it serves by the list in its
// configuration. A restarted node has to be ready within 10 s.
const unconfirmedTimeout = 8 * time.Second

// initialList is the endpoint list from the configuration. It is passed to the broker once discovery has sent
// the changes since then, or after unconfirmedTimeout without a response.
//
// The configuration may be much older than the process. If its list were used at once, a node restarted after
// an outage would send requests to workers that have been drained or removed meanwhile. The node counts as
// notified of such changes whether it has polled or not.
type initialList struct {
	front   *Front
	pending bool // the list has not been passed to the broker yet
	timer   *eventloop.Timer
}

// begin starts the broker with an empty list and waits for discovery.
func (l *initialList) begin() {
	l.pending = true
	l.front.broker.UpdateEndpoints(balancer.ListCached, nil)
	if len(l.front.cfg.InitialList.Workers) == 0 {
		return
	}
	l.timer = l.front.loop.After(unconfirmedTimeout, func() {
		l.front.log.WithField("duration", unconfirmedTimeout).
			Warn("no answer from discovery, serving by the configured endpoint list")
		l.apply()
	})
}

// apply passes the list to the broker, on the first call only. The caller then applies discovery's update,
// if it has one.
func (l *initialList) apply() {
	if !l.pending {
		return
	}
	l.pending = false
	l.timer.Stop()
	l.front.updateEndpoints(balancer.ListCached, &l.front.cfg.InitialList)
}

// unconfirmedWorkers returns the list while it waits for discovery, otherwise an empty list. A process that
// replaces this one requests only the changes since this list, and so needs all of it.
func (l *initialList) unconfirmedWorkers() []workerEntry {
	if !l.pending {
		return []workerEntry{}
	}
	return slices.Clone(l.front.cfg.InitialList.Workers)
}

// confirm applies the list when discovery reports that nothing has changed since.
func (l *initialList) confirm() {
	if l.pending {
		l.apply()
		l.front.broker.UpdateEndpoints(balancer.ListDelta, nil)
	}
}
