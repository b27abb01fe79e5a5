package node

import (
	"moorstack/internal/operate/adminproto"
	"moorstack/internal/proxy/broker"
)

// adminCommands carries out the commands of the admin address. It is confined to the node's loop.
type adminCommands struct{ node *Node }

var _ adminproto.Handler = adminCommands{}

// AppendMetrics implements adminproto.Handler.
func (a adminCommands) AppendMetrics(dst []byte) []byte { return a.node.front.AppendMetrics(dst) }

// Ready implements adminproto.Handler for this process. During a hot restart one of the two processes is not
// ready.
func (a adminCommands) Ready() error {
	if err := a.node.front.Ready(); err != nil {
		return err
	}
	return a.node.hotRestart.ready()
}

// StartMaintenance implements adminproto.Handler: it excludes an endpoint in the brokers of all fronts.
func (a adminCommands) StartMaintenance(id string) error {
	if err := a.checkListed(id); err != nil {
		return err
	}
	for _, b := range a.node.brokers {
		b.StartMaintenance(id)
	}
	a.node.hotRestart.sendMaintenance(id, true)
	a.node.log.WithField("worker", id).Info("maintenance started by an operator")
	return nil
}

// EndMaintenance implements adminproto.Handler. For an endpoint that is not under maintenance it does nothing
// and returns no error.
func (a adminCommands) EndMaintenance(id string) error {
	if err := a.checkListed(id); err != nil {
		return err
	}
	changed := false
	for _, b := range a.node.brokers {
		changed = b.EndMaintenance(id) || changed
	}
	a.node.hotRestart.sendMaintenance(id, false)
	if changed {
		a.node.log.WithField("worker", id).Info("maintenance ended by an operator")
	}
	return nil
}

func (a adminCommands) checkListed(id string) error {
	for _, b := range a.node.brokers {
		if b.EverListed(id) {
			return nil
		}
	}
	return broker.ErrNeverListed
}

// Standby implements adminproto.Handler.
func (a adminCommands) Standby() error {
	a.node.front.BeginStandby()
	a.notifyStandby(true)
	return nil
}

// EndStandby implements adminproto.Handler.
func (a adminCommands) EndStandby() error {
	err := a.node.front.EndStandby()
	if err == nil {
		a.notifyStandby(false)
	}
	return err
}

func (a adminCommands) notifyStandby(on bool) {
	if a.node.OnStandby != nil {
		a.node.OnStandby(on)
	}
}
