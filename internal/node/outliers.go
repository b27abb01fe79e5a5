package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/schema"
)

// outlierReportInterval is how often instances send each other their reports on workers, if they have any.
const outlierReportInterval = 250 * time.Millisecond

// outlierDriver drives the outlier quorum of package placement: instances report failing workers to each
// other, and eject a worker that several of them have seen fail. All but the counter is confined to the
// node's loop. Each front has separate workers and observations; only the platform front's are reported.
type outlierDriver struct {
	env            *environment
	log            logrus.FieldLogger
	enabled        bool
	lastHadReports bool // the last message contained reports
	session        placement.Session
	view           placement.View
	quorum         *placement.OutlierQuorum
	ejected        map[string]bool
	ejectedCount   atomic.Int64 // number of ejected workers
	timer          *eventloop.Timer
}

func newOutlierDriver(env *environment) *outlierDriver {
	return &outlierDriver{env: env, log: env.component("outliers"), quorum: placement.NewOutlierQuorum()}
}

// placementPolicy parses the section of a validated document.
func placementPolicy(d *clusterstate.Document) placement.Policy {
	p, _ := placement.ParsePolicy(d.Sections[placement.Section])
	return p
}

// Supports implements driver.
func (o *outlierDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (o *outlierDriver) Prepare(d *clusterstate.Document, _ balancer.Settings) preparedChange {
	return &outlierChange{driver: o, enabled: placementPolicy(d).OutlierReports}
}

type outlierChange struct {
	driver  *outlierDriver
	enabled bool
}

// Apply implements preparedChange.
func (c *outlierChange) Apply() {
	o := c.driver
	if c.enabled == o.enabled {
		return
	}
	o.enabled = c.enabled
	o.timer.Stop()
	if !o.enabled {
		o.broker().OnAttemptEnd(nil)
		o.eject(nil)
		return
	}
	o.broker().OnAttemptEnd(o.observe)
	o.log.Info("outlier reports are exchanged in the group")
	o.tick()
}

// broker returns the platform front's broker.
func (o *outlierDriver) broker() *frontBroker { return &o.env.node.brokers[0] }

// ClusterChanged implements driver.
func (o *outlierDriver) ClusterChanged(v consensus.ClusterView) {
	o.env.loop().Post(func() { o.setView(v) })
}

func (o *outlierDriver) setView(v consensus.ClusterView) {
	// This is called at every lease renewal, and usually nothing has changed. Building the placement table
	// would take thousands of hashes on the loop.
	if len(v.Views) == 0 && v.Session == o.session {
		return
	}
	o.session = v.Session
	if n := len(v.Views); n > 0 {
		o.view = v.Views[n-1]
	}
	o.quorum.SetView(placement.NewTable(o.view), o.session)
}

// observe records the result of an attempt at a worker.
func (o *outlierDriver) observe(worker string, result balancer.Result) {
	switch result {
	case balancer.OK, balancer.ServerError, balancer.TimedOut, balancer.ConnectFailed,
		balancer.ConnectionReset:
		o.quorum.ObserveAttempt(consensus.BootTime(), worker, result != balancer.OK)
	}
}

// tick sends this instance's reports, and ejects workers according to the reports of all instances.
func (o *outlierDriver) tick() {
	o.timer = o.env.loop().After(outlierReportInterval, o.tick)
	now := consensus.BootTime()
	// An empty message after the last report withdraws it.
	if reports := o.quorum.Reports(now); len(reports) > 0 || o.lastHadReports {
		o.lastHadReports = len(reports) > 0
		o.send(reports)
	}
	var listed []string
	for _, l := range o.broker().ListedEndpoints() {
		listed = append(listed, l.Name)
	}
	o.eject(o.quorum.Ejected(now, listed))
}

func (o *outlierDriver) send(reports []placement.OutlierReport) {
	m := &schema.WitnessMessage{FromEpoch: o.session.Epoch}
	for _, x := range reports {
		m.Words = append(m.Words, &schema.WitnessWord{Worker: x.Worker, Bad: uint32(x.Failed),
			All: uint32(x.Attempts)})
	}
	for _, x := range o.env.runner.Status().Members {
		if x.ID != o.session.Member {
			o.env.network.SendSession(x.Member, &schema.SessionMessage{Witness: m})
		}
	}
}

func (o *outlierDriver) eject(workers map[string]bool) {
	if maps.Equal(workers, o.ejected) {
		return
	}
	o.ejected = workers
	o.ejectedCount.Store(int64(len(workers)))
	o.broker().SetEjected(workers)
	o.env.audit.write("shuns %d", len(workers))
	o.log.WithFields(logrus.Fields{"count": len(workers), "worker": slices.Sorted(maps.Keys(workers))}).
		Warn("ejected workers changed by outlier reports of several instances")
}

// receive handles another instance's reports. It is called on a goroutine of the transport.
func (o *outlierDriver) receive(from uint64, m *schema.WitnessMessage) {
	reports := make([]placement.OutlierReport, 0, len(m.Words))
	for _, x := range m.Words {
		reports = append(reports, placement.OutlierReport{Worker: x.Worker, Failed: int(x.Bad),
			Attempts: int(x.All)})
	}
	o.env.loop().Post(func() {
		// Late reports of a session that has expired are dropped.
		if o.enabled && slices.ContainsFunc(o.view.Members, func(x placement.Member) bool {
			return x.Member == from && x.Epoch == m.FromEpoch
		}) {
			o.quorum.ObserveReports(consensus.BootTime(), from, reports)
		}
	})
}
