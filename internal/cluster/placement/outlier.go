package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Thresholds of outlier reports, and bounds of the data kept for them.
const (
	// minFailures is how many attempts must have failed within observationWindow: consecutive ones, or at
	// least half of all. The balancer itself soon sends few jobs to a worker that fails, so there are few
	// attempts to observe.
	minFailures       = 2
	observationWindow = 10 * time.Second
	// reportLifetime is how long a report counts unless it is renewed.
	reportLifetime = 3 * time.Second
	// reportQuorum is how many instances must report a worker before it is ejected.
	reportQuorum = 2
	// ejectedDivisor bounds ejection: reports eject at most 1/ejectedDivisor of the listed workers.
	ejectedDivisor = 3
	// recoverySuccesses is how many consecutive attempts must have succeeded at the instance that tests an
	// ejected worker before it stops reporting that worker.
	recoverySuccesses = 2
	// maxOutcomes bounds the attempts that are kept for each worker, and maxReports the reports that are
	// accepted from one instance.
	maxOutcomes = 64
	maxReports  = 256
)

// OutlierReport is one instance's report of a worker: how many of its latest attempts at the worker failed.
type OutlierReport struct {
	Worker   string
	Failed   int
	Attempts int
}

// OutlierQuorum decides which workers an instance ejects, based on its own attempts and on the reports of the
// other instances. Reports never make an instance use a worker that is not listed, and the reports of a
// single instance eject nothing. Times are on this instance's clock.
type OutlierQuorum struct {
	observations map[string]*observation              // own attempts, by worker
	received     map[uint64]map[string]receivedReport // by reporting member and worker
	table        *Table
	own          Session
}

// observation holds the results of this instance's own attempts at a worker.
type observation struct {
	outcomes                                  []outcome // oldest first
	consecutiveSuccesses, consecutiveFailures int
}

type outcome struct {
	at     time.Duration
	failed bool
}

type receivedReport struct {
	OutlierReport
	at time.Duration
}

// NewOutlierQuorum returns a quorum without observations or reports.
func NewOutlierQuorum() *OutlierQuorum {
	return &OutlierQuorum{observations: map[string]*observation{},
		received: map[uint64]map[string]receivedReport{}}
}

// SetView replaces the table of owners, which determines whose reports count, and which instance tests an
// ejected worker.
func (q *OutlierQuorum) SetView(t *Table, own Session) {
	q.table, q.own = t, own
	maps.DeleteFunc(q.received, func(member uint64, _ map[string]receivedReport) bool {
		return !slices.ContainsFunc(t.View.Members, func(m Member) bool { return m.Member == member })
	})
}

// ObserveAttempt records the outcome of an attempt of this instance at a worker.
func (q *OutlierQuorum) ObserveAttempt(now time.Duration, worker string, failed bool) {
	o := q.observations[worker]
	if o == nil {
		o = &observation{}
		q.observations[worker] = o
	}
	if failed {
		o.consecutiveSuccesses, o.consecutiveFailures = 0, o.consecutiveFailures+1
	} else {
		o.consecutiveSuccesses, o.consecutiveFailures = o.consecutiveSuccesses+1, 0
	}
	o.outcomes = append(o.outcomes, outcome{now, failed})
	if len(o.outcomes) > maxOutcomes {
		o.outcomes = append(o.outcomes[:0], o.outcomes[1:]...)
	}
}

// Reports returns the reports of this instance to the others, sorted by worker: one for each worker at which
// enough of its latest attempts have failed. An instance that tests an ejected worker and finds it healthy no
// longer reports it.
func (q *OutlierQuorum) Reports(now time.Duration) (reports []OutlierReport) {
	for name, o := range q.observations {
		o.outcomes = slices.DeleteFunc(o.outcomes, func(x outcome) bool {
			return now-x.at > observationWindow
		})
		if len(o.outcomes) == 0 {
			delete(q.observations, name)
			continue
		}
		if failed, attempts, ok := o.outlier(); ok {
			reports = append(reports, OutlierReport{name, failed, attempts})
		}
	}
	slices.SortFunc(reports, func(a, b OutlierReport) int { return cmp.Compare(a.Worker, b.Worker) })
	return reports
}

// outlier reports whether the kept outcomes make the worker an outlier, with the number of failures and
// attempts that show it.
func (o *observation) outlier() (failed, attempts int, ok bool) {
	for _, x := range o.outcomes {
		if x.failed {
			failed++
		}
	}
	consecutive := min(o.consecutiveFailures, failed)
	switch {
	case consecutive >= minFailures:
		return consecutive, consecutive, true
	case failed >= minFailures && 2*failed >= len(o.outcomes) &&
		o.consecutiveSuccesses < recoverySuccesses:
		return failed, len(o.outcomes), true
	}
	return 0, 0, false
}

// ObserveReports records another instance's reports, which replace all earlier ones of that instance. A
// faulty or malicious instance may report anything, so an instance counts once for each worker, no matter how
// often it reports the worker.
func (q *OutlierQuorum) ObserveReports(now time.Duration, member uint64, reports []OutlierReport) {
	if member == q.own.Member {
		return
	}
	accepted := map[string]receivedReport{}
	for _, r := range reports[:min(len(reports), maxReports)] {
		if r.Failed >= minFailures && 2*r.Failed >= r.Attempts {
			accepted[r.Worker] = receivedReport{r, now}
		}
	}
	q.received[member] = accepted
}

// Ejected returns which of the listed workers receive no jobs from this instance because a quorum of
// instances reports them: those with the most reports first, and at most 1/ejectedDivisor of all. An instance
// does not eject a worker that it tests itself: otherwise nobody would detect that the worker has recovered.
func (q *OutlierQuorum) Ejected(now time.Duration, listed []string) map[string]bool {
	count := q.reportCounts(now)
	var outliers []string
	for _, name := range listed {
		if count[name] >= reportQuorum {
			outliers = append(outliers, name)
		}
	}
	slices.SortFunc(outliers, func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(xxhash.Sum64String(a),
			xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	ejected := map[string]bool{}
	for _, name := range outliers[:min(len(outliers), len(listed)/ejectedDivisor)] {
		if !q.isTester(name) {
			ejected[name] = true
		}
	}
	return ejected
}

// reportCounts returns how many instances, including this one, report each worker.
func (q *OutlierQuorum) reportCounts(now time.Duration) map[string]int {
	count := map[string]int{}
	for _, r := range q.Reports(now) {
		count[r.Worker]++
	}
	for _, reports := range q.received {
		for name, r := range reports {
			if now-r.at <= reportLifetime {
				count[name]++
			}
		}
	}
	return count
}

// isTester reports whether this instance is the one that keeps using a worker that the others eject.
func (q *OutlierQuorum) isTester(worker string) bool {
	m, ok := q.table.Owner(ShardOf("worker/" + worker))
	return ok && m.Session == q.own
}
