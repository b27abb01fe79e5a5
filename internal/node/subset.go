package node

import (
	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
)

// subsetDriver drives the subsetting of package placement: each instance uses only some of the workers. It is
// confined to the node's loop.
type subsetDriver struct {
	env     *environment
	log     logrus.FieldLogger
	size    int // 0: all workers are used
	session placement.Session
	members []placement.Member // of the newest view
	version int                // of the newest computation; results of older ones are dropped
}

func newSubsetDriver(env *environment) *subsetDriver {
	return &subsetDriver{env: env, log: env.component("subset")}
}

// Supports implements driver.
func (s *subsetDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (s *subsetDriver) Prepare(d *clusterstate.Document, _ balancer.Settings) preparedChange {
	return &subsetChange{driver: s, size: placementPolicy(d).SubsetSize}
}

type subsetChange struct {
	driver *subsetDriver
	size   int
}

// Apply implements preparedChange.
func (c *subsetChange) Apply() {
	s := c.driver
	if s.size != c.size {
		s.size = c.size
		s.choose()
	}
	if s.size > 0 {
		s.log.WithField("count", s.size).Info("a subset of the workers is used")
	}
}

// ClusterChanged implements driver.
func (s *subsetDriver) ClusterChanged(v consensus.ClusterView) {
	s.env.loop().Post(func() {
		s.session = v.Session
		if n := len(v.Views); n > 0 {
			s.members = v.Views[n-1].Members
			s.choose()
		}
	})
}

// choose recomputes which workers this instance uses, and restricts the brokers to them.
func (s *subsetDriver) choose() {
	s.version++
	for k := range s.env.node.brokers {
		s.chooseFor(&s.env.node.brokers[k])
	}
}

func (s *subsetDriver) chooseFor(b *frontBroker) {
	if s.size == 0 || s.session == (placement.Session{}) {
		b.SetSubset(nil)
		return
	}
	var list []placement.Worker
	for _, l := range b.ListedEndpoints() {
		list = append(list, placement.Worker{Name: l.Name, Zone: l.Zone})
	}
	version, members, session, size := s.version, s.members, s.session, s.size
	// For hundreds of instances and thousands of workers this takes longer than a job may wait, so it is not
	// done on the loop. The goroutine ends by itself; a loop that has stopped drops its result.
	go func() {
		subset := placement.Subset(members, session, list, size)
		s.env.loop().Post(func() {
			if s.version != version {
				return
			}
			b.SetSubset(subset)
			s.env.audit.write("uses %d of %d", b.SubsetSize(), len(list))
		})
	}()
}
