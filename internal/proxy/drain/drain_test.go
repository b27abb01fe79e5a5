package drain

import (
	"testing"
	"time"
)

func TestStandbyAndBack(t *testing.T) {
	var d Drain
	if !d.Standby(0) || d.State() != Steering || d.Standby(time.Second) {
		t.Fatal("the first stand-by counts, the second does not")
	}
	if d.Due(Notice-1) || !d.Due(Notice) || d.State() != Closing || d.Due(Notice) {
		t.Fatal("closing begins once, after the notice")
	}
	if changed, err := d.Active(); !changed || err != nil || d.State() != Serving {
		t.Fatal("active did not end it")
	}
	if changed, err := d.Active(); changed || err != nil {
		t.Fatal("active at a node that serves is a yes and changes nothing")
	}
}

// A drain that is called off and begun anew has its whole notice.
func TestDueOfAnEarlierDrain(t *testing.T) {
	var d Drain
	d.Standby(0)
	_, _ = d.Active()
	d.Standby(Notice / 2)
	if d.Due(Notice) || d.State() != Steering {
		t.Fatal("the first drain's time has closed the second")
	}
	if !d.Due(d.At()) {
		t.Fatal("the second drain's time has not")
	}
}

func TestEndHasNoWayBack(t *testing.T) {
	for _, before := range []func(*Drain){
		func(*Drain) {},
		func(d *Drain) { d.Standby(0) },
		func(d *Drain) { d.Standby(0); d.Due(Notice) },
	} {
		var d Drain
		before(&d)
		was := d.State()
		if !d.End(Notice) || d.End(Notice) {
			t.Fatal("the end is told once")
		}
		if was != Serving && d.State() != was {
			t.Fatal("an end during a drain began it anew")
		}
		if _, err := d.Active(); err != ErrEnding || d.State() == Serving {
			t.Fatal("an end was called off")
		}
	}
}
