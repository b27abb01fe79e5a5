package platform

import (
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/netio/eventloop"
)

// unconfirmedFor is how long a node without a word from discovery waits before it serves by the
// list in its configuration. A restarted node has to be ready within 10 s.
const unconfirmedFor = 8 * time.Second

// startList is the list of workers that the configuration came with. It is given to the core once
// discovery has said what has changed since, or has said nothing for unconfirmedFor.
//
// Hazard: the configuration may be much older than the process. A node that is restarted after an
// outage would send requests to workers that have been drained or removed in the meantime, and
// counts as notified of that, whether it has asked or not.
type startList struct {
	front   *Front
	pending bool
	timer   *eventloop.Timer
}

// begin starts the core without workers and waits for discovery.
func (s *startList) begin() {
	s.pending = true
	s.front.core.RouteSet(balancer.Cached, nil)
	if len(s.front.cfg.Known.Instances) == 0 {
		return
	}
	s.timer = s.front.loop.After(unconfirmedFor, func() {
		s.front.log.Warn("discovery has said nothing since the start: serving by the configured list")
		s.release()
	})
}

// release gives the list to the core, once. What discovery has told comes right after it.
func (s *startList) release() {
	if !s.pending {
		return
	}
	s.pending = false
	s.timer.Stop()
	s.front.tell(balancer.Cached, &s.front.cfg.Known)
}

// unconfirmed is the configured list while it waits for discovery.
//
// Hazard: a process that takes this one's place asks for what has changed since, and needs all of it.
func (s *startList) unconfirmed() []line {
	if !s.pending {
		return []line{}
	}
	return slices.Clone(s.front.cfg.Known.Instances)
}

// confirm takes discovery's word that nothing has changed since the configured list.
func (s *startList) confirm() {
	if s.pending {
		s.release()
		s.front.core.RouteSet(balancer.Changes, nil)
	}
}
