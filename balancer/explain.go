package balancer

import (
	"fmt"
	"slices"
	"time"
)

// EjectedCount returns how many ready workers are ejected as outliers. If all are, it returns 0, because then
// draws ignore ejection.
func (b *Balancer) EjectedCount(now time.Duration) int {
	ready, ejected := 0, 0
	for _, w := range b.workers {
		if w.State == Ready {
			if ready++; b.decayedFailureScore(now, w) >= ejectionScore {
				ejected++
			}
		}
	}
	if ejected == ready {
		return 0
	}
	return ejected
}

// summary returns the line that is logged for operators, and resets its counts. The wording is fixed, because
// the on-call documentation quotes it.
func (b *Balancer) summary(now time.Duration) string {
	ready, warmingUp, ejected := 0, 0, 0
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		ready++
		if b.warmUpFactor(now, w) < 1 {
			warmingUp++
		}
		if b.decayedFailureScore(now, w) >= ejectionScore {
			ejected++
		}
	}
	line := fmt.Sprintf("refused %d, failed %d; workers: %d ready, %d of them cold, %d suspect",
		b.rejectedCount, b.failedCount, ready, warmingUp, ejected)
	b.rejectedCount, b.failedCount = 0, 0
	return line
}

// Eligibility says whether a worker is eligible for a request.
type Eligibility struct {
	Worker Worker
	Reason string // why it is not eligible now; empty: it is
}

// Explain returns, for each worker in order of ID, whether it is eligible for a request that arrived now, at
// a tier of the request's route, and if not, why. It does not affect later decisions. The reasons are part of
// the reply to an operator's call, so their wording is fixed.
func (b *Balancer) Explain(now time.Duration, r Request, tier int) []Eligibility {
	r.Class = min(max(r.Class, 0), len(b.settings.Classes)-1)
	q := &request{Request: r, class: &b.settings.Classes[r.Class], tier: tier, allowEjected: true,
		deadline: now + r.Timeout, arrivedAt: now}
	anyHealthy := slices.ContainsFunc(b.workers, func(w *worker) bool {
		return b.mayAttempt(now, q, w) && b.healthy(now, q, w)
	})
	list := make([]Eligibility, 0, len(b.workers))
	for _, w := range b.workers {
		list = append(list, Eligibility{w.Worker, b.ineligibleReason(now, q, w, anyHealthy)})
	}
	return list
}

// ineligibleReason returns why q may not be sent to w now; empty: it may.
func (b *Balancer) ineligibleReason(now time.Duration, q *request, w *worker, anyHealthy bool) string {
	switch {
	case w.State == Draining:
		return "it drains"
	case w.State != Ready:
		return "it is gone"
	case q.class.WorkerKind >= 0 && q.class.WorkerKind != w.Kind:
		return "the class wants another kind"
	case !q.onRoute(w):
		return "the rule puts it elsewhere or nowhere"
	case !b.withinSlowStart(now, w, b.hintedWork(q)):
		return "it is cold and its budget has no room"
	case !b.mayAttempt(now, q, w):
		return "the time is up"
	case anyHealthy && !b.healthy(now, q, w):
		return "it has failed lately, and others have not"
	}
	return ""
}
