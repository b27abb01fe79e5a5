package balancer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// The tokens of timers.
const (
	sweepTimer = iota // the one repeated timer
	listTimer         // requests the list again
)

// Balancer decides for one dispatcher. New makes one.
type Balancer struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand

	workers            []*worker // by ID
	workerByID         map[WorkerID]*worker
	owedWorkers        int // how many get one of the next requests
	drawBuffer         []*worker
	kindLoads          []kindLoad
	kindSlots          []float64 // by kind: the most free slots that a worker has reported
	kindRunTimeFactors []float64 // by kind: running times, relative to those of all kinds

	requests     []*request // the open ones, in an order that repeats
	requestByID  map[RequestID]*request
	freeRequests []*request
	waiting      []*request // those that wait for load reports or for the first list
	requestTimes timeQueue  // of Submit, for the retry budget
	retryTimes   timeQueue  // of attempts after a request's first, for the same

	// The averages fade over one slow-start window.
	averagedAt      time.Duration // when they were updated
	arrivals        float64       // requests
	arrivedWork     float64       // and their work, as hinted
	observedSeconds float64       // over which these and quotas' offered requests were counted, faded alike
	classTallies    []tally
	quotas          []quotaBucket // by tenant
	rateBuffer      []float64

	classRunTimes []float64     // by class: the usual running time, seconds
	meanRunTime   float64       // over all classes, seconds
	hintRatio     float64       // the usual running time over the hinted one
	recentWait    float64       // seconds that requests have waited lately
	recentWaitAt  time.Duration // when that was updated
	waitingShare  float64       // share of recent requests that had to wait, 0 to 1
	loadsStale    bool          // load reports are too old to decide by

	minTimeout      time.Duration // the least timeout of a class
	started         bool
	startedAt       time.Duration
	listReceived    bool
	failedListCalls int // in a row

	rejectedCount int // since the last log line
	failedCount   int // likewise
	loggedAt      time.Duration
}

// worker is what this dispatcher knows of one worker.
type worker struct {
	Worker

	inFlight             float64       // slots that this dispatcher's requests take there
	otherProcessInFlight float64       // those of the process that this one replaces
	othersInFlight       float64       // those of other dispatchers, estimated from load reports
	owedRequest          bool          // operators have put it back, and it has had no request since
	slowStartSent        []sentWork    // recent requests to it while it was warming up
	checkedAt            time.Duration // when its load report was last requested
	lastReportFull       bool          // its last load report showed next to no free slots
	homeDistance         float64       // from this dispatcher's home, in workers

	runTimeFactor float64       // its running times, relative to those of its kind
	lastWait      float64       // seconds that the last request to start there had waited
	lastWaitAt    time.Duration // when that was
	unstartedWait float64       // seconds that this dispatcher's oldest unstarted request has waited
	running       int           // requests of this dispatcher that it has reported to run
	progressAt    time.Duration // when it last reported on a request of this dispatcher

	failureScore   float64       // its recent failures, 0 to 1
	failureScoreAt time.Duration // when that was last faded
}

// sentWork is one request's work that a worker was sent.
type sentWork struct {
	at   time.Duration
	work float64 // slot seconds, as hinted
}

// attempt is one Send of a request.
type attempt struct {
	worker    *worker
	sentAt    time.Duration
	startedAt time.Duration // when the worker reported that it runs; 0: it has not
	ended     bool
	neverRan  bool // proven
}

// mayHaveRun reports whether nothing proves that the request never ran.
func (a attempt) mayHaveRun() bool { return !a.neverRan }

// request is an open request: until it has its final response and its attempts have ended.
type request struct {
	Request

	class     *Class // as it was when the request came
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []attempt
	inFlight  int  // attempts that have not ended
	overQuota bool // beyond its tenant's quota
	responded bool // it has its final response; nothing more may be sent
	index     int  // in Balancer.requests

	tier         int  // of its route, at which it is tried
	allowEjected bool // where all workers are ejected, they are drawn all the same

	waiting      bool          // for load reports or for the first list
	waitingSince time.Duration // for load reports
	checked      []*worker     // whose load reports it waits for, those that have come first
	answered     int           // how many have come
}

// timeQueue keeps recent times, oldest first.
type timeQueue []time.Duration

// countAfter drops the times up to and including t, and counts the rest.
func (q *timeQueue) countAfter(t time.Duration) int {
	n := 0
	for n < len(*q) && (*q)[n] <= t {
		n++
	}
	*q = (*q)[n:]
	return len(*q)
}

// tally is how much of a class was offered lately, and how much of that was served in time, in goal units.
type tally struct{ offered, served float64 }

// quotaBucket is a tenant's token bucket at this dispatcher.
type quotaBucket struct {
	tokens    float64 // requests
	updatedAt time.Duration
	offered   float64 // requests lately
}

// kindLoad is the load that warm workers of one kind are observed to take: over all the time that they are
// there, and over the part of it in which they were full.
type kindLoad struct{ work, seconds, fullWork, fullSeconds float64 }

// add counts work that was finished, or seconds of a worker that was there.
func (l *kindLoad) add(work, seconds float64, full bool) {
	l.work += work
	l.seconds += seconds
	if full {
		l.fullWork += work
		l.fullSeconds += seconds
	}
}

// peerMessage names the worker to other dispatchers; see ReceivePeer.
func (w *worker) peerMessage() []byte { return binary.BigEndian.AppendUint32(nil, uint32(w.ID)) }

// pruneRemoved forgets the workers that are removed and have no request of this dispatcher, and orders the
// rest.
func (b *Balancer) pruneRemoved() {
	b.workers = filter(b.workers, func(w *worker) bool {
		if w.State == Removed && w.inFlight == 0 {
			if delete(b.workerByID, w.ID); w.owedRequest {
				b.owedWorkers--
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
		w.Size = 1 // it is no measure of the machine
	}
}

// sameKeyGroup reports whether two workers share their memory of a class's idempotency keys.
func sameKeyGroup(c *Class, v, w *worker) bool {
	switch c.KeyScope {
	case ScopeZone:
		return v.Zone == w.Zone
	case ScopeCell:
		return v.Cell == w.Cell && v.Zone == w.Zone
	}
	return true
}

// fadeAverages multiplies all averages over time, so that what is to come counts for more.
func (b *Balancer) fadeAverages(by float64) {
	for i, l := range b.kindLoads {
		b.kindLoads[i] = kindLoad{l.work * by, l.seconds * by, l.fullWork * by, l.fullSeconds * by}
	}
	for i, t := range b.classTallies {
		b.classTallies[i] = tally{t.offered * by, t.served * by}
	}
	for i := range b.quotas {
		b.quotas[i].offered *= by
	}
	b.arrivals *= by
	b.arrivedWork *= by
	b.observedSeconds *= by
}

// filter drops the elements of s that ok rejects, in place.
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
