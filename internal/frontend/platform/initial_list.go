package platform

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
)

// unconfirmedTimeout is how long a node without an answer of discovery waits before it serves by the list in
// its configuration. A restarted node has to be ready within 10 s.
const unconfirmedTimeout = 8 * time.Second

// initialList is the endpoint list of the configuration. It is passed to the broker once discovery has
// answered what has changed since, or after unconfirmedTimeout without an answer.
//
// Hazard: the configuration may be much older than the process. A node that is restarted after an outage
// would send requests to workers that have been drained or removed in the meantime, and counts as notified
// of that, whether it has polled or not.
type initialList struct {
	front   *Front
	pending bool // it has not been passed to the broker
	timer   *eventloop.Timer
}

// begin starts the broker without workers and waits for discovery.
func (l *initialList) begin() {
	l.pending = true
	l.front.broker.UpdateEndpoints(balancer.ListCached, nil)
	if len(l.front.cfg.InitialList.Workers) == 0 {
		return
	}
	l.timer = l.front.loop.After(unconfirmedTimeout, func() {
		l.front.log.WithField("duration", unconfirmedTimeout).
			Warn("no answer from discovery, serving by the configured endpoint list")
		l.release()
	})
}

// release passes the list to the broker, once. What discovery has answered follows at once.
func (l *initialList) release() {
	if !l.pending {
		return
	}
	l.pending = false
	l.timer.Stop()
	l.front.updateEndpoints(balancer.ListCached, &l.front.cfg.InitialList)
}

// unconfirmedWorkers is the list while it waits for discovery.
//
// Hazard: a process that takes this one's place polls for what has changed since, and needs all of it.
func (l *initialList) unconfirmedWorkers() []workerEntry {
	if !l.pending {
		return []workerEntry{}
	}
	return slices.Clone(l.front.cfg.InitialList.Workers)
}

// confirm records discovery's response that nothing has changed since the configured list.
func (l *initialList) confirm() {
	if l.pending {
		l.release()
		l.front.broker.UpdateEndpoints(balancer.ListDelta, nil)
	}
}
