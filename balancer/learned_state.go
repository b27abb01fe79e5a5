package balancer

import "time"

// LearnedState is what a balancer has learned. In a hot restart it is passed to the new process. It contains
// no requests. It is encoded as JSON with the names of the tags and with pairs as arrays; processes of other
// versions read and write it. Times are by the sender's clock.
type LearnedState struct {
	KindLoads          [][2]float64              `json:"Loads"`   // by worker kind: work, seconds
	FullKindLoads      [][2]float64              `json:"Full"`    // at full workers; not set by old versions
	ClassTallies       [][2]float64              `json:"Tallies"` // by class: offered, served in time
	KindSlots          []float64                 `json:"Slots"`
	KindRunTimeFactors []float64                 `json:"Paces"`
	ClassRunTimes      []float64                 `json:"Usual"` // seconds
	MeanRunTime        float64                   `json:"Mean"`  // seconds
	HintRatio          float64                   `json:"Ratio"`
	Arrivals           float64                   `json:"Arrived"`
	ArrivedWork        float64                   `json:"Efforts"` // of Arrivals; not set by old versions
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
	OthersInFlight    float64       `json:"Others"`
	RunTimeFactor     float64       `json:"Pace"`
	LastWait          float64       `json:"Wait"` // seconds
	FailureScore      float64       `json:"Ill"`  // 0 to 1
	LastWaitAt        time.Duration `json:"WaitT"`
	FailureScoreAt    time.Duration `json:"IllT"`
	StartedAt         time.Duration `json:"Since"` // start of the process that SlowStartSent was sent to
	SlowStartSent     []SentWork    `json:"Sent"`
	NeedsTrialRequest bool          `json:"Owed"`
}

// SentWork is the work of one request that was sent to a worker while it was warming up, in slot seconds.
type SentWork struct {
	At   time.Duration `json:"At"`
	Work float64       `json:"Work"`
}

// Learned returns what the balancer has learned. Its requests in flight are not included: they end one by
// one, and the process that restores this state is notified of their number by SetPredecessorInFlight.
func (b *Balancer) Learned() LearnedState {
	s := LearnedState{
		KindSlots: b.kindSlots, KindRunTimeFactors: b.kindRunTimeFactors, ClassRunTimes: b.classRunTimes,
		MeanRunTime: b.meanRunTime, HintRatio: b.hintRatio, Arrivals: b.arrivals, ArrivedWork: b.arrivedWork,
		ObservedSeconds: b.observedSeconds, RecentWait: b.recentWait, WaitingShare: b.waitingShare,
		RecentWaitAt: b.recentWaitAt, AveragedAt: b.averagedAt,
		Workers: make(map[WorkerID]WorkerRecord, len(b.workers)),
	}
	for _, l := range b.kindLoads {
		s.KindLoads = append(s.KindLoads, [2]float64{l.work, l.seconds})
		s.FullKindLoads = append(s.FullKindLoads, [2]float64{l.fullWork, l.fullSeconds})
	}
	for _, t := range b.classTallies {
		s.ClassTallies = append(s.ClassTallies, [2]float64{t.offered, t.served})
	}
	for _, q := range b.quotas {
		s.Quotas = append(s.Quotas, TenantQuota{q.tokens, q.offered, q.updatedAt})
	}
	for _, w := range b.workers {
		s.Workers[w.ID] = w.record()
	}
	return s
}

func (w *worker) record() WorkerRecord {
	r := WorkerRecord{OthersInFlight: w.othersInFlight, RunTimeFactor: w.runTimeFactor, LastWait: w.lastWait,
		FailureScore: w.failureScore, LastWaitAt: w.lastWaitAt, FailureScoreAt: w.failureScoreAt,
		StartedAt: w.StartedAt, NeedsTrialRequest: w.needsTrialRequest}
	for _, s := range w.slowStartSent {
		r.SlowStartSent = append(r.SlowStartSent, SentWork{s.at, s.work})
	}
	return r
}

