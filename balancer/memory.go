package balancer

// What one process of a dispatcher can tell the one that takes its place.

import "time"

// LearnedState is what a balancer has learned, for the process that replaces its own in a hot restart. It
// holds no request. Its encoded form is JSON under the names of the tags, with pairs as arrays: processes of
// other versions read and write it. Times are of the sender's clock.
type LearnedState struct {
	KindLoads          [][2]float64              `json:"Loads"`   // by worker kind: work, seconds
	FullKindLoads      [][2]float64              `json:"Full"`    // likewise, at full workers; absent in old versions
	ClassTallies       [][2]float64              `json:"Tallies"` // by class: offered, served in time
	KindSlots          []float64                 `json:"Slots"`
	KindRunTimeFactors []float64                 `json:"Paces"`
	ClassRunTimes      []float64                 `json:"Usual"` // seconds
	MeanRunTime        float64                   `json:"Mean"`  // seconds
	HintRatio          float64                   `json:"Ratio"`
	Arrivals           float64                   `json:"Arrived"`
	ArrivedWork        float64                   `json:"Efforts"` // of the arrivals; absent in old versions
	ObservedSeconds    float64                   `json:"Watched"`
	RecentWait         float64                   `json:"Wait"`  // seconds
	WaitingShare       float64                   `json:"Crowd"` // 0 to 1
	RecentWaitAt       time.Duration             `json:"WaitT"`
	AveragedAt         time.Duration             `json:"Surveyed"`
	Quotas             []TenantQuota             `json:"Allowances"` // by tenant
	Workers            map[WorkerID]WorkerRecord `json:"Workers"`
}

// TenantQuota is a tenant's token bucket, in requests.
type TenantQuota struct {
	Tokens    float64       `json:"Left"`
	Offered   float64       `json:"Asked"`
	UpdatedAt time.Duration `json:"At"`
}

// WorkerRecord is what a balancer has learned of one worker.
type WorkerRecord struct {
	OthersInFlight float64       `json:"Others"`
	RunTimeFactor  float64       `json:"Pace"`
	LastWait       float64       `json:"Wait"` // seconds
	FailureScore   float64       `json:"Ill"`  // 0 to 1
	LastWaitAt     time.Duration `json:"WaitT"`
	FailureScoreAt time.Duration `json:"IllT"`
	StartedAt      time.Duration `json:"Since"` // of the process that SlowStartSent was sent to
	SlowStartSent  []SentWork    `json:"Sent"`
	OwedRequest    bool          `json:"Owed"`
}

// SentWork is one request's work that a worker was sent while it was warming up, in slot seconds.
type SentWork struct {
	At   time.Duration `json:"At"`
	Work float64       `json:"Work"`
}

// Learned gives what the dispatcher has learned. Its unfinished jobs are not in it: they
// end one by one, and whoever recalls this is told of them by Beside.
func (b *Balancer) Learned() LearnedState {
	m := LearnedState{KindSlots: b.slots, KindRunTimeFactors: b.paces, ClassRunTimes: b.usual, MeanRunTime: b.mean, HintRatio: b.ratio,
		Arrivals: b.arrived, ArrivedWork: b.efforts, ObservedSeconds: b.watched, RecentWait: b.wait, WaitingShare: b.crowd,
		RecentWaitAt: b.waitT,
		AveragedAt:   b.surveyed, Workers: make(map[WorkerID]WorkerRecord, len(b.workers))}
	for _, l := range b.loads {
		m.KindLoads = append(m.KindLoads, [2]float64{l.work, l.seconds})
		m.FullKindLoads = append(m.FullKindLoads, [2]float64{l.fullWork, l.fullSeconds})
	}
	for _, t := range b.tallies {
		m.ClassTallies = append(m.ClassTallies, [2]float64{t.asked, t.served})
	}
	for _, t := range b.tenants {
		m.Quotas = append(m.Quotas, TenantQuota{t.left, t.asked, t.at})
	}
	for _, w := range b.workers {
		k := WorkerRecord{OthersInFlight: w.others, RunTimeFactor: w.pace, LastWait: w.wait, FailureScore: w.ill,
			LastWaitAt: w.waitT, FailureScoreAt: w.illT, StartedAt: w.StartedAt, OwedRequest: w.owed}
		for _, l := range w.sent {
			k.SlowStartSent = append(k.SlowStartSent, SentWork{l.at, l.work})
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
	if len(m.FullKindLoads) != len(m.KindLoads) && m.HintRatio > 0 {
		unit = 1 / m.HintRatio // hazard: an older process counts it as long as jobs run, not by their hints
	}
	if len(m.KindLoads) == len(b.loads) && len(m.KindSlots) == len(b.slots) && len(m.KindRunTimeFactors) == len(b.paces) {
		for i, l := range m.KindLoads {
			b.loads[i] = kindLoad{work: l[0] * unit, seconds: l[1]}
			if len(m.FullKindLoads) == len(m.KindLoads) {
				b.loads[i].fullWork, b.loads[i].fullSeconds = m.FullKindLoads[i][0], m.FullKindLoads[i][1]
			}
		}
		copy(b.slots, m.KindSlots)
		copy(b.paces, m.KindRunTimeFactors)
	}
	if len(m.ClassRunTimes) == len(b.usual) && len(m.ClassTallies) == len(b.tallies) && m.HintRatio > 0 {
		copy(b.usual, m.ClassRunTimes)
		for i, t := range m.ClassTallies {
			b.tallies[i] = tally{t[0], t[1]}
		}
		b.mean, b.ratio, b.watched = m.MeanRunTime, m.HintRatio, m.ObservedSeconds
		b.arrived, b.efforts = m.Arrivals, m.ArrivedWork
		b.wait, b.waitT, b.crowd, b.surveyed = m.RecentWait, min(m.RecentWaitAt, now), m.WaitingShare, min(m.AveragedAt, now)
	}
	if len(m.Quotas) == len(b.tenants) {
		for i, a := range m.Quotas {
			b.tenants[i] = allowance{left: a.Tokens, at: min(a.UpdatedAt, now), asked: a.Offered}
		}
	}
	for _, w := range b.workers {
		k, ok := m.Workers[w.ID]
		if !ok || k.RunTimeFactor <= 0 {
			continue
		}
		w.others, w.pace, w.wait, w.ill = k.OthersInFlight, k.RunTimeFactor, k.LastWait, k.FailureScore
		w.waitT, w.illT = min(k.LastWaitAt, now), min(k.FailureScoreAt, now)
		if k.OwedRequest {
			b.EndMaintenance(w.ID)
		}
		if w.StartedAt == k.StartedAt {
			for _, s := range k.SlowStartSent {
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
