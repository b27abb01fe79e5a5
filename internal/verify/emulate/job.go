package emulate

import (
	"fmt"
	"slices"
	"time"

	"moorstack/internal/proxy/broker"
)

const (
	// responseGrace is what a response at the last moment takes to arrive: the slack that nodes
	// have, and the way.
	responseGrace = 40 * time.Millisecond
	// deadNodeDetection is for how long the load balancer before the nodes sends to a dead one.
	deadNodeDetection = 2 * time.Second
	// readmissionDelay is for how long it leaves out a node that is back.
	readmissionDelay = time.Second
)

// outcome is what became of a job.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
)

// job is a client's job over all its submissions.
type job struct {
	world           *World
	group           *clientGroup
	class           *ClassSpec
	classIndex      int
	id              string // of the last submission
	key             string // the same for all of them
	size            float64
	arrivedAt       time.Duration
	deadline        time.Duration
	submissions     int
	node            *Node // of the last submission
	nodeIncarnation int
	ended           bool
	runs            int // times that a worker has run it to its end
	attempts        int // of the last submission
}

// submit sends the job to a node.
func (j *job) submit() {
	w := j.world
	if j.ended {
		return
	}
	nodes := j.candidateNodes()
	if len(nodes) == 0 {
		j.retry(0)
		return
	}
	n := nodes[j.group.behaviorRandom.IntN(len(nodes))]
	j.submissions++
	number := j.submissions
	j.node = n
	timeout := j.deadline - w.Clock.now
	w.Clock.At(j.deadline+responseGrace, func() { j.timeOut(number) })
	w.Clock.After(w.latency(n.zone, n.zone), func() {
		if n.down {
			j.retry(0) // the connection is refused
			return
		}
		j.arriveAt(n, number, timeout)
	})
}

// candidateNodes are the nodes of the client's zone that the load balancer before the nodes takes for alive;
// of any zone, where there are none.
func (j *job) candidateNodes() []*Node {
	w := j.world
	var near, all []*Node
	for _, n := range w.nodes {
		dead := n.down && w.Clock.now-n.downSince > deadNodeDetection
		notReadmitted := !n.down && n.upSince > 0 && w.Clock.now-n.upSince < readmissionDelay
		if dead || notReadmitted {
			continue
		}
		all = append(all, n)
		if w.scenario.Zones[n.zone] == j.group.spec.Zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// arriveAt is the arrival of a submission at its node.
func (j *job) arriveAt(n *Node, number int, timeout time.Duration) {
	j.nodeIncarnation = n.incarnation
	j.id = fmt.Sprintf("%s.%d", j.key, number)
	j.attempts = 0
	s := &submission{job: j, number: number, node: n}
	request := broker.Request{ID: j.id, Class: j.classIndex, Tenant: max(j.group.tenant, 0), Timeout: timeout,
		ExpectedWork: time.Duration(j.size * 1e9), Slots: 1, IsRetry: number > 1, Payload: j}
	if err := n.broker.Submit(request, s); err != nil {
		j.world.invariants.violate(j, "a new id is said to be open: %v", err)
	}
	n.submissions = append(n.submissions, s)
	if len(n.submissions) > 2*n.broker.PendingCount()+64 {
		n.submissions = slices.DeleteFunc(n.submissions, (*submission).done)
	}
}

// retry submits the job once more, where the client does. The wait is Retry-After's; 0: none was given.
func (j *job) retry(retryAfter time.Duration) {
	if j.ended {
		return
	}
	if j.submissions > j.group.spec.Retries {
		j.finish(outcomeRejected)
		return
	}
	if retryAfter == 0 || j.group.spec.IgnoreRetryAfter {
		retryAfter = time.Duration(float64(j.group.spec.Backoff) * (0.5 + j.group.behaviorRandom.Float64()))
	}
	if j.world.Clock.now+retryAfter >= j.deadline {
		j.finish(outcomeRejected)
		return
	}
	j.world.metrics.retries++
	j.world.Clock.After(retryAfter, j.submit)
}

// nodeFailed is the end of the node that had the job. It may have run: only an idempotent one is
// submitted again.
func (j *job) nodeFailed() {
	if j.class.Idempotency == idempotent {
		j.retry(0)
		return
	}
	j.finish(outcomeFailed)
}

// timeOut is the job's deadline, as its client sees it.
func (j *job) timeOut(number int) {
	if j.ended || j.submissions != number {
		return
	}
	if n := j.node; n != nil && !n.down && n.incarnation == j.nodeIncarnation {
		j.world.invariants.violate(j, "no final answer before the client gave up")
		n.broker.ClientDisconnected(j.id)
	}
	j.finish(outcomeFailed)
}

func (j *job) finish(o outcome) {
	j.ended = true
	j.world.openJobs--
	j.world.metrics.finished(j, o)
}

// submission is a client that waits for a node's response to one submission of a job.
type submission struct {
	job       *job
	number    int
	node      *Node
	responses int
}

// done says whether nobody waits any more.
func (s *submission) done() bool {
	return s.responses > 0 || s.job.ended || s.job.submissions != s.number
}

// Respond implements broker.Client.
func (s *submission) Respond(response broker.Response) {
	j, w := s.job, s.job.world
	w.invariants.responded(s, response)
	w.Clock.After(w.latency(s.node.zone, s.node.zone), func() {
		if j.ended || j.submissions != s.number {
			return
		}
		switch response.Kind {
		case broker.Served:
			j.finish(outcomeServed)
		case broker.Rejected:
			w.metrics.rejections++
			j.retry(response.RetryAfter)
		default:
			j.finish(outcomeFailed)
		}
	})
}
