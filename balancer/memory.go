package balancer

// What one process of a dispatcher can tell the one that takes its place.

import "time"

// LearnedState is what a dispatcher has learned. It holds no request.
type LearnedState struct {
	Loads, Full, Tallies [][2]float64 // Full is the part of Loads at full workers; an older process has none
	Slots, Paces, Usual  []float64
	Mean, Ratio, Arrived float64
	Efforts              float64 // of the arrived; an older process has none
	Watched, Wait, Crowd float64
	WaitT, Surveyed      time.Duration
	Allowances           []TenantQuota
	Workers              map[WorkerID]WorkerRecord
}

// TenantQuota is what a tenant may still send, and has asked for.
type TenantQuota struct {
	Left, Asked float64
	At          time.Duration
}

// WorkerRecord is what it believes of a worker.
type WorkerRecord struct {
	Others, Pace, Wait, Ill float64
	WaitT, IllT             time.Duration
	Since                   time.Duration // of the start that Sent was sent to
	Sent                    []SentWork    // to a cold worker
	Owed                    bool
}

// SentWork is work sent to a cold worker.
type SentWork struct {
	At   time.Duration
	Work float64
}

// Learned gives what the dispatcher has learned. Its unfinished jobs are not in it: they
// end one by one, and whoever recalls this is told of them by Beside.
func (b *Balancer) Learned() LearnedState {
	m := LearnedState{Slots: b.slots, Paces: b.paces, Usual: b.usual, Mean: b.mean, Ratio: b.ratio,
		Arrived: b.arrived, Efforts: b.efforts, Watched: b.watched, Wait: b.wait, Crowd: b.crowd,
		WaitT:    b.waitT,
		Surveyed: b.surveyed, Workers: make(map[WorkerID]WorkerRecord, len(b.workers))}
	for _, l := range b.loads {
		m.Loads = append(m.Loads, [2]float64{l.work, l.seconds})
		m.Full = append(m.Full, [2]float64{l.fullWork, l.fullSeconds})
	}
	for _, t := range b.tallies {
		m.Tallies = append(m.Tallies, [2]float64{t.asked, t.served})
	}
	for _, t := range b.tenants {
		m.Allowances = append(m.Allowances, TenantQuota{t.left, t.asked, t.at})
	}
	for _, w := range b.workers {
		k := WorkerRecord{Others: w.others, Pace: w.pace, Wait: w.wait, Ill: w.ill,
			WaitT: w.waitT, IllT: w.illT, Since: w.StartedAt, Owed: w.owed}
		for _, l := range w.sent {
			k.Sent = append(k.Sent, SentWork{l.at, l.work})
		}
		m.Workers[w.ID] = k
	}
	return m
}

// RestoreLearned takes over what another process of this dispatcher has learned, after Members
// and before any request. What does not fit these settings is left out.
//
// Hazard: a dispatcher that starts with nothing does not know what was just spent on cold
// workers, nor which ones fail. Another process's clock may be ahead of this one's, and
// what is to fade with time would grow.
func (b *Balancer) RestoreLearned(now time.Duration, m LearnedState) {
	unit := 1.0 // of cold workers' work
	if len(m.Full) != len(m.Loads) && m.Ratio > 0 {
		unit = 1 / m.Ratio // hazard: an older process counts it as long as jobs run, not by their hints
	}
	if len(m.Loads) == len(b.loads) && len(m.Slots) == len(b.slots) && len(m.Paces) == len(b.paces) {
		for i, l := range m.Loads {
			b.loads[i] = kindLoad{work: l[0] * unit, seconds: l[1]}
			if len(m.Full) == len(m.Loads) {
				b.loads[i].fullWork, b.loads[i].fullSeconds = m.Full[i][0], m.Full[i][1]
			}
		}
		copy(b.slots, m.Slots)
		copy(b.paces, m.Paces)
	}
	if len(m.Usual) == len(b.usual) && len(m.Tallies) == len(b.tallies) && m.Ratio > 0 {
		copy(b.usual, m.Usual)
		for i, t := range m.Tallies {
			b.tallies[i] = tally{t[0], t[1]}
		}
		b.mean, b.ratio, b.watched = m.Mean, m.Ratio, m.Watched
		b.arrived, b.efforts = m.Arrived, m.Efforts
		b.wait, b.waitT, b.crowd, b.surveyed = m.Wait, min(m.WaitT, now), m.Crowd, min(m.Surveyed, now)
	}
	if len(m.Allowances) == len(b.tenants) {
		for i, a := range m.Allowances {
			b.tenants[i] = allowance{left: a.Left, at: min(a.At, now), asked: a.Asked}
		}
	}
	for _, w := range b.workers {
		k, ok := m.Workers[w.ID]
		if !ok || k.Pace <= 0 {
			continue
		}
		w.others, w.pace, w.wait, w.ill = k.Others, k.Pace, k.Wait, k.Ill
		w.waitT, w.illT = min(k.WaitT, now), min(k.IllT, now)
		if k.Owed {
			b.EndMaintenance(w.ID)
		}
		if w.StartedAt == k.Since {
			for _, s := range k.Sent {
				w.sent = append(w.sent, load{min(s.At, now), s.Work * unit})
			}
		}
	}
}

// InFlight gives, by worker, what the dispatcher has unfinished there.
func (b *Balancer) InFlight() map[WorkerID]float64 {
	held := map[WorkerID]float64{}
	for _, w := range b.workers {
		if w.own > 0 {
			held[w.ID] = w.own
		}
	}
	return held
}

// SetOtherInFlight tells what another process of this dispatcher, whose memory it recalled, has
// unfinished at a worker.
//
// Hazard: taken as jobs of unknown others they fade only as reports come, while this
// process's own rise in their place: workers look full, and jobs are refused.
func (b *Balancer) SetOtherInFlight(id WorkerID, held float64) {
	if w := b.byID[id]; w != nil {
		w.beside = held
	}
}
