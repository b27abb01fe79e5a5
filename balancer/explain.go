package balancer

import (
	"fmt"
	"slices"
	"time"
)

// EjectedCount is how many ready workers are ejected as outliers. Where all are, none counts: then all are
// drawn.
func (b *Balancer) EjectedCount(now time.Duration) int {
	ready, ejected := 0, 0
	for _, w := range b.workers {
		if w.State == Ready {
			if ready++; b.fadedFailureScore(now, w) >= ejectionScore {
				ejected++
			}
		}
	}
	if ejected == ready {
		return 0
	}
	return ejected
}

// summary is the log line for the people on call, and resets its counts. The operators' page on being on call
// quotes its words.
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
		if b.fadedFailureScore(now, w) >= ejectionScore {
			ejected++
		}
	}
	line := fmt.Sprintf("refused %d, failed %d; workers: %d ready, %d of them cold, %d suspect",
		b.rejectedCount, b.failedCount, ready, warmingUp, ejected)
	b.rejectedCount, b.failedCount = 0, 0
	return line
}

// Verdict is whether a worker is eligible for a request.
type Verdict struct {
	Worker Worker
	Reason string // why the request may not go there now; empty: it may
}

// Explain gives, for each worker by ID, whether it is eligible for a request that came now, at a tier of the
// request's route, and if not, why. It changes nothing that decisions depend on. Its reasons are part of the
// answer to an operator's call, and so keep their words.
func (b *Balancer) Explain(now time.Duration, r Request, tier int) []Verdict {
	r.Class = min(max(r.Class, 0), len(b.settings.Classes)-1)
	q := &request{Request: r, class: &b.settings.Classes[r.Class], tier: tier, allowEjected: true,
		deadline: now + r.Timeout, arrivedAt: now}
	anyHealthy := slices.ContainsFunc(b.workers, func(w *worker) bool {
		return b.mayAttempt(now, q, w) && b.healthy(now, q, w)
	})
	list := make([]Verdict, 0, len(b.workers))
	for _, w := range b.workers {
		list = append(list, Verdict{w.Worker, b.ineligible(now, q, w, anyHealthy)})
	}
	return list
}

// ineligible is why q may not go to w now; empty: it may.
func (b *Balancer) ineligible(now time.Duration, q *request, w *worker, anyHealthy bool) string {
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
