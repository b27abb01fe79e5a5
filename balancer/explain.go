package balancer

// What the module says of itself: its log line, and why a worker would be drawn or not.

import (
	"fmt"
	"slices"
	"time"
)

// Distrusted is how many ready workers are left out of draws by choice. Where none is
// trusted, all are drawn.
func (b *Balancer) Distrusted(now time.Duration) int {
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
	Why    string // why the request may not go there now; empty: it may
}

// Explain says of each worker, by ID, whether a request that came now would be drawn for
// it at a tier of its route, and why not. It changes nothing that decisions go by.
func (b *Balancer) Explain(now time.Duration, r Request, tier int) []Verdict {
	r.Class = min(max(r.Class, 0), len(b.set.Classes)-1)
	q := &request{Request: r, class: &b.set.Classes[r.Class], tier: tier, anyone: true,
		deadline: now + r.Left, came: now}
	trusted := slices.ContainsFunc(
		b.workers,
		func(w *worker) bool { return b.may(now, q, w) && b.trusted(now, q, w) },
	)
	list := make([]Verdict, 0, len(b.workers))
	for _, w := range b.workers {
		v := Verdict{Worker: w.Worker}
		switch {
		case w.State == Draining:
			v.Why = "it drains"
		case w.State != Ready:
			v.Why = "it is gone"
		case q.class.Kind >= 0 && q.class.Kind != w.Kind:
			v.Why = "the class wants another kind"
		case !q.onRoute(w):
			v.Why = "the rule puts it elsewhere or nowhere"
		case !b.coldRoom(now, w, b.effort(q)):
			v.Why = "it is cold and its budget has no room"
		case !b.may(now, q, w):
			v.Why = "the time is up"
		case trusted && !b.trusted(now, q, w):
			v.Why = "it has failed lately, and others have not"
		}
		list = append(list, v)
	}
	return list
}
