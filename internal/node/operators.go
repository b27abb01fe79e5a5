package node

import (
	"moorstack/internal/operate/adminproto"
	"moorstack/internal/proxy/broker"
)

// operators is the node as those see it who call at the second address.
type operators struct{ *Node }

var _ adminproto.Node = operators{}

func (o operators) Figures(dst []byte) []byte { return o.front.Figures(dst) }

// Ready is of this process: while another takes its place, one of the two says no.
func (o operators) Ready() error {
	if err := o.front.Ready(); err != nil {
		return err
	}
	return o.upgrade.ready()
}

// Ban takes a next hop out at all cores, whichever front it belongs to.
func (o operators) Ban(id string) error {
	if err := o.listed(id); err != nil {
		return err
	}
	for _, c := range o.cores {
		c.Ban(id)
	}
	o.upgrade.tell(id, true)
	o.log.WithField("worker", id).Info("taken out by an operator")
	return nil
}

// Unban puts it back. Put back when it was not out is a yes, and changes nothing.
func (o operators) Unban(id string) error {
	if err := o.listed(id); err != nil {
		return err
	}
	was := false
	for _, c := range o.cores {
		was = c.Unban(id) || was
	}
	if o.upgrade.tell(id, false); was {
		o.log.WithField("worker", id).Info("put back by an operator")
	}
	return nil
}

func (o operators) listed(id string) error {
	for _, c := range o.cores {
		if c.Listed(id) {
			return nil
		}
	}
	return broker.ErrUnlisted
}

func (o operators) Standby() error {
	o.front.Standby()
	o.idle(true)
	return nil
}

func (o operators) Active() error {
	err := o.front.Active()
	if err == nil {
		o.idle(false)
	}
	return err
}

func (o operators) idle(on bool) {
	if o.Idle != nil {
		o.Idle(on)
	}
}
