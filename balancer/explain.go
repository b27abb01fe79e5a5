package balancer

// What the module says of itself: its log line, and why a worker would be drawn or not.

import (
	"fmt"
	"slices"
	"time"
)

// EjectedCount is how many ready workers are left out of draws by choice. Where none is
// trusted, all are drawn.
func (b *Balancer) EjectedCount(now time.Duration) int {
	ready, ill := 0, 0
	for _, w := range b.workers {
		if w.State == Ready {
			if ready++; b.illness(now, w) >= suspect {
				ill++
			}
		}
	}
	if ill == ready {
		return 0
	}
	return ill
}

// summary is the log line for the people on call, and starts its counts anew.
func (b *Balancer) summary(now time.Duration) string {
	ready, cold, suspects := 0, 0, 0
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		ready++
		if b.warmth(now, w) < 1 {
			cold++
		}
		if b.illness(now, w) >= suspect {
			suspects++
		}
	}
	line := fmt.Sprintf("refused %d, failed %d; workers: %d ready, %d of them cold, %d suspect",
		b.refused, b.failed, ready, cold, suspects)
	b.refused, b.failed = 0, 0
	return line
}

// Verdict says how a worker stands for a request.
type Verdict struct {
	Worker Worker
	Reason string // why the request may not go there now; empty: it may
}

// Explain says of each worker, by ID, whether a request that came now would be drawn for
// it at a tier of its route, and why not. It changes nothing that decisions go by.
func (b *Balancer) Explain(now time.Duration, r Request, tier int) []Verdict {
	r.Class = min(max(r.Class, 0), len(b.set.Classes)-1)
	q := &request{Request: r, class: &b.set.Classes[r.Class], tier: tier, anyone: true,
		deadline: now + r.Timeout, came: now}
	trusted := slices.ContainsFunc(
		b.workers,
		func(w *worker) bool { return b.may(now, q, w) && b.trusted(now, q, w) },
	)
	list := make([]Verdict, 0, len(b.workers))
	for _, w := range b.workers {
		v := Verdict{Worker: w.Worker}
		switch {
		case w.State == Draining:
			v.Reason = "it drains"
		case w.State != Ready:
			v.Reason = "it is gone"
		case q.class.WorkerKind >= 0 && q.class.WorkerKind != w.Kind:
			v.Reason = "the class wants another kind"
		case !q.onRoute(w):
			v.Reason = "the rule puts it elsewhere or nowhere"
		case !b.coldRoom(now, w, b.effort(q)):
			v.Reason = "it is cold and its budget has no room"
		case !b.may(now, q, w):
			v.Reason = "the time is up"
		case trusted && !b.trusted(now, q, w):
			v.Reason = "it has failed lately, and others have not"
		}
		list = append(list, v)
	}
	return list
}
