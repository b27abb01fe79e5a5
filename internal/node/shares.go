package node

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/netio/eventloop"
)

// shares are an instance's part in what the group shares of workers: which ones it uses, and which part
// of a cold one's budget is its own. All of it belongs to the node's loop.
type shares struct {
	i        *Instance
	log      logrus.FieldLogger
	policy   placement.Policy
	set      balancer.Settings // as the fronts run them, parts apart
	standing consensus.ClusterView
	view     placement.View
	parts    placement.Partitioning
	part     [3]int // me, of, and whether there is one, as the module was told last
	noted    string
	timer    *eventloop.Timer
	turn     int // of what is being worked out; older ones come too late
}

func newShares(i *Instance) *shares {
	return &shares{i: i, log: i.log.WithField("part", "shares")}
}

func sharesOf(d *clusterstate.Document) placement.Policy {
	p, _ := placement.ParsePolicy(d.Sections[placement.Section])
	return p
}

// configure takes over what the configuration in force says, in the turn in which the fronts run it.
func (s *shares) configure(p placement.Policy, set balancer.Settings) {
	was := s.policy
	s.policy, s.set, s.part = p, set, [3]int{}
	s.apportion()
	if was.SubsetSize != p.SubsetSize {
		s.choose()
	}
	if p.SlowStartPartitions || p.SubsetSize > 0 {
		s.log.WithFields(logrus.Fields{"subset": p.SubsetSize,
			"parts": p.SlowStartPartitions}).Info("workers are shared in the group")
	}
}

// read implements follower.
func (s *shares) read(d *clusterstate.Document, set balancer.Settings) func() {
	p := sharesOf(d)
	return func() { s.configure(p, set) }
}

// stands implements follower.
func (s *shares) stands(x consensus.ClusterView) { s.i.node.loop.Post(func() { s.stand(x) }) }

func (s *shares) stand(x consensus.ClusterView) {
	now := consensus.BootTime()
	s.standing = x
	for _, v := range x.Views {
		// Others may act by the view before for a lease of theirs, by clocks at other paces.
		s.parts.SetView(now, v, x.Session, rollout.ExpiryWait(x.LeaseDuration))
		s.view = v
	}
	s.apportion()
	if len(x.Views) > 0 {
		s.choose()
	}
}

// apportion tells the modules which part of a cold worker's budget is this instance's, where that has
// changed.
//
// Hazard: one that stands still, or is cut off, learns nothing of others that have come. Its part ends
// with its lease, so this is looked at again when that ends.
func (s *shares) apportion() {
	s.timer.Stop()
	if !s.policy.SlowStartPartitions || len(s.set.Classes) == 0 {
		return
	}
	now := consensus.BootTime()
	me, of, ok := s.parts.Partition(now, s.standing.ExpiresAt)
	part := [3]int{me, of, 1}
	set := s.set
	if ok {
		set.DispatcherIndex, set.DispatcherCount = me, of
	} else {
		part = [3]int{0, 0, 2}
		// Nothing: a factor of 0 would be no bound at all.
		set.Rules.OverloadFactor = min(set.Rules.OverloadFactor, leastFactor)
	}
	if part != s.part {
		s.part = part
		for k := range s.i.node.cores {
			c := &s.i.node.cores[k]
			fitted := c.fit(set)
			if err := c.CanConfigure(fitted); err != nil {
				s.log.WithError(err).Error("the part of cold workers' budgets stays as it was")
				return
			}
			c.Configure(fitted)
		}
	}
	s.note(me, of, ok)
	s.timer = s.i.node.loop.After(lookAgain, s.apportion)
}

// note tells audits which part is this instance's, and until when.
func (s *shares) note(me, of int, ok bool) {
	if s.i.gate.journal == nil {
		return
	}
	line := "part none"
	if ok {
		line = fmt.Sprintf("part %d %d %d", me, of, s.standing.ExpiresAt)
	}
	if line != s.noted {
		s.noted = line
		s.i.gate.note("%s", line)
	}
}

// look ends this instance's part before a job that came while it stood still is worked on.
func (s *shares) look(now time.Duration) {
	if s.part[2] == 1 && now >= s.standing.ExpiresAt {
		s.apportion()
	}
}

const (
	leastFactor = 1e-9
	lookAgain   = 50 * time.Millisecond
)

// choose works out which workers this instance uses, and has the cores use them.
func (s *shares) choose() {
	s.turn++
	for k := range s.i.node.cores {
		c := &s.i.node.cores[k]
		if s.policy.SubsetSize == 0 || s.standing.Session == (placement.Session{}) {
			c.SetSubset(nil)
			continue
		}
		var list []placement.Worker
		for _, l := range c.ListedEndpoints() {
			list = append(list, placement.Worker{Name: l.Name, Zone: l.Zone})
		}
		turn, members, own, size := s.turn, s.view.Members, s.standing.Session, s.policy.SubsetSize
		// Hazard: for hundreds of instances and thousands of workers this takes longer than a job may
		// wait.
		go func() {
			use := placement.Subset(members, own, list, size)
			s.i.node.loop.Post(func() {
				if s.turn != turn {
					return
				}
				c.SetSubset(use)
				s.i.gate.note("uses %d of %d", c.SubsetSize(), len(list))
			})
		}()
	}
}
