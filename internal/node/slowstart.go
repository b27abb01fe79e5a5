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
	// budgetCheckInterval is how often an instance checks whether its lease and thus its partition is valid.
	budgetCheckInterval = 50 * time.Millisecond
	// noBudgetFactor limits an instance without a partition to nearly nothing: 0 would mean no limit.
	noBudgetFactor = 1e-9
)

// partition is this instance's share of each worker's slow-start budget: one of count equal shares.
type partition struct {
	state partitionState
	index int
	count int
}

// partitionState is which partition the balancers were last configured with.
type partitionState uint8

const (
	partitionUnset partitionState = iota // none: the settings apply unchanged
	partitionHeld
	partitionNone // no share, and therefore no budget
)

// slowStartDriver drives the partitioning of package placement, which divides the slow-start budgets of
// warming-up workers among the instances. It is confined to the node's loop.
type slowStartDriver struct {
	env         *environment
	log         logrus.FieldLogger
	enabled     bool
	settings    balancer.Settings // as the fronts run them, without a partition
	view        consensus.ClusterView
	partitions  placement.Partitioning
	partition   partition // as last set in the balancers
	lastAudited string    // the last line on it in the audit log
	timer       *eventloop.Timer
}

func newSlowStartDriver(env *environment) *slowStartDriver {
	return &slowStartDriver{env: env, log: env.component("slowstart")}
}

// Supports implements driver.
func (s *slowStartDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (s *slowStartDriver) Prepare(d *clusterstate.Document, settings balancer.Settings) preparedChange {
	return &slowStartChange{driver: s, enabled: placementPolicy(d).SlowStartPartitions, settings: settings}
}

type slowStartChange struct {
	driver   *slowStartDriver
	enabled  bool
	settings balancer.Settings
}

// Apply implements preparedChange. The fronts have just applied the settings, without a partition.
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
			// Other instances may act on the previous view until their leases expire, by clocks that may
			// run slower.
			s.partitions.SetView(now, view, v.Session, rollout.ExpiryWait(v.LeaseDuration))
		}
		s.update()
	})
}

// update sets this instance's partition in the balancers if it has changed.
//
// An instance that is stalled or isolated does not learn that others have joined. Its partition therefore
// ends with its lease, and update is repeated every budgetCheckInterval.
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

// apply returns the settings with the partition.
func (p partition) apply(settings balancer.Settings) balancer.Settings {
	if p.state == partitionHeld {
		settings.DispatcherIndex, settings.DispatcherCount = p.index, p.count
	} else {
		settings.Rules.OverloadFactor = min(settings.Rules.OverloadFactor, noBudgetFactor)
	}
	return settings
}

func (s *slowStartDriver) configure(settings balancer.Settings) error {
	for k := range s.env.node.brokers {
		b := &s.env.node.brokers[k]
		adapted := b.adaptSettings(settings)
		if err := b.CanConfigure(adapted); err != nil {
			return err
		}
		b.Configure(adapted)
	}
	return nil
}

// audit writes this instance's partition and its expiry to the audit log if they have changed.
func (s *slowStartDriver) audit(p partition) {
	if !s.env.audit.enabled() {
		return
	}
	line := "part none"
	if p.state == partitionHeld {
		line = fmt.Sprintf("part %d %d %d", p.index, p.count, s.view.ExpiresAt)
	}
	if line != s.lastAudited {
		s.lastAudited = line
		s.env.audit.write("%s", line)
	}
}

// expire ends an expired partition before a job that arrived while this instance was stalled is dispatched.
func (s *slowStartDriver) expire(now time.Duration) {
	if s.partition.state == partitionHeld && now >= s.view.ExpiresAt {
		s.update()
	}
}
