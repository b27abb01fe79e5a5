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

// beliefs are an instance's part in finding out who is there. The machine belongs to the node's loop; what it
// believes may be asked for from elsewhere. No lease and no holding of a duty rests on it.
type beliefs struct {
	i       *Instance
	log     logrus.FieldLogger
	machine *membership.Detector // nil: instances don't probe each other
	policy  membership.Policy
	timer   *eventloop.Timer
	members time.Duration // when the group's members were looked at last
	said    uint64        // words on whom to doubt
	// news is what the machine counted when it was published last, if it was.
	news      uint64
	published bool

	mu   sync.Mutex
	list map[uint64]membership.MemberState
	now  time.Duration // of that
}

// membersEvery is how often the group's members are looked at.
const membersEvery = time.Second

func newBeliefs(i *Instance) *beliefs { return &beliefs{i: i, log: i.log.WithField("part", "members")} }

// read implements follower.
func (b *beliefs) read(d *clusterstate.Document, _ balancer.Settings) func() {
	p, on, _ := membership.ParsePolicy(d.Sections[membership.Section])
	return func() { b.configure(p, on) }
}

// stands implements follower.
func (b *beliefs) stands(consensus.ClusterView) {}

func (b *beliefs) configure(p membership.Policy, on bool) {
	if on == (b.machine != nil) && p == b.policy {
		return
	}
	b.timer.Stop()
	b.policy, b.machine, b.published = p, nil, false
	b.publish(consensus.BootTime())
	if !on {
		return
	}
	now, st := consensus.BootTime(), b.i.runner.Status()
	b.machine = membership.New(now, membership.ID(st.ID), 0, st.Incarnation, p)
	b.log.WithField("probe", p.ProbeInterval).Info("instances probe each other")
	b.follow(now, st)
	b.tick()
}

// follow has the machine know the group's members, and no others.
func (b *beliefs) follow(now time.Duration, st consensus.Status) {
	b.members = now
	in := map[membership.ID]bool{}
	for _, m := range st.Members {
		in[membership.ID(m.ID)] = true
		b.machine.AddMembers(now, membership.ID(m.ID))
	}
	for _, x := range b.machine.Members() {
		if !in[x.ID] {
			b.machine.RemoveMember(x.ID)
		}
	}
}

func (b *beliefs) tick() {
	now := consensus.BootTime()
	var st consensus.Status
	if now-b.members > membersEvery {
		st = b.i.runner.Status()
		b.follow(now, st)
	}
	b.send(b.machine.Tick(now))
	b.publish(now)
	b.timer = b.i.node.loop.After(max(b.machine.NextTick()-now, time.Millisecond), b.tick)
}

func (b *beliefs) send(out []membership.Outbound) {
	if len(out) == 0 {
		return
	}
	to := map[membership.ID]clusterstate.Member{}
	for _, m := range b.i.runner.Status().Members {
		to[membership.ID(m.ID)] = m.Member
	}
	for _, o := range out {
		m, ok := to[o.To]
		if !ok {
			continue
		}
		w := &schema.MembershipMessage{Kind: uint32(o.Kind), Seq: o.Seq, Target: uint64(o.Target)}
		for _, r := range o.Updates {
			w.Words = append(w.Words, &schema.MembershipRumour{Id: uint64(r.ID), State: uint32(r.State),
				Incarnation: r.Incarnation, By: uint64(r.ReportedBy)})
		}
		b.i.network.SendSession(m, &schema.SessionMessage{Membership: w})
	}
}

// heard takes another instance's word. It is called on a goroutine of the peers' network.
func (b *beliefs) heard(from uint64, m *schema.MembershipMessage) {
	b.i.node.loop.Post(func() {
		if b.machine == nil {
			return
		}
		w := membership.Message{Kind: membership.MessageKind(min(m.Kind, 255)), Seq: m.Seq,
			Target: membership.ID(m.Target)}
		for _, r := range m.Words {
			w.Updates = append(w.Updates, membership.Update{ID: membership.ID(r.Id),
				State: membership.State(
					min(r.State, 255),
				), Incarnation: r.Incarnation, ReportedBy: membership.ID(r.By)})
		}
		now := consensus.BootTime()
		b.send(b.machine.Receive(now, membership.ID(from), w))
		b.publish(now)
		b.timer.Stop()
		b.timer = b.i.node.loop.After(max(b.machine.NextTick()-now, time.Millisecond), b.tick)
	})
}

// publish has what is believed be there for others, and tells the duties whom to doubt.
func (b *beliefs) publish(now time.Duration) {
	// Most messages bring nothing new, and the loop has jobs to see to.
	if b.machine != nil && b.published && b.news == b.machine.Version() {
		return
	}
	if b.published = b.machine != nil; b.published {
		b.news = b.machine.Version()
	}
	list := map[uint64]membership.MemberState{}
	doubts := map[uint64]bool{}
	if b.machine != nil {
		for _, x := range b.machine.Members() {
			list[uint64(x.ID)] = x
			if x.State != membership.Alive {
				doubts[uint64(x.ID)] = true
			}
		}
		for _, x := range b.machine.TakeEvents() {
			b.log.WithFields(logrus.Fields{"member": b.i.nameOf(uint64(x.ID)), "state": x.State.String(),
				"by": len(x.SuspectedBy)}).Info("an instance seems otherwise")
		}
	}
	b.mu.Lock()
	same := len(b.list) == len(list)
	for id, x := range list {
		same = same && b.list[id].State == x.State && b.list[id].Reachable == x.Reachable
	}
	b.list, b.now = list, now
	b.mu.Unlock()
	if !same {
		b.said++
		b.i.runner.NotifyParticipant(
			leasedtask.Section,
			leasedtask.Suspicions{Sequence: b.said, Members: doubts},
		)
	}
}

// nameOf is a member's name.
func (i *Instance) nameOf(id uint64) string {
	for _, m := range i.runner.Status().Members {
		if m.ID == id {
			return m.Name
		}
	}
	return "one that is gone"
}

// MemberState implements control.Host.
func (i *Instance) MemberState(id uint64) (s controlapi.MemberState, known bool) {
	b := i.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	x, known := b.list[id]
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
