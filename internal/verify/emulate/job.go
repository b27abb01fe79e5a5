package emulate

import (
	"fmt"
	"slices"
	"time"

	"moorstack/internal/proxy/broker"
)

const (
	// responseGrace is how long after the deadline a response sent at the last moment may arrive: the nodes'
	// response slack plus the network latency.
	responseGrace = 40 * time.Millisecond
	// deadNodeDetection is how long the load balancer in front of the nodes keeps sending to a dead node.
	deadNodeDetection = 2 * time.Second
	// readmissionDelay is how long that load balancer leaves out a node that is up again.
	readmissionDelay = time.Second
)

// outcome is the final result of a job for its client.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
)

// job is a client's job, over all its submissions.
type job struct {
	world           *World
	group           *clientGroup
	class           *ClassSpec
	classIndex      int
	id              string // request ID of the last submission
	key             string // idempotency key, the same for all submissions
	size            float64
	arrivedAt       time.Duration
	deadline        time.Duration
	submissions     int
	node            *Node // of the last submission
	nodeIncarnation int
	ended           bool
	runs            int // times that a worker has completed it
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

// candidateNodes returns the nodes that the load balancer in front of them considers alive: those of the
// client's zone, or all if that zone has none.
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

// arriveAt handles the arrival of a submission at its node.
func (j *job) arriveAt(n *Node, number int, timeout time.Duration) {
	j.nodeIncarnation = n.incarnation
	j.id = fmt.Sprintf("%s.%d", j.key, number)
	j.attempts = 0
	s := &submission{job: j, number: number, node: n}
	request := broker.Request{ID: j.id, Class: j.classIndex, Tenant: max(j.group.tenant, 0), Timeout: timeout,
		ExpectedWork: time.Duration(j.size * 1e9), Slots: 1, IsRetry: number > 1, Payload: j}
	if err := n.broker.Submit(request, s); err != nil {
		j.world.invariants.addViolation(j, "a new request ID was refused as already open: %v", err)
	}
	n.submissions = append(n.submissions, s)
	if len(n.submissions) > 2*n.broker.PendingCount()+64 {
		n.submissions = slices.DeleteFunc(n.submissions, (*submission).done)
	}
}

// retry submits the job again if the client's retries and deadline allow it. The delay is that of
// Retry-After, or 0 if none was given.
func (j *job) retry(retryAfter time.Duration) {
	if j.ended {
		return
	}
	if j.submissions > j.group.spec.Retries {
		j.finish(outcomeRejected)
		return
	}
	if retryAfter == 0 || j.group.spec.IgnoreRetryAfter {
		factor := 0.5 + float64(j.group.behaviorRandom.Float64())
		retryAfter = time.Duration(float64(j.group.spec.Backoff) * factor)
	}
	if j.world.Clock.now+retryAfter >= j.deadline {
		j.finish(outcomeRejected)
		return
	}
	j.world.metrics.retries++
	j.world.Clock.After(retryAfter, j.submit)
}

// nodeFailed handles the failure of the node that had the job. The job may have run, so only an idempotent
// one is submitted again.
func (j *job) nodeFailed() {
	if j.class.Idempotency == idempotent {
		j.retry(0)
		return
	}
	j.finish(outcomeFailed)
}

// timeOut handles the client's deadline.
func (j *job) timeOut(number int) {
	if j.ended || j.submissions != number {
		return
	}
	if n := j.node; n != nil && !n.down && n.incarnation == j.nodeIncarnation {
		j.world.invariants.addViolation(j, "no final response before the client's deadline")
		n.broker.ClientDisconnected(j.id)
	}
	j.finish(outcomeFailed)
}

func (j *job) finish(o outcome) {
	j.ended = true
	j.world.openJobs--
	j.world.metrics.finished(j, o)
}

// submission is one submission of a job, waiting for the node's response.
type submission struct {
	job       *job
	number    int
	node      *Node
	responses int
}

// done reports whether no client waits for the submission any more.
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