// RestoreLearned applies what another process of this dispatcher has learned. It must be called after the
// first UpdateWorkers and before any request. Parts that don't match the settings are ignored.
//
// Without this state, a new process would not know what was just sent to workers that are warming up, nor
// which workers fail. Times are capped at now: the other process's clock may be ahead, and values that are to
// decay would grow instead.
func (b *Balancer) RestoreLearned(now time.Duration, s LearnedState) {
	workScale := 1.0 // converts the work of KindLoads and SlowStartSent to the unit of hints
	if len(s.FullKindLoads) != len(s.KindLoads) && s.HintRatio > 0 {
		workScale = 1 / s.HintRatio // old versions measure work by running times, not by hints
	}
	b.restoreKinds(s, workScale)
	b.restoreClasses(now, s)
	if len(s.Quotas) == len(b.quotas) {
		for i, q := range s.Quotas {
			b.quotas[i] = quotaBucket{tokens: q.Tokens, updatedAt: min(q.UpdatedAt, now), offered: q.Offered}
		}
	}
	for _, w := range b.workers {
		if r, ok := s.Workers[w.ID]; ok && r.RunTimeFactor > 0 {
			b.restoreWorker(now, w, r, workScale)
		}
	}
}

func (b *Balancer) restoreKinds(s LearnedState, workScale float64) {
	if len(s.KindLoads) != len(b.kindLoads) || len(s.KindSlots) != len(b.kindSlots) ||
		len(s.KindRunTimeFactors) != len(b.kindRunTimeFactors) {
		return
	}
	for i, l := range s.KindLoads {
		b.kindLoads[i] = kindLoad{work: l[0] * workScale, seconds: l[1]}
		if len(s.FullKindLoads) == len(s.KindLoads) {
			b.kindLoads[i].fullWork, b.kindLoads[i].fullSeconds = s.FullKindLoads[i][0], s.FullKindLoads[i][1]
		}
	}
	copy(b.kindSlots, s.KindSlots)
	copy(b.kindRunTimeFactors, s.KindRunTimeFactors)
}

func (b *Balancer) restoreClasses(now time.Duration, s LearnedState) {
	if len(s.ClassRunTimes) != len(b.classRunTimes) || len(s.ClassTallies) != len(b.classTallies) ||
		!(s.HintRatio > 0) {
		return
	}
	copy(b.classRunTimes, s.ClassRunTimes)
	for i, t := range s.ClassTallies {
		b.classTallies[i] = tally{t[0], t[1]}
	}
	b.meanRunTime, b.hintRatio, b.observedSeconds = s.MeanRunTime, s.HintRatio, s.ObservedSeconds
	b.arrivals, b.arrivedWork = s.Arrivals, s.ArrivedWork
	b.recentWait, b.recentWaitAt = s.RecentWait, min(s.RecentWaitAt, now)
	b.waitingShare, b.averagedAt = s.WaitingShare, min(s.AveragedAt, now)
}

func (b *Balancer) restoreWorker(now time.Duration, w *worker, r WorkerRecord, workScale float64) {
	w.othersInFlight, w.runTimeFactor = r.OthersInFlight, r.RunTimeFactor
	w.lastWait, w.lastWaitAt = r.LastWait, min(r.LastWaitAt, now)
	w.failureScore, w.failureScoreAt = r.FailureScore, min(r.FailureScoreAt, now)
	if r.NeedsTrialRequest {
		b.EndMaintenance(w.ID)
	}
	if w.StartedAt == r.StartedAt {
		for _, s := range r.SlowStartSent {
			w.slowStartSent = append(w.slowStartSent, sentWork{min(s.At, now), s.Work * workScale})
		}
	}
}

// InFlight returns, by worker, how many slots this dispatcher's requests in flight occupy there.
func (b *Balancer) InFlight() map[WorkerID]float64 {
	inFlight := map[WorkerID]float64{}
	for _, w := range b.workers {
		if w.inFlight > 0 {
			inFlight[w.ID] = w.inFlight
		}
	}
	return inFlight
}

// SetPredecessorInFlight sets how many slots the requests of the process that this one replaces occupy at a
// worker.
//
// If they were counted as requests of other dispatchers, they would decay only as load reports arrive, while
// this process's own requests replace them: workers would look full, and requests would be rejected.
func (b *Balancer) SetPredecessorInFlight(id WorkerID, inFlight float64) {
	if w := b.workerByID[id]; w != nil {
		w.predecessorInFlight = inFlight
	}
}
