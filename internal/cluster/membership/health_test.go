package membership

import (
	"slices"
	"testing"
	"time"
)

// newProbingDetector returns the detector of one of three members with a probe in progress, and the time of
// its next tick.
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

// After a stall a member must not suspect others because of pings sent before the stall, and its health score
// worsens.
func TestStalledMemberSuspectsNobody(t *testing.T) {
	d, now := newProbingDetector(t)
	d.Tick(now + 30*time.Second)
	if countNotAlive(d) > 0 || d.HealthScore() == 0 || d.Counters().Stalls != 1 {
		t.Errorf("%d members not alive, want 0; health score %d, want above 0; counters %+v, want Stalls 1",
			countNotAlive(d), d.HealthScore(), d.Counters())
	}
}

// A member that receives nothing, not even from helpers, lengthens its probe times. It also sends its
// suspicion to the suspect in every gossip round, so that the suspect can refute it.
func TestIsolatedMemberSlowsDownAndGossipsToItsSuspect(t *testing.T) {
	d, now := newProbingDetector(t)
	for countNotAlive(d) == 0 {
		d.Tick(now)
		now = d.NextTick()
	}
	if d.HealthScore() == 0 || d.nextProbe-now < d.policy.ProbeInterval {
		t.Errorf("isolated member: health score %d, want above 0; next probe in %v, want at least 1s",
			d.HealthScore(), d.nextProbe-now)
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
			t.Fatalf("suspect %d was not sent its suspicion: %+v", suspect, out)
		}
	}
}
