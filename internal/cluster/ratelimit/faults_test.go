package ratelimit

import (
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// injectFault draws a fault of an instance, which ends after a time.
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
		s.cutOff(n, duration)
	case 3, 5:
		s.setAside(n, duration)
	case 4:
		s.delayLog(n, duration)
	case 6:
		s.changeWeight(n)
	case 7:
		s.mute(n, duration)
	}
}

// expireLater removes an instance from the view when its lease has surely expired, unless it renews that.
func (s *simulation) expireLater(n *simNode) {
	session, wait := n.session, rollout.ExpiryWait(s.lease)
	s.after(wait, func() {
		inView := slices.ContainsFunc(s.view.Members,
			func(m placement.Member) bool { return m.Session == session })
		unreachable := n.cut || n.muted || !n.alive || n.stalledUntil > s.now
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

// kill ends a process, and starts it again, perhaps sooner than its lease ends.
func (s *simulation) kill(n *simNode, duration time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	s.expireLater(n)
	s.after(duration, func() {
		if !n.alive {
			n.cut = false
			n.start()
			s.openSession(n)
		}
	})
}

func (s *simulation) cutOff(n *simNode, duration time.Duration) {
	if !n.alive || n.cut {
		return
	}
	n.cut = true
	s.expireLater(n)
	s.after(duration, func() {
		n.cut = false
		s.reopenSession(n)
	})
}

// setAside closes a session whose lease is still valid.
func (s *simulation) setAside(n *simNode, duration time.Duration) {
	if n.alive && !n.cut && len(s.view.Members) > 1 {
		s.closeSession(n)
		s.after(duration, func() { s.reopenSession(n) })
	}
}

// delayLog has an instance's log lag, and so its lease end, while it is connected with the others.
func (s *simulation) delayLog(n *simNode, duration time.Duration) {
	n.lagsUntil = max(n.lagsUntil, s.now+duration)
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

// mute has an instance receive messages, while its own are held back until all of them arrive at once.
func (s *simulation) mute(n *simNode, duration time.Duration) {
	if !n.alive || n.cut || n.muted {
		return
	}
	n.muted = true
	s.expireLater(n)
	s.after(duration, func() {
		n.muted = false
		for _, deliver := range n.heldBack {
			deliver()
		}
		n.heldBack = nil
		s.reopenSession(n)
	})
}

// reopenSession gives an instance that is connected and in no view a new session.
func (s *simulation) reopenSession(n *simNode) {
	if !n.alive || n.cut || s.inView(n) {
		return
	}
	s.epoch++
	n.session, n.leaseUntil = placement.Session{Member: n.id, Epoch: s.epoch}, 0
	s.openSession(n)
}
