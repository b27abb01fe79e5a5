package schedule

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// injectFault injects a random fault, in one of 60 steps on average.
func (s *simulation) injectFault() {
	if s.rng.IntN(60) != 0 {
		return
	}
	s.faults++
	n := s.instances[s.rng.IntN(len(s.instances))]
	until := s.now + time.Duration(5*(1<<s.rng.IntN(11)))*time.Millisecond
	switch s.rng.IntN(9) {
	case 0, 1:
		n.stalledUntil = until
	case 2:
		s.crash(n, until)
	case 3:
		n.partitionedUntil = until
	case 4:
		n.laggingUntil = until
	case 5:
		if n.departed = !n.departed && s.group(nil).Size > 3; n.departed {
			s.crash(n, s.now)
		}
	case 6:
		// Only the first instance's clock may be wrong, and only in a group of three or more.
		if n = s.instances[0]; s.group(nil).Size > 2 {
			n.clockSkew = []time.Duration{0, 5 * time.Minute, -time.Hour, time.Hour}[s.rng.IntN(4)]
		}
	case 7:
		if s.rng.IntN(4) == 0 {
			s.clockStep = []time.Duration{0, time.Hour, -time.Hour}[s.rng.IntN(3)]
			s.steppedForward = s.steppedForward || s.clockStep > 0
		}
		s.leader = NewLeader(s.leader.term + 1)
	case 8:
		s.policy = s.policyVariant(s.rng.IntN(policyVariants))
		s.appendEntry(logEntry{kind: policyEntry, policy: s.policy})
	}
}

// healAll ends all faults. Clocks that have stepped forward stay ahead.
func (s *simulation) healAll() {
	for _, n := range s.instances {
		n.departed, n.partitionedUntil, n.laggingUntil = false, 0, 0
		n.stalledUntil, n.downUntil = min(n.stalledUntil, s.now), min(n.downUntil, s.now)
		n.clockSkew = 0
	}
	s.clockStep = max(s.clockStep, 0)
}

// crash ends an instance's process, which loses everything except its replicated state.
func (s *simulation) crash(n *instance, until time.Duration) {
	n.downUntil, n.firings, n.sent = until, nil, nil
	n.leaseEnd, n.grantedEnd, n.clusterTime = 0, 0, 0
	zones := s.zones
	if n.hasOtherZones {
		zones = s.otherZones
	}
	n.scheduler = NewScheduler(zones)
	n.reportedAt = 0
	n.state.newFirings = nil
	for k := range s.jobs {
		if s.jobs[k].instance == n {
			s.jobs[k].processAlive = false
		}
	}
	if n.epoch != 0 {
		// The crash is not reported: the session ends when its lease expires or the instance returns.
		n.expiresAt = max(n.expiresAt, s.now)
		n.grantIndex = -1
	}
}

// tickLeader ends and opens sessions, grants leases, evaluates the Leader, and appends the commands that have
// arrived.
func (s *simulation) tickLeader() {
	members := s.updateSessions()
	for _, n := range s.instances {
		s.grantLease(n, members)
	}
	if c, ok := s.leader.Evaluate(s.now, s.replica.state, s.group(members)); ok {
		s.appendEntry(logEntry{kind: commandEntry, command: c})
	}
	for _, n := range s.instances {
		s.deliverCommands(n)
	}
}

// updateSessions ends the sessions whose leases have expired and opens sessions for instances that have none.
// It returns the members with open sessions.
func (s *simulation) updateSessions() (members []placement.Member) {
	for _, n := range s.instances {
		if n.epoch != 0 && s.now > n.expiresAt {
			ended := n.session()
			n.epoch = 0
			s.appendEntry(logEntry{kind: sessionsEntry, ended: []Session{ended}})
		}
		if n.up(s.now) && s.now >= n.partitionedUntil && (n.epoch == 0 || n.grantIndex < 0) {
			// The process is new, or its session has ended.
			ended := n.session()
			s.epoch++
			n.epoch, n.grantIndex, n.leaseEnd, n.grantedEnd = s.epoch, 0, 0, 0
			n.expiresAt = s.now + 2*simulationLease
			s.appendEntry(logEntry{kind: sessionsEntry, ended: []Session{ended}})
		}
		if n.epoch != 0 {
			members = append(members, n.member())
		}
	}
	return members
}

// grantLease processes an instance's report and renews its lease.
func (s *simulation) grantLease(n *instance, members []placement.Member) {
	if !n.up(s.now) || s.now < n.partitionedUntil {
		return
	}
	clock := s.trueTime() + int64(n.clockSkew) + int64(s.clockStep)
	s.leader.ObserveReading(s.now, n.id, ClockReading{WallClock: clock,
		PolicyVersion: n.scheduler.policy.Version, ZoneRulesVersion: n.scheduler.ZoneRulesVersion()})
	if n.epoch == 0 || s.now-n.reportedAt < simulationLease/4 {
		return
	}
	n.reportedAt = s.now
	requestedAt := s.now - time.Duration(s.rng.IntN(10))*time.Millisecond
	n.grantedEnd, n.grantIndex = requestedAt+simulationLease, len(s.log)
	n.expiresAt = s.now + simulationLease + simulationLease/2
	if t := s.leader.ClusterTime(s.now, s.replica.state, s.group(members)); t > n.clusterTime {
		n.clusterTime, n.clusterTimeAt = t, s.now
	}
}

// deliverCommands appends those of an instance's commands that have arrived. Some are lost or
// duplicated; their delays were drawn when they were sent.
func (s *simulation) deliverCommands(n *instance) {
	for k := range n.sent {
		x := &n.sent[k]
		if s.now < x.arriveAt || x.command.Kind == NoCommand {
			continue
		}
		if s.rng.IntN(10) != 0 && s.now >= n.partitionedUntil {
			s.appendEntry(logEntry{kind: commandEntry, command: x.command})
		}
		if s.rng.IntN(10) != 0 {
			x.command.Kind = NoCommand
		}
	}
	if len(n.sent) > 200 {
		n.sent = nil
	}
}

// group returns the group as the Leader needs it, with the given members.
func (s *simulation) group(members []placement.Member) Group {
	g := Group{Members: members, LeaseDuration: simulationLease}
	for _, n := range s.instances {
		if !n.departed {
			g.Size++
		}
	}
	return g
}
