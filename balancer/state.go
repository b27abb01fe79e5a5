package balancer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// The tokens of the timers.
const (
	sweepTimer = iota // the only periodic timer
	listTimer         // requests the list again
)

// Balancer makes the decisions of one dispatcher. Use New to create one.
type Balancer struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand

	workers             []*worker // in order of ID
	workerByID          map[WorkerID]*worker
	workersNeedingTrial int // how many must get one of the next requests
	drawBuffer          []*worker
	kindLoads           []kindLoad
	kindSlots           []float64 // by kind: the most free slots that any worker has reported
	kindRunTimeFactors  []float64 // by kind: running time, relative to that of all kinds

	requests     []*request // open requests, in a deterministic order
	requestByID  map[RequestID]*request
	freeRequests []*request
	waiting      []*request // requests that wait for load reports or for the first list
	requestTimes timeQueue  // when requests were submitted, for the retry budget
	retryTimes   timeQueue  // when retries were sent, for the retry budget

	// The averages decay over one slow-start window.
	averagedAt      time.Duration // when they were last updated
	arrivals        float64       // requests
	arrivedWork     float64       // work of these requests, in the unit of the hints
	observedSeconds float64       // time over which these and quotas' offered requests were counted, decayed
	classTallies    []tally
	quotas          []quotaBucket // by tenant
	valueRateBuffer []float64

	classRunTimes []float64     // by class: the usual running time, in seconds
	meanRunTime   float64       // over all classes, in seconds
	hintRatio     float64       // the usual ratio of running time to hint
	recentWait    float64       // moving average of waits, in seconds
	recentWaitAt  time.Duration // when recentWait was last updated
	waitingShare  float64       // share of recent requests that had to wait, 0 to 1
	loadsStale    bool          // load reports are too old to base decisions on

	minTimeout      time.Duration // the least timeout of a class
	started         bool
	startedAt       time.Duration
	listReceived    bool
	failedListCalls int // consecutive

	rejectedCount int // since the last log line
	failedCount   int // since the last log line
	loggedAt      time.Duration
}

// worker is the state that this dispatcher keeps of a worker.
type worker struct {
	Worker

	inFlight            float64       // slots of this dispatcher's requests
	predecessorInFlight float64       // slots of requests of the process that this one replaces
	othersInFlight      float64       // slots of other dispatchers' requests, estimated from load reports
	needsTrialRequest   bool          // maintenance has ended, and no request was sent to it since
	slowStartSent       []sentWork    // recent requests sent to it while it was warming up
	checkedAt           time.Duration // when its load report was last requested
	lastReportFull      bool          // its last load report showed few free slots or none
	ringDistance        float64       // from this dispatcher's position on the ring, in workers

	runTimeFactor float64       // its running time, relative to that of its kind
	lastWait      float64       // how many seconds the last request to start there had waited
	lastWaitAt    time.Duration // when lastWait was observed
	unstartedWait float64       // how many seconds this dispatcher's oldest unstarted request has waited
	running       int           // requests of this dispatcher that it has reported as running
	progressAt    time.Duration // when it last reported on a request of this dispatcher

	failureScore   float64       // moving average of its failures, 0 to 1
	failureScoreAt time.Duration // when the score was last decayed
}

// sentWork is the work of one request that was sent to a worker.
type sentWork struct {
	at   time.Duration
	work float64 // in slot seconds, by the unit of the hints
}

// attempt is one Send of a request.
type attempt struct {
	worker    *worker
	sentAt    time.Duration
	startedAt time.Duration // when the worker reported its start; 0: not started
	ended     bool
	neverRan  bool // it is proven that the request did not run
}

// mayHaveRun reports whether the request may have run in this attempt.
func (a attempt) mayHaveRun() bool { return !a.neverRan }

// request is an open request: it has no final response yet, or has attempts in flight.
type request struct {
	Request

	class     *Class // as configured when the request arrived
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []attempt
	inFlight  int  // number of attempts in flight
	overQuota bool // exceeds its tenant's quota
	responded bool // it has its final response; nothing more may be sent
	index     int  // in Balancer.requests

	tier         int  // the tier of its route that it currently uses
	allowEjected bool // ejected workers may be drawn if no worker is healthy

	waiting         bool          // for load reports or for the first list
	waitingSince    time.Duration // when the wait for load reports began
	checked         []*worker     // workers whose load reports it waits for; first those that have reported
	reportsReceived int           // how many of them have reported
}

