package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// injectFault injects a random fault of random duration into a random instance.
func (s *simulation) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	kind := s.rng.IntN(8)
	if s.onlyViewChanges {
		kind, duration = []int{3, 3, 6}[s.rng.IntN(3)], duration/3
	}
	switch kind {
	case 0:
		s.stall(n, duration)
	case 1:
		s.kill(n, duration/3)
	case 2:
		s.partition(n, duration)
	case 3, 5:
		s.setAside(n, duration)
	case 4:
		s.delayLog(n, duration)
	case 6:
		s.changeWeight(n)
	case 7:
		s.blockOutbound(n, duration)
	}
}

// expireLater removes an instance from the view when its lease has certainly expired, unless the instance has
// become reachable or renewed the lease by then.
func (s *simulation) expireLater(n *simNode) {
	session, wait := n.session, rollout.ExpiryWait(s.lease)
	s.after(wait, func() {
		inView := slices.ContainsFunc(s.view.Members,
			func(m placement.Member) bool { return m.Session == session })
		unreachable := n.partitioned || n.outboundBlocked || !n.alive || n.stalledUntil > s.now
		if inView && unreachable && s.now-n.renewedAt >= wait {
			s.closeSession(n, session)
		}
	})
}

func (s *simulation) stall(n *simNode, duration time.Duration) {
	if n.alive {
		n.stalledUntil = max(n.stalledUntil, s.now+duration)
		s.expireLater(n)
		s.after(duration, func() { s.reopenSession(n) })
	}
}

// kill ends a process and starts it again, possibly before its lease expires.
func (s *simulation) kill(n *simNode, duration time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	s.expireLater(n)
	s.after(duration, func() {
		if !n.alive {
			n.partitioned = false
			n.start()
			s.openSession(n)
		}
	})
}

func (s *simulation) partition(n *simNode, duration time.Duration) {
	if !n.alive || n.partitioned {
		return
	}
	n.partitioned = true
	s.expireLater(n)
	s.after(duration, func() {
		n.partitioned = false
		s.reopenSession(n)
	})
}

// setAside closes a session whose lease is still valid.
func (s *simulation) setAside(n *simNode, duration time.Duration) {
	if n.alive && !n.partitioned && len(s.view.Members) > 1 {
		s.closeSession(n)
		s.after(duration, func() { s.reopenSession(n) })
	}
}

// delayLog stops an instance from applying log entries, so that its lease expires while it is still connected
// to the others.
func (s *simulation) delayLog(n *simNode, duration time.Duration) {
	n.logDelayedUntil = max(n.logDelayedUntil, s.now+duration)
	if s.rng.IntN(2) == 0 {
		s.setAside(n, duration)
	}
}

func (s *simulation) changeWeight(n *simNode) {
	members := slices.Clone(s.view.Members)
	for i := range members {
		if members[i].Member == n.id {
			members[i].Weight = 0.5 + 2*s.rng.Float64()
		}
	}
	s.setView(members)
}

// blockOutbound holds back the messages that an instance sends, while it still receives those of others. When
// the fault ends, all held messages arrive at once.
func (s *simulation) blockOutbound(n *simNode, duration time.Duration) {
	if !n.alive || n.partitioned || n.outboundBlocked {
		return
	}
	n.outboundBlocked = true
	s.expireLater(n)
	s.after(duration, func() {
		n.outboundBlocked = false
		for _, deliver := range n.blockedMessages {
			deliver()
		}
		n.blockedMessages = nil
		s.reopenSession(n)
	})
}

// reopenSession gives an instance a new session if it is connected but not in the newest view.
func (s *simulation) reopenSession(n *simNode) {
	if !n.alive || n.partitioned || s.inView(n) {
		return
	}
	s.epoch++
	n.session, n.leaseUntil = placement.Session{Member: n.id, Epoch: s.epoch}, 0
	s.openSession(n)
}
