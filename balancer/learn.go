package balancer

// Decisions: what ends of attempts and load reports tell of workers.

import (
	"cmp"
	"time"
)

// learn takes what the end of an attempt tells of its worker.
func (b *Balancer) learn(now time.Duration, q *request, t *attempt, o *AttemptOutcome) {
	w := t.w
	b.report(w, &o.Report)
	switch o.Result {
	case ServerError, ConnectionReset, ConnectFailed:
		b.fails(now, w)
		// Hazard: each of many would lose unsafe jobs to w before it knows. A broken path may be ours alone.
		if o.Result == ServerError && b.set.Limits.PeerMessages {
			b.act.SendPeer(AllPeers, w.name())
		}
		return
	case WorkerFull:
		// Its queue is full: the wait there is a running time at least.
		w.wait, w.waitT = max(b.seenWait(now, w), b.mean*b.paceOf(now, w)), now
		if b.set.ReportsStart { // hazard: else no job is seen to meet none, and only bad news comes in
			b.meets(now, w.wait)
		}
		return
	case OK:
		w.ill = b.illness(now, w) * (1 - blend)
	default:
		return
	}
	if b.warmth(now, w) == 1 {
		b.loads[w.Kind].add(b.effort(q), 0, w.full)
	}
	ran := (now - max(t.sent, t.start)).Seconds()
	usual := &b.usual[q.Class]
	*usual = cmp.Or(*usual, ran)
	if hint := q.ExpectedWork.Seconds(); hint > 0 {
		b.ratio += slow * (min(ran/hint, outlier) - b.ratio)
	}
	expect := max(b.expect(q), tiny)
	ran = min(ran, outlier*expect)
	sample := ran / expect * b.warmth(now, w)
	// Hazards: each of many workers is met too seldom to know it; times of nothing leave a pace of zero.
	kind := &b.paces[w.Kind]
	*kind = max(slow, *kind+slow/4*(sample/w.pace-*kind))
	w.pace = max(slow, w.pace+slow/4*(sample / *kind - w.pace))
	*usual += slow * (ran - *usual)
	b.mean += slow * (ran - b.mean)
	c := q.class
	if (now - q.came).Seconds() <= c.LatencyObjective.Seconds()+c.ObjectiveStretch*ran {
		b.tallies[q.Class].served += b.units(q)
	}
}

// report takes a load report, if one came; being late and noisy, it is averaged.
//
// Hazard: reports in answers come only from where jobs go, so that all follow the same stale news and
// refuse by it, and get no other: they count little. Probes ask every worker alike and count more.
func (b *Balancer) report(w *worker, r *LoadReport) {
	if !r.Received || r.FreeSlots < 0 {
		return
	}
	b.slots[w.Kind] = max(b.slots[w.Kind], r.FreeSlots)
	w.full = r.FreeSlots <= nearly*b.slots[w.Kind]
	held := b.slots[w.Kind] - r.FreeSlots + max(r.QueueLength, 0)
	weight := slow
	if b.set.LoadReportsByCheck {
		weight = blend
	}
	if b.blind {
		weight = 1 // what was known before is long past
	}
	w.others += weight * (held - w.own - w.beside - w.others)
}

// usualWait is the wait that our jobs have met lately, at whatever worker.
func (b *Balancer) usualWait(now time.Duration) float64 {
	return max(0, b.wait-(now-b.waitT).Seconds())
}

// meets takes a wait that a job of ours has met.
func (b *Balancer) meets(now time.Duration, wait float64) {
	usual := b.usualWait(now)
	b.wait, b.waitT = usual+blend*(wait-usual), now
	if b.crowd *= 1 - slow; wait > early*b.mean {
		b.crowd += slow
	}
}
