package emulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// group is the clients of one team in one zone.
type group struct {
	w                    *World
	spec                 *ClientGroup
	rng, sizes, habits   *rand.Rand
	over                 bool
	rateBy               float64 // a trouble: a flood
	tenant               int
	total                float64
	heavyShare, heavySum float64
}

// request is a client's job over all its tries.
type request struct {
	w       *World
	g       *group
	class   *ClassSpec
	index   int // of the class
	id      string
	key     string
	size    float64
	came    time.Duration
	until   time.Duration
	tries   int
	node    *Node
	life    int
	answers int // of the try that is out
	ended   bool
	runs    int // times that a worker has run it to its end
	outs    []attemptAt
}

// attemptAt is a branch that went out.
type attemptAt struct {
	at   time.Duration
	cell int
}

func (g *group) arrive() {
	rate := g.spec.Rate
	if g.rateBy > 0 {
		rate *= g.rateBy
	}
	g.w.Clock.After(time.Duration(g.rng.ExpFloat64()/rate*1e9), func() {
		if g.over {
			return
		}
		g.make()
		g.arrive()
	})
}

// make has a client want a job done.
func (g *group) make() {
	w := g.w
	if g.total == 0 {
		for _, m := range g.spec.Mix {
			g.total += m
		}
		g.tenant = slices.IndexFunc(
			w.set.Tenants,
			func(t balancer.Tenant) bool { return t.Name == g.spec.Team },
		)
	}
	at, pick := g.habits.Float64()*g.total, 0
	for pick < len(g.spec.Mix)-1 && at >= g.spec.Mix[pick] {
		at -= g.spec.Mix[pick]
		pick++
	}
	index := slices.IndexFunc(w.sc.Classes, func(c ClassSpec) bool { return c.Name == g.spec.Classes[pick] })
	c := &w.sc.Classes[index]
	w.jobs++
	r := &request{w: w, g: g, class: c, index: index, size: c.Size.draw(g.sizes), came: w.Clock.now,
		until: w.Clock.now + time.Duration(c.GiveUp)}
	if g.heavyShare > 0 && g.sizes.Float64() < g.heavyShare {
		r.size *= g.heavySum
	}
	r.key = fmt.Sprint("k", w.jobs)
	w.open++
	w.rows.came(r)
	r.try()
}

// try sends the job to a node of the client's zone; the front before the nodes goes on
// sending to a dead one for a while.
func (r *request) try() {
	w := r.w
	if r.ended {
		return
	}
	var near, all []*Node
	for _, n := range w.nodes {
		if n.down && w.Clock.now-n.gone > believed || !n.down && n.back > 0 && w.Clock.now-n.back < admitted {
			continue
		}
		all = append(all, n)
		if w.sc.Zones[n.zone] == r.g.spec.Zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		r.again(0)
		return
	}
	n := near[r.g.habits.IntN(len(near))]
	r.tries++
	try := r.tries
	r.node = n
	left := r.until - w.Clock.now
	w.Clock.At(r.until+grace, func() { r.giveUp(try) })
	w.Clock.After(w.latency(n.zone, n.zone), func() {
		if n.down {
			r.again(0) // the connection is refused
			return
		}
		r.life, r.answers = n.life, 0
		r.id = fmt.Sprintf("%s.%d", r.key, try)
		r.outs = r.outs[:0]
		c := &waiter{r: r, try: try, n: n}
		err := n.core.Submit(
			broker.Request{ID: r.id, Class: r.index, Tenant: max(r.g.tenant, 0), Timeout: left,
				ExpectedWork: time.Duration(r.size * 1e9), Slots: 1, IsRetry: try > 1, Payload: r},
			c,
		)
		if err != nil {
			w.watch.violate(r, "a new id is said to be open: %v", err)
		}
		n.waiters = append(n.waiters, c)
		if len(n.waiters) > 2*n.core.PendingCount()+64 {
			n.waiters = slices.DeleteFunc(n.waiters, func(c *waiter) bool { return c.over() })
		}
	})
}

const (
	// grace is what an answer at the last moment takes to come: the slack that nodes have,
	// and the way.
	grace    = 40 * time.Millisecond
	believed = 2 * time.Second // for how long a dead node is still sent to
	admitted = time.Second     // until a node that is back is sent to
)

// waiter is a client that waits for a node's answer to one try.
type waiter struct {
	r   *request
	try int
	n   *Node

	answers int
}

// over says whether nobody waits any more.
func (c *waiter) over() bool { return c.answers > 0 || c.r.ended || c.r.tries != c.try }

// Respond implements core.Client.
func (c *waiter) Respond(a broker.Response) {
	r, w := c.r, c.r.w
	w.watch.answered(c, a)
	w.Clock.After(w.latency(c.n.zone, c.n.zone), func() {
		if r.ended || r.tries != c.try {
			return
		}
		switch a.Kind {
		case broker.Served:
			r.end("served")
		case broker.Rejected:
			w.rows.refusals++
			r.again(a.RetryAfter)
		default:
			r.end("failed")
		}
	})
}

// again tries once more, where the client does.
func (r *request) again(after time.Duration) {
	if r.ended {
		return
	}
	if r.tries > r.g.spec.Retries {
		r.end("refused")
		return
	}
	if after == 0 || r.g.spec.Blind {
		after = time.Duration(float64(r.g.spec.Backoff) * (0.5 + r.g.habits.Float64()))
	}
	if r.w.Clock.now+after >= r.until {
		r.end("refused")
		return
	}
	r.w.rows.retries++
	r.w.Clock.After(after, r.try)
}

// lost is the end of the node that had the job. It may have run: only what may be repeated
// anywhere is.
func (r *request) lost() {
	if r.class.Effect == "retryable" {
		r.again(0)
		return
	}
	r.end("failed")
}

// giveUp is the end of the client's patience.
func (r *request) giveUp(try int) {
	if r.ended || r.tries != try {
		return
	}
	if n := r.node; n != nil && !n.down && n.life == r.life {
		r.w.watch.violate(r, "no final answer before the client gave up")
		n.core.ClientDisconnected(r.id)
	}
	r.end("failed")
}

func (r *request) end(how string) {
	r.ended = true
	r.w.open--
	r.w.rows.ended(r, how)
}
