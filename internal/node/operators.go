package node

import (
	"moorstack/internal/operate/adminproto"
	"moorstack/internal/proxy/broker"
)

// operators is the node as those see it who call at the second address.
type operators struct{ *Node }

var _ adminproto.Handler = operators{}

func (o operators) AppendMetrics(dst []byte) []byte { return o.front.AppendMetrics(dst) }

// Ready is of this process: while another takes its place, one of the two says no.
func (o operators) Ready() error {
	if err := o.front.Ready(); err != nil {
		return err
	}
	return o.upgrade.ready()
}

// StartMaintenance takes a next hop out at all cores, whichever front it belongs to.
func (o operators) StartMaintenance(id string) error {
	if err := o.listed(id); err != nil {
		return err
	}
	for _, c := range o.cores {
		c.StartMaintenance(id)
	}
	o.upgrade.tell(id, true)
	o.log.WithField("worker", id).Info("taken out by an operator")
	return nil
}

// EndMaintenance puts it back. Put back when it was not out is a yes, and changes nothing.
func (o operators) EndMaintenance(id string) error {
	if err := o.listed(id); err != nil {
		return err
	}
	was := false
	for _, c := range o.cores {
		was = c.EndMaintenance(id) || was
	}
	if o.upgrade.tell(id, false); was {
		o.log.WithField("worker", id).Info("put back by an operator")
	}
	return nil
}

func (o operators) listed(id string) error {
	for _, c := range o.cores {
		if c.EverListed(id) {
			return nil
		}
	}
	return broker.ErrNeverListed
}

func (o operators) Standby() error {
	o.front.BeginStandby()
	o.idle(true)
	return nil
}

func (o operators) EndStandby() error {
	err := o.front.EndStandby()
	if err == nil {
		o.idle(false)
	}
	return err
}

func (o operators) idle(on bool) {
	if o.OnStandby != nil {
		o.OnStandby(on)
	}
}