// timeQueue holds recent times in ascending order.
type timeQueue []time.Duration

// countAfter removes the times up to and including t, and returns the number of the others.
func (q *timeQueue) countAfter(t time.Duration) int {
	n := 0
	for n < len(*q) && (*q)[n] <= t {
		n++
	}
	*q = (*q)[n:]
	return len(*q)
}

// tally counts, in goal units, how much of a class was offered recently and how much of that was served in
// time.
type tally struct{ offered, served float64 }

// quotaBucket is a tenant's token bucket at this dispatcher.
type quotaBucket struct {
	tokens    float64 // requests
	updatedAt time.Duration
	offered   float64 // requests submitted recently, decayed
}

// kindLoad is the observed load of warm workers of one kind: over all their time, and over the time in which
// they were full.
type kindLoad struct{ work, seconds, fullWork, fullSeconds float64 }

// add adds finished work, or seconds for which a worker was available.
func (l *kindLoad) add(work, seconds float64, full bool) {
	l.work += work
	l.seconds += seconds
	if full {
		l.fullWork += work
		l.fullSeconds += seconds
	}
}

// peerMessage returns the message that reports a failure of w to other dispatchers; see ReceivePeer.
func (w *worker) peerMessage() []byte { return binary.BigEndian.AppendUint32(nil, uint32(w.ID)) }

// pruneRemoved deletes the removed workers that have no request of this dispatcher in flight, and sorts the
// others by ID.
func (b *Balancer) pruneRemoved() {
	b.workers = filter(b.workers, func(w *worker) bool {
		if w.State == Removed && w.inFlight == 0 {
			if delete(b.workerByID, w.ID); w.needsTrialRequest {
				b.workersNeedingTrial--
			}
			return false
		}
		return true
	})
	slices.SortFunc(b.workers, func(v, w *worker) int { return cmp.Compare(v.ID, w.ID) })
}

// updateWorker adds or updates a worker.
func (b *Balancer) updateWorker(e Worker) {
	w := b.workerByID[e.ID]
	if w == nil {
		w = &worker{runTimeFactor: 1}
		b.workerByID[e.ID] = w
		b.workers = append(b.workers, w)
	}
	if w.StartedAt != e.StartedAt {
		w.slowStartSent = w.slowStartSent[:0]
	}
	w.Worker = e
	w.Kind = min(max(w.Kind, 0), b.settings.WorkerKinds-1)
	if b.settings.SizeMeaning == SizeNone || b.settings.SizeMeaning == SizeLive || w.Size <= 0 {
		w.Size = 1 // the reported size does not measure its capacity
	}
}

// sameKeyGroup reports whether two workers share the idempotency keys of a class.
func sameKeyGroup(c *Class, v, w *worker) bool {
	switch c.KeyScope {
	case ScopeZone:
		return v.Zone == w.Zone
	case ScopeCell:
		return v.Cell == w.Cell && v.Zone == w.Zone
	}
	return true
}

// decayAverages multiplies all averages over time by a factor, so that newer values weigh more.
func (b *Balancer) decayAverages(decay float64) {
	for i, l := range b.kindLoads {
		b.kindLoads[i] = kindLoad{l.work * decay, l.seconds * decay,
			l.fullWork * decay, l.fullSeconds * decay}
	}
	for i, t := range b.classTallies {
		b.classTallies[i] = tally{t.offered * decay, t.served * decay}
	}
	for i := range b.quotas {
		b.quotas[i].offered *= decay
	}
	b.arrivals *= decay
	b.arrivedWork *= decay
	b.observedSeconds *= decay
}

// filter keeps the elements of s that satisfy ok, in place.
func filter[T any](s []T, ok func(T) bool) []T {
	kept := s[:0]
	for _, x := range s {
		if ok(x) {
			kept = append(kept, x)
		}
	}
	clear(s[len(kept):])
	return kept
}
