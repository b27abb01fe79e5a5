package membership

import (
	"slices"
	"testing"
	"time"
)

// probing gives a machine of three that has a probe under way, and when that began.
func probing(t *testing.T) (m *Detector, now time.Duration) {
	t.Helper()
	m = New(0, 1, 0, 1, DefaultPolicy())
	m.AddMembers(0, 2, 3)
	for ; m.probe.done; now = m.NextTick() {
		m.Tick(now)
	}
	return m, now
}

func (m *Detector) suspects() (n int) {
	for _, b := range m.Members() {
		if b.State != Alive {
			n++
		}
	}
	return n
}

// One that stood still accuses nobody of what it had asked before, and takes itself to be slow.
func TestAfterAStallItDoubtsItself(t *testing.T) {
	m, now := probing(t)
	m.Tick(now + 30*time.Second)
	if m.suspects() > 0 || m.HealthScore() == 0 || m.Counters().Stalls != 1 {
		t.Errorf("it suspects %d, slow %d, %+v", m.suspects(), m.HealthScore(), m.Counters())
	}
}

// Where nobody says anything, nor those who are asked for help, its times are stretched; and whom it
// suspects it tells so each time.
func TestWhoHearsNobodyIsSlowAndTellsWhomItSuspects(t *testing.T) {
	m, now := probing(t)
	for m.suspects() == 0 {
		m.Tick(now)
		now = m.NextTick()
	}
	if m.HealthScore() == 0 || m.nextProbe-now < m.policy.ProbeInterval {
		t.Errorf("it hears nobody, slow %d, the next probe in %v", m.HealthScore(), m.nextProbe-now)
	}
	var accused ID
	for _, b := range m.Members() {
		if b.State == Suspect {
			accused = b.ID
		}
	}
	for range 5 {
		out := m.Tick(m.nextGossip)
		if !slices.ContainsFunc(out, func(o Outbound) bool {
			return o.To == accused && slices.ContainsFunc(o.Updates, func(r Update) bool {
				return r.ID == accused && r.State == Suspect
			})
		}) {
			t.Fatalf("%d is suspected, and not told: %+v", accused, out)
		}
	}
}

// A rumour of the dead makes no member of one that is not known.
func TestTheDeadAreNotLearntOf(t *testing.T) {
	m := New(0, 1, 0, 1, DefaultPolicy())
	m.Receive(
		0,
		2,
		Message{
			Kind:    Ping,
			Updates: []Update{{ID: 9, State: Failed, Incarnation: 3}, {ID: 8, State: Departed}},
		},
	)
	if len(m.Members()) != 1 {
		t.Errorf("it knows %+v", m.Members())
	}
}
