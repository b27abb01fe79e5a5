package drain

import (
	"testing"
	"time"
)

func TestStandbyAndBack(t *testing.T) {
	var d Machine
	if !d.BeginStandby(0) || d.State() != Unready || d.BeginStandby(time.Second) {
		t.Fatal("the first stand-by counts, the second does not")
	}
	if d.Advance(HealthCheckGrace-1) || !d.Advance(HealthCheckGrace) || d.State() != ClosingConnections ||
		d.Advance(HealthCheckGrace) {
		t.Fatal("closing begins once, after the notice")
	}
	if changed, err := d.EndStandby(); !changed || err != nil || d.State() != Serving {
		t.Fatal("active did not end it")
	}
	if changed, err := d.EndStandby(); changed || err != nil {
		t.Fatal("active at a node that serves is a yes and changes nothing")
	}
}

// A drain that is called off and begun anew has its whole notice.
func TestDueOfAnEarlierDrain(t *testing.T) {
	var d Machine
	d.BeginStandby(0)
	_, _ = d.EndStandby()
	d.BeginStandby(HealthCheckGrace / 2)
	if d.Advance(HealthCheckGrace) || d.State() != Unready {
		t.Fatal("the first drain's time has closed the second")
	}
	if !d.Advance(d.ClosingAt()) {
		t.Fatal("the second drain's time has not")
	}
}

func TestEndHasNoWayBack(t *testing.T) {
	for _, before := range []func(*Machine){
		func(*Machine) {},
		func(d *Machine) { d.BeginStandby(0) },
		func(d *Machine) { d.BeginStandby(0); d.Advance(HealthCheckGrace) },
	} {
		var d Machine
		before(&d)
		was := d.State()
		if !d.BeginShutdown(HealthCheckGrace) || d.BeginShutdown(HealthCheckGrace) {
			t.Fatal("the end is told once")
		}
		if was != Serving && d.State() != was {
			t.Fatal("an end during a drain began it anew")
		}
		if _, err := d.EndStandby(); err != ErrShuttingDown || d.State() == Serving {
			t.Fatal("an end was called off")
		}
	}
}
