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

const (
	// budgetCheckInterval is how often an instance checks that its lease, and with it its partition, holds.
	budgetCheckInterval = 50 * time.Millisecond
	// noBudgetFactor bounds an instance without a partition to nearly nothing: 0 would be no bound at all.
	noBudgetFactor = 1e-9
)

// partition is one instance's share of the slow-start budget of each worker, of count equal ones.
type partition struct {
	state partitionState
	index int
	count int
}

// partitionState is what the balancer was given last.
type partitionState uint8

const (
	partitionUnset partitionState = iota // nothing: it goes by the settings as they are
	partitionHeld
	partitionNone // no share, and so no budget
)

// slowStartDriver drives the partitioning of package placement: the slow-start budgets of warming-up workers
// are divided among the instances. All of it belongs to the node's loop.
type slowStartDriver struct {
	env        *environment
	log        logrus.FieldLogger
	enabled    bool
	settings   balancer.Settings // as the fronts run them, partitions apart
	view       consensus.ClusterView
	partitions placement.Partitioning
	partition  partition // as the decision modules were given it last
	audited    string    // the audit log's last line on it
	timer      *eventloop.Timer
}

func newSlowStartDriver(env *environment) *slowStartDriver {
	return &slowStartDriver{env: env, log: env.component("slowstart")}
}

// Supports implements driver.
func (s *slowStartDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (s *slowStartDriver) Prepare(d *clusterstate.Document, set balancer.Settings) preparedChange {
	return &slowStartChange{driver: s, enabled: placementPolicy(d).SlowStartPartitions, settings: set}
}

type slowStartChange struct {
	driver   *slowStartDriver
	enabled  bool
	settings balancer.Settings
}

// Apply implements preparedChange. The fronts have just taken the settings over, without a partition.
func (c *slowStartChange) Apply() {
	s := c.driver
	s.enabled, s.settings, s.partition = c.enabled, c.settings, partition{}
	s.update()
	if s.enabled {
		s.log.Info("slow-start budgets are partitioned in the group")
	}
}

// ClusterChanged implements driver.
func (s *slowStartDriver) ClusterChanged(v consensus.ClusterView) {
	s.env.loop().Post(func() {
		now := consensus.BootTime()
		s.view = v
		for _, view := range v.Views {
			// Others may act by the view before for a lease of theirs, by clocks at other paces.
			s.partitions.SetView(now, view, v.Session, rollout.ExpiryWait(v.LeaseDuration))
		}
		s.update()
	})
}

// update gives the decision modules this instance's partition, where that has changed.
//
// Hazard: an instance that is stalled or cut off learns nothing of others that have joined. Its partition
// ends with its lease, so this is checked again and again.
func (s *slowStartDriver) update() {
	s.timer.Stop()
	if !s.enabled || len(s.settings.Classes) == 0 {
		return
	}
	index, count, ok := s.partitions.Partition(consensus.BootTime(), s.view.ExpiresAt)
	next := partition{state: partitionNone}
	if ok {
		next = partition{partitionHeld, index, count}
	}
	if next != s.partition {
		s.partition = next
		if err := s.configure(next.apply(s.settings)); err != nil {
			s.log.WithError(err).Error("partition of slow-start budgets not changed")
			return
		}
	}
	s.audit(next)
	s.timer = s.env.loop().After(budgetCheckInterval, s.update)
}

// apply is the settings with a partition.
func (p partition) apply(set balancer.Settings) balancer.Settings {
	if p.state == partitionHeld {
		set.DispatcherIndex, set.DispatcherCount = p.index, p.count
	} else {
		set.Rules.OverloadFactor = min(set.Rules.OverloadFactor, noBudgetFactor)
	}
	return set
}

func (s *slowStartDriver) configure(set balancer.Settings) error {
	for k := range s.env.node.brokers {
		c := &s.env.node.brokers[k]
		fitted := c.fit(set)
		if err := c.CanConfigure(fitted); err != nil {
			return err
		}
		c.Configure(fitted)
	}
	return nil
}

// audit writes which partition is this instance's, and until when, where that has changed.
func (s *slowStartDriver) audit(p partition) {
	if !s.env.audit.enabled() {
		return
	}
	line := "part none"
	if p.state == partitionHeld {
		line = fmt.Sprintf("part %d %d %d", p.index, p.count, s.view.ExpiresAt)
	}
	if line != s.audited {
		s.audited = line
		s.env.audit.write("%s", line)
	}
}

// expire ends this instance's partition before a job that came while it was stalled is worked on.
func (s *slowStartDriver) expire(now time.Duration) {
	if s.partition.state == partitionHeld && now >= s.view.ExpiresAt {
		s.update()
	}
}
