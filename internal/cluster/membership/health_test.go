package membership

import (
	"slices"
	"testing"
	"time"
)

// newProbingDetector returns one of three members with a probe under way, and when that began.
func newProbingDetector(t *testing.T) (d *Detector, now time.Duration) {
	t.Helper()
	d = New(0, 1, 0, 1, DefaultPolicy())
	d.AddMembers(0, 2, 3)
	for ; d.probe.done; now = d.NextTick() {
		d.Tick(now)
	}
	return d, now
}

func countNotAlive(d *Detector) (count int) {
	for _, m := range d.Members() {
		if m.State != Alive {
			count++
		}
	}
	return count
}

// After a stall a member suspects nobody for pings that were sent before, and its health score worsens.
func TestStalledMemberSuspectsNobody(t *testing.T) {
	d, now := newProbingDetector(t)
	d.Tick(now + 30*time.Second)
	if countNotAlive(d) > 0 || d.HealthScore() == 0 || d.Counters().Stalls != 1 {
		t.Errorf("it suspects %d, health score %d, %+v", countNotAlive(d), d.HealthScore(), d.Counters())
	}
}

// A member that receives nothing, not even from helpers, stretches its times; and it sends its suspicion to
// the suspect each time.
func TestIsolatedMemberSlowsDownAndGossipsToItsSuspect(t *testing.T) {
	d, now := newProbingDetector(t)
	for countNotAlive(d) == 0 {
		d.Tick(now)
		now = d.NextTick()
	}
	if d.HealthScore() == 0 || d.nextProbe-now < d.policy.ProbeInterval {
		t.Errorf("it receives nothing, health score %d, the next probe in %v", d.HealthScore(),
			d.nextProbe-now)
	}
	var suspect ID
	for _, m := range d.Members() {
		if m.State == Suspect {
			suspect = m.ID
		}
	}
	isSuspicion := func(u Update) bool { return u.ID == suspect && u.State == Suspect }
	for range 5 {
		out := d.Tick(d.nextGossip)
		if !slices.ContainsFunc(out, func(o Outbound) bool {
			return o.To == suspect && slices.ContainsFunc(o.Updates, isSuspicion)
		}) {
			t.Fatalf("%d is suspected, and not sent that: %+v", suspect, out)
		}
	}
}
