package faultinjection

import (
	"math/rand/v2"
	"slices"
	"time"
)

// LeaderKillSchedule returns a schedule that kills and restarts the leader repeatedly.
func LeaderKillSchedule(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	var list []Fault
	for at := time.Second; at < length; at += time.Duration(1200+rng.IntN(800)) * time.Millisecond {
		list = append(list, Fault{At: at, Kind: faultRestart, Targets: []string{TargetLeader},
			Duration: time.Duration(100+rng.IntN(900)) * time.Millisecond})
	}
	return list
}

// drawer draws a schedule. The order of the calls of rng must not change: a recorded seed must draw
// the same schedule in every later version.
type drawer struct {
	rng   *rand.Rand
	names []string
	list  []Fault
}

// DrawSchedule draws a schedule of the given length from a seed: faults of a wide range of kinds, most
// of which end after some time.
func DrawSchedule(seed uint64, names []string, length time.Duration) []Fault {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 7)), names: names}
	for at := 300 * time.Millisecond; at < length; at += d.milliseconds(150, 1200) {
		first, second := d.pair()
		switch {
		case d.rng.IntN(5) < 2:
			d.drawAtStep(at)
		case d.rng.IntN(12) == 0:
			d.drawClockFault(at)
		case d.rng.IntN(12) == 0:
			d.add(at, faultTerminate, d.milliseconds(50, 2000), d.target())
		default:
			d.drawAtOnce(at, first, second)
			if d.rng.IntN(3) == 0 {
				d.add(at+d.milliseconds(100, 2500), faultHeal, 0)
			}
		}
	}
	slices.SortStableFunc(d.list, func(a, b Fault) int { return int(a.At - b.At) })
	return d.list
}

// milliseconds draws a duration of at least least and less than least+spread, in milliseconds.
func (d *drawer) milliseconds(least, spread int) time.Duration {
	return time.Duration(least+d.rng.IntN(spread)) * time.Millisecond
}

// target draws a target: the leader in a quarter of the draws, otherwise an instance.
func (d *drawer) target() string {
	if d.rng.IntN(4) == 0 {
		return TargetLeader
	}
	return d.names[d.rng.IntN(len(d.names))]
}

// pair draws two different instances.
func (d *drawer) pair() (first, second string) {
	n := d.rng.IntN(len(d.names))
	return d.names[n], d.names[(n+1+d.rng.IntN(len(d.names)-1))%len(d.names)]
}

func (d *drawer) add(at time.Duration, kind FaultKind, duration time.Duration, targets ...string) {
	f := Fault{
		At:       at.Round(time.Millisecond),
		Kind:     kind,
		Targets:  targets,
		Duration: duration.Round(time.Millisecond),
	}
	if kind == faultSlow {
		f.BytesPerSecond = 200 << d.rng.IntN(8)
	}
	d.list = append(d.list, f)
}

// drawAtStep adds a fault that is injected at a step of a change.
func (d *drawer) drawAtStep(at time.Duration) {
	drawn := slices.Sorted(slices.Values(changeSteps))
	f := Fault{
		At:       at.Round(time.Millisecond),
		Step:     drawn[d.rng.IntN(len(drawn))],
		Targets:  []string{[]string{TargetLeader, TargetStepInstance, TargetProposer}[d.rng.IntN(3)]},
		Duration: time.Duration(5*(1<<d.rng.IntN(9))) * time.Millisecond,
	}
	f.Kind = []FaultKind{faultStall, faultRestart, faultRestart, faultTornWrite, faultFullDisk, faultIsolate,
		faultDeaf, faultMute, faultTransfer}[d.rng.IntN(9)]
	if !faultKinds[f.Kind].duration {
		f.Duration = 0
	}
	d.list = append(d.list, f)
	switch f.Kind {
	case faultIsolate, faultDeaf, faultMute:
		d.add(at+d.milliseconds(100, 2500), faultHeal, 0)
	}
}

// drawClockFault adds a fault that sets a wall clock ahead or behind and one that corrects it. It is
// always the clock of the first instance, so that at most one clock of the group is wrong.
func (d *drawer) drawClockFault(at time.Duration) {
	offset := []time.Duration{800 * time.Millisecond, 5 * time.Minute, time.Hour}[d.rng.IntN(3)]
	d.add(at, []FaultKind{faultClockAhead, faultClockBehind}[d.rng.IntN(2)], offset, d.names[0])
	d.add(at+d.milliseconds(500, 4000), faultClockCorrect, 0, d.names[0])
}

// drawAtOnce adds a fault of a process or of a link that waits for no step.
func (d *drawer) drawAtOnce(at time.Duration, first, second string) {
	switch d.rng.IntN(16) {
	case 0, 1, 2, 3:
		// From 5 ms to several times the length of a lease.
		d.add(at, faultStall, time.Duration(5*(1<<d.rng.IntN(10)))*time.Millisecond, d.target())
	case 4, 5:
		instance := d.names[d.rng.IntN(len(d.names))]
		d.add(at, faultKill, 0, instance)
		d.add(at+d.milliseconds(50, 3000), faultStart, 0, instance)
	case 6:
		d.add(at, faultIsolate, 0, d.target())
	case 7:
		d.add(at, faultDeaf, 0, d.target())
	case 8:
		d.add(at, faultMute, 0, d.target())
	case 9:
		d.add(at, faultCut, 0, first, second)
	case 10:
		d.add(at, faultReset, 0, first, second)
	case 11:
		d.add(at, faultHalfOpen, 0, first, second)
	case 12:
		d.add(at, faultDelay, d.milliseconds(1, 200), first, second)
	case 13:
		d.add(at, faultSlow, 0, first, second)
	case 14:
		d.add(at, faultRefuse, 0, first, second)
	default:
		d.add(at, faultHeal, 0)
	}
}

// Shrink removes faults from a schedule as long as breaks reports a violation without them. It tries
// to remove half of the schedule first, then smaller parts.
func Shrink(schedule []Fault, breaks func([]Fault) bool) []Fault {
	for size := (len(schedule) + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(schedule); {
			without := slices.Concat(schedule[:at], schedule[min(at+size, len(schedule)):])
			if breaks(without) {
				schedule = without
			} else {
				at += size
			}
		}
	}
	return schedule
}
