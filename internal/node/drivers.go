package node

import (
	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/schedule"
)

// driver applies one section of the agreed document: it connects a rule package, which has no goroutine,
// clock or socket, to the node's loop and the group.
type driver interface {
	// Supports returns why this instance can't run a valid document, or nil. Any goroutine may call it.
	Supports(d *clusterstate.Document) error
	// Prepare reads the driver's section of a document that will be applied, together with the settings that
	// the fronts get from it. It changes nothing yet.
	Prepare(d *clusterstate.Document, settings balancer.Settings) preparedChange
	// ClusterChanged receives a new view of the group's sessions. It is called on the runner's goroutine and
	// must not block.
	ClusterChanged(v consensus.ClusterView)
}

// preparedChange is a driver's part of a document, ready to be applied.
type preparedChange interface {
	// Apply applies the change. It is called on the node's loop, in the turn in which the fronts start to run
	// the document.
	Apply()
}

// driverSet holds all drivers, in the order in which they are called.
type driverSet []driver

// Supports implements driver: it returns the first driver's error.
func (s driverSet) Supports(d *clusterstate.Document) error {
	for _, drv := range s {
		if err := drv.Supports(d); err != nil {
			return err
		}
	}
	return nil
}

// Prepare implements driver.
func (s driverSet) Prepare(d *clusterstate.Document, settings balancer.Settings) preparedChange {
	changes := make(preparedChanges, len(s))
	for n, drv := range s {
		changes[n] = drv.Prepare(d, settings)
	}
	return changes
}

// ClusterChanged implements driver.
func (s driverSet) ClusterChanged(v consensus.ClusterView) {
	for _, drv := range s {
		drv.ClusterChanged(v)
	}
}

// preparedChanges are the prepared changes of all drivers.
type preparedChanges []preparedChange

// Apply implements preparedChange.
func (p preparedChanges) Apply() {
	for _, change := range p {
		change.Apply()
	}
}

var _ driver = driverSet(nil)

// dispatchNotification passes a notification of a replicated state machine to its driver. It is called on the
// runner's goroutine.
func (i *Instance) dispatchNotification(notification any) {
	switch n := notification.(type) {
	case leasedtask.PlanChanged:
		i.restart.planChanged(n)
	case []leasedtask.Lease:
		i.tasks.leasesChanged(n)
	case schedule.ClusterClock:
		i.schedule.clockChanged(n)
	case []schedule.Event:
		i.schedule.writeAudit(n)
	case []schedule.Firing:
		i.schedule.fire(n)
	}
}
