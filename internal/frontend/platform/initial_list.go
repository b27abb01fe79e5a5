package platform

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
)

// unconfirmedTimeout is how long a node without a word from discovery waits before it serves by the
// list in its configuration. A restarted node has to be ready within 10 s.
const unconfirmedTimeout = 8 * time.Second

// initialList is the list of workers that the configuration came with. It is given to the core once
// discovery has said what has changed since, or has said nothing for unconfirmedFor.
//
// Hazard: the configuration may be much older than the process. A node that is restarted after an
// outage would send requests to workers that have been drained or removed in the meantime, and
// counts as notified of that, whether it has asked or not.
type initialList struct {
	front   *Front
	pending bool
	timer   *eventloop.Timer
}

// begin starts the core without workers and waits for discovery.
func (s *initialList) begin() {
	s.pending = true
	s.front.broker.UpdateEndpoints(balancer.ListCached, nil)
	if len(s.front.cfg.InitialList.Workers) == 0 {
		return
	}
	s.timer = s.front.loop.After(unconfirmedTimeout, func() {
		s.front.log.Warn("discovery has said nothing since the start: serving by the configured list")
		s.release()
	})
}

// release gives the list to the core, once. What discovery has told comes right after it.
func (s *initialList) release() {
	if !s.pending {
		return
	}
	s.pending = false
	s.timer.Stop()
	s.front.updateEndpoints(balancer.ListCached, &s.front.cfg.InitialList)
}

// unconfirmedWorkers is the configured list while it waits for discovery.
//
// Hazard: a process that takes this one's place asks for what has changed since, and needs all of it.
func (s *initialList) unconfirmedWorkers() []workerEntry {
	if !s.pending {
		return []workerEntry{}
	}
	return slices.Clone(s.front.cfg.InitialList.Workers)
}

// confirm takes discovery's word that nothing has changed since the configured list.
func (s *initialList) confirm() {
	if s.pending {
		s.release()
		s.front.broker.UpdateEndpoints(balancer.ListDelta, nil)
	}
}
