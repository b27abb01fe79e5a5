package emulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// clientGroup is the clients of one team in one zone.
type clientGroup struct {
	world                                     *World
	spec                                      *ClientGroup
	arrivalRandom, sizeRandom, behaviorRandom *rand.Rand
	stopped                                   bool
	rateFactor                                float64 // a trouble: a flood
	tenant                                    int
	mixTotal                                  float64
	heavyShare, heavyFactor                   float64
}

// job is a client's job over all its tries.
type job struct {
	world           *World
	group           *clientGroup
	class           *ClassSpec
	classIndex      int // of the class
	id              string
	key             string
	size            float64
	arrivedAt       time.Duration
	deadline        time.Duration
	submissions     int
	node            *Node
	nodeIncarnation int
	answers         int // of the try that is out
	ended           bool
	runs            int // times that a worker has run it to its end
	attempts        []attemptAt
}

// attemptAt is a branch that went out.
type attemptAt struct {
	at   time.Duration
	cell int
}

func (g *clientGroup) scheduleArrival() {
	rate := g.spec.Rate
	if g.rateFactor > 0 {
		rate *= g.rateFactor
	}
	g.world.Clock.After(time.Duration(g.arrivalRandom.ExpFloat64()/rate*1e9), func() {
		if g.stopped {
			return
		}
		g.createJob()
		g.scheduleArrival()
	})
}

// createJob has a client want a job done.
func (g *clientGroup) createJob() {
	w := g.world
	if g.mixTotal == 0 {
		for _, m := range g.spec.Mix {
			g.mixTotal += m
		}
		g.tenant = slices.IndexFunc(
			w.settings.Tenants,
			func(t balancer.Tenant) bool { return t.Name == g.spec.Team },
		)
	}
	at, pick := g.behaviorRandom.Float64()*g.mixTotal, 0
	for pick < len(g.spec.Mix)-1 && at >= g.spec.Mix[pick] {
		at -= g.spec.Mix[pick]
		pick++
	}
	index := slices.IndexFunc(w.scenario.Classes,
		func(c ClassSpec) bool { return c.Name == g.spec.Classes[pick] })
	c := &w.scenario.Classes[index]
	w.jobCount++
	r := &job{world: w, group: g, class: c, classIndex: index, size: c.Size.draw(g.sizeRandom),
		arrivedAt: w.Clock.now,
		deadline:  w.Clock.now + time.Duration(c.Timeout)}
	if g.heavyShare > 0 && g.sizeRandom.Float64() < g.heavyShare {
		r.size *= g.heavyFactor
	}
	r.key = fmt.Sprint("k", w.jobCount)
	w.openJobs++
	w.metrics.arrived(r)
	r.submit()
}

// submit sends the job to a node of the client's zone; the front before the nodes goes on
// sending to a dead one for a while.
func (r *job) submit() {
	w := r.world
	if r.ended {
		return
	}
	var near, all []*Node
	for _, n := range w.nodes {
		if n.down && w.Clock.now-n.downSince > deadNodeDetection || !n.down && n.upSince > 0 &&
			w.Clock.now-n.upSince < readmissionDelay {
			continue
		}
		all = append(all, n)
		if w.scenario.Zones[n.zone] == r.group.spec.Zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		r.retry(0)
		return
	}
	n := near[r.group.behaviorRandom.IntN(len(near))]
	r.submissions++
	try := r.submissions
	r.node = n
	left := r.deadline - w.Clock.now
	w.Clock.At(r.deadline+responseGrace, func() { r.timeOut(try) })
	w.Clock.After(w.latency(n.zone, n.zone), func() {
		if n.down {
			r.retry(0) // the connection is refused
			return
		}
		r.nodeIncarnation, r.answers = n.incarnation, 0
		r.id = fmt.Sprintf("%s.%d", r.key, try)
		r.attempts = r.attempts[:0]
		c := &submission{job: r, number: try, node: n}
		err := n.broker.Submit(
			broker.Request{ID: r.id, Class: r.classIndex, Tenant: max(r.group.tenant, 0), Timeout: left,
				ExpectedWork: time.Duration(r.size * 1e9), Slots: 1, IsRetry: try > 1, Payload: r},
			c,
		)
		if err != nil {
			w.invariants.violate(r, "a new id is said to be open: %v", err)
		}
		n.submissions = append(n.submissions, c)
		if len(n.submissions) > 2*n.broker.PendingCount()+64 {
			n.submissions = slices.DeleteFunc(n.submissions, func(c *submission) bool { return c.done() })
		}
	})
}

const (
	// responseGrace is what an answer at the last moment takes to come: the slack that nodes have,
	// and the way.
	responseGrace     = 40 * time.Millisecond
	deadNodeDetection = 2 * time.Second // for how long a dead node is still sent to
	readmissionDelay  = time.Second     // until a node that is back is sent to
)

// submission is a client that waits for a node's answer to one try.
type submission struct {
	job    *job
	number int
	node   *Node

	responses int
}

// done says whether nobody waits any more.
func (c *submission) done() bool {
	return c.responses > 0 || c.job.ended || c.job.submissions != c.number
}

// Respond implements core.Client.
func (c *submission) Respond(a broker.Response) {
	r, w := c.job, c.job.world
	w.invariants.responded(c, a)
	w.Clock.After(w.latency(c.node.zone, c.node.zone), func() {
		if r.ended || r.submissions != c.number {
			return
		}
		switch a.Kind {
		case broker.Served:
			r.finish("served")
		case broker.Rejected:
			w.metrics.rejections++
			r.retry(a.RetryAfter)
		default:
			r.finish("failed")
		}
	})
}

// retry tries once more, where the client does.
func (r *job) retry(after time.Duration) {
	if r.ended {
		return
	}
	if r.submissions > r.group.spec.Retries {
		r.finish("refused")
		return
	}
	if after == 0 || r.group.spec.IgnoreRetryAfter {
		after = time.Duration(float64(r.group.spec.Backoff) * (0.5 + r.group.behaviorRandom.Float64()))
	}
	if r.world.Clock.now+after >= r.deadline {
		r.finish("refused")
		return
	}
	r.world.metrics.retries++
	r.world.Clock.After(after, r.submit)
}

// nodeFailed is the end of the node that had the job. It may have run: only what may be repeated
// anywhere is.
func (r *job) nodeFailed() {
	if r.class.Idempotency == "retryable" {
		r.retry(0)
		return
	}
	r.finish("failed")
}

// timeOut is the end of the client's patience.
func (r *job) timeOut(try int) {
	if r.ended || r.submissions != try {
		return
	}
	if n := r.node; n != nil && !n.down && n.incarnation == r.nodeIncarnation {
		r.world.invariants.violate(r, "no final answer before the client gave up")
		n.broker.ClientDisconnected(r.id)
	}
	r.finish("failed")
}

func (r *job) finish(how string) {
	r.ended = true
	r.world.openJobs--
	r.world.metrics.finished(r, how)
}
