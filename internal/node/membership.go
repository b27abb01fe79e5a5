package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/membership"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

const (
	// groupRefreshInterval is how often the detector's member list is updated from the group's.
	groupRefreshInterval = time.Second
	// minDetectorPause is the minimum time between two ticks of the detector.
	minDetectorPause = time.Millisecond
)

// membershipDriver drives package membership, the failure detector. The detector is confined to the node's
// loop; the member states that it has published may be read by any goroutine. No lease depends on them.
type membershipDriver struct {
	env       *environment
	log       logrus.FieldLogger
	detector  *membership.Detector // nil: instances don't probe each other
	policy    membership.Policy
	timer     *eventloop.Timer
	refreshed time.Duration // when the detector's member list was last updated
	sequence  uint64        // of the suspicions last passed to the runner
	version   uint64        // of the detector's states, as last published
	published bool

	mu     sync.Mutex
	states map[uint64]membership.MemberState // by member
}

func newMembershipDriver(env *environment) *membershipDriver {
	return &membershipDriver{env: env, log: env.component("membership")}
}

// Supports implements driver.
func (m *membershipDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (m *membershipDriver) Prepare(d *clusterstate.Document, _ balancer.Settings) preparedChange {
	p, on, _ := membership.ParsePolicy(d.Sections[membership.Section])
	return &membershipChange{driver: m, policy: p, enabled: on}
}

type membershipChange struct {
	driver  *membershipDriver
	policy  membership.Policy
	enabled bool
}

// Apply implements preparedChange. A changed policy starts with a new detector that has no state.
func (c *membershipChange) Apply() {
	m := c.driver
	if c.enabled == (m.detector != nil) && c.policy == m.policy {
		return
	}
	m.timer.Stop()
	m.policy, m.detector, m.published = c.policy, nil, false
	m.publish()
	if !c.enabled {
		return
	}
	now, st := consensus.BootTime(), m.env.runner.Status()
	m.detector = membership.New(now, membership.ID(st.ID), 0, st.Incarnation, c.policy)
	m.log.WithField("interval", c.policy.ProbeInterval).Info("failure detector started")
	m.refreshGroup(now, st)
	m.tick()
}

// ClusterChanged implements driver: the detector depends on the group's members, not on their sessions.
func (m *membershipDriver) ClusterChanged(consensus.ClusterView) {}

// refreshGroup makes the detector's member list equal to the group's.
func (m *membershipDriver) refreshGroup(now time.Duration, st consensus.Status) {
	m.refreshed = now
	current := map[membership.ID]bool{}
	for _, x := range st.Members {
		current[membership.ID(x.ID)] = true
		m.detector.AddMembers(now, membership.ID(x.ID))
	}
	for _, x := range m.detector.Members() {
		if !current[x.ID] {
			m.detector.RemoveMember(x.ID)
		}
	}
}

func (m *membershipDriver) tick() {
	now := consensus.BootTime()
	if now-m.refreshed > groupRefreshInterval {
		m.refreshGroup(now, m.env.runner.Status())
	}
	m.advance(now, m.detector.Tick(now))
}

// advance sends the detector's messages, publishes its states, and sets the timer for its next tick.
func (m *membershipDriver) advance(now time.Duration, out []membership.Outbound) {
	m.send(out)
	m.publish()
	m.timer.Stop()
	m.timer = m.env.loop().After(max(m.detector.NextTick()-now, minDetectorPause), m.tick)
}

func (m *membershipDriver) send(out []membership.Outbound) {
	if len(out) == 0 {
		return
	}
	addresses := map[membership.ID]clusterstate.Member{}
	for _, x := range m.env.runner.Status().Members {
		addresses[membership.ID(x.ID)] = x.Member
	}
	for _, o := range out {
		if to, ok := addresses[o.To]; ok {
			m.env.network.SendSession(to, &schema.SessionMessage{Membership: encodeMembership(o.Message)})
		}
	}
}

// receive handles another instance's message. It is called on a goroutine of the transport.
func (m *membershipDriver) receive(from uint64, message *schema.MembershipMessage) {
	m.env.loop().Post(func() {
		if m.detector == nil {
			return
		}
		now := consensus.BootTime()
		m.advance(now, m.detector.Receive(now, membership.ID(from), decodeMembership(message)))
	})
}

func encodeMembership(m membership.Message) *schema.MembershipMessage {
	out := &schema.MembershipMessage{Kind: uint32(m.Kind), Seq: m.Seq, Target: uint64(m.Target)}
	for _, u := range m.Updates {
		out.Words = append(out.Words, &schema.MembershipRumour{Id: uint64(u.ID), State: uint32(u.State),
			Incarnation: u.Incarnation, By: uint64(u.ReportedBy)})
	}
	return out
}

// maxEnum is the largest value of a kind or state. Greater values are reduced to it and so stay unknown,
// instead of wrapping around to a known value.
const maxEnum = 255

func decodeMembership(m *schema.MembershipMessage) membership.Message {
	out := membership.Message{Kind: membership.MessageKind(min(m.Kind, maxEnum)), Seq: m.Seq,
		Target: membership.ID(m.Target)}
	for _, u := range m.Words {
		out.Updates = append(out.Updates, membership.Update{ID: membership.ID(u.Id),
			State: membership.State(min(u.State, maxEnum)), Incarnation: u.Incarnation,
			ReportedBy: membership.ID(u.By)})
	}
	return out
}

// publish makes the member states readable by other goroutines, and passes the suspicions to the leased tasks
// if the states have changed.
func (m *membershipDriver) publish() {
	// Most messages change nothing: the loop must not spend time on copying the same states again.
	if m.detector != nil && m.published && m.version == m.detector.Version() {
		return
	}
	states := map[uint64]membership.MemberState{}
	if m.published = m.detector != nil; m.published {
		m.version = m.detector.Version()
		for _, x := range m.detector.Members() {
			states[uint64(x.ID)] = x
		}
		m.logEvents(m.detector.PopEvents())
	}
	m.mu.Lock()
	unchanged := sameStates(m.states, states)
	m.states = states
	m.mu.Unlock()
	if !unchanged {
		m.sequence++
		m.env.runner.NotifyParticipant(leasedtask.Section, leasedtask.Suspicions{Sequence: m.sequence,
			Members: suspected(states)})
	}
}

func (m *membershipDriver) logEvents(events []membership.MemberState) {
	for _, x := range events {
		m.log.WithFields(logrus.Fields{"member": m.env.memberName(uint64(x.ID)), "state": x.State.String(),
			"count": len(x.SuspectedBy)}).Info("member state changed")
	}
}

// sameStates reports whether member states are equal for their readers, apart from times. Both may be nil.
func sameStates(a, b map[uint64]membership.MemberState) bool {
	same := len(a) == len(b)
	for id, x := range b {
		same = same && a[id].State == x.State && a[id].Reachable == x.Reachable
	}
	return same
}

// suspected returns the members that are not alive.
func suspected(states map[uint64]membership.MemberState) map[uint64]bool {
	members := map[uint64]bool{}
	for id, x := range states {
		if x.State != membership.Alive {
			members[id] = true
		}
	}
	return members
}

// memberState returns a member's state in this instance's detector. known is false for an unknown member.
func (m *membershipDriver) memberState(id uint64) (s controlapi.MemberState, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, known := m.states[id]
	if !known {
		return s, false
	}
	now := consensus.BootTime()
	s = controlapi.MemberState{State: x.State.String(), Duration: now - x.Since}
	if !x.Reachable {
		s.UnreachableFor = now - x.ReachableSince
	}
	for _, by := range x.SuspectedBy {
		s.SuspectedBy = append(s.SuspectedBy, uint64(by))
	}
	return s, true
}
