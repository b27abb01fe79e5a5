package emulate

import (
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// link is the network path from one incarnation of a node to a worker.
type link struct {
	node        *Node
	incarnation int
	worker      *Worker
}

var _ broker.Endpoint = (*link)(nil)

func (l *link) current() bool { return l.node.incarnation == l.incarnation && !l.node.down }

// attempt is an attempt in transit to the worker, at the worker, or in transit back.
type attempt struct {
	link    *link
	request broker.Attempt
	cancel  func() // nil until the attempt arrives at the worker
	ended   bool
}

var _ broker.RunningAttempt = (*attempt)(nil)

// StartAttempt implements broker.Endpoint.
func (l *link) StartAttempt(request broker.Attempt) broker.RunningAttempt {
	w := l.node.world
	j := request.Payload.(*job)
	w.invariants.attemptStarted(l.node, l.worker, j)
	a := &attempt{link: l, request: request}
	knewStart := w.invariants.knowsStart(l.node, l.worker)
	w.Clock.schedule(w.Clock.now+w.latency(l.node.zone, l.worker.Zone), func() {
		if a.ended || l.worker.partitioned {
			return // cancelled in transit, or lost because the worker is partitioned
		}
		key := ""
		if j.class.HasIdempotencyKey() {
			key = j.key
		}
		request := JobRequest{Key: key, Class: j.class.Name, Size: j.size, KnewStart: knewStart}
		a.cancel = l.worker.StartJob(request, a.sendResult)
	})
	return a
}

// sendResult reports the result of the job to the node, after the network latency.
func (a *attempt) sendResult(result balancer.Result) {
	l := a.link
	w := l.node.world
	if result == balancer.OK {
		w.invariants.jobRan(a.request.Payload.(*job))
	}
	if l.worker.partitioned && result != balancer.ConnectFailed {
		return
	}
	w.Clock.schedule(w.Clock.now+w.latency(l.worker.Zone, l.node.zone), func() {
		if a.ended || !l.current() {
			return
		}
		a.ended = true
		l.node.broker.EndAttempt(a.request.ID, result, nil, balancer.NoLoadReport)
	})
}

// Abandon implements broker.RunningAttempt. The cancellation reaches the worker after the network latency.
func (a *attempt) Abandon() {
	if a.ended {
		return
	}
	a.ended = true
	l := a.link
	w := l.node.world
	w.Clock.schedule(w.Clock.now+w.latency(l.node.zone, l.worker.Zone), func() {
		if a.cancel != nil && !l.worker.partitioned {
			a.cancel()
		}
	})
}

// CheckHealth implements broker.Endpoint.
func (l *link) CheckHealth(done func(balancer.Result, balancer.LoadReport)) {
	w := l.node.world
	w.metrics.healthChecks++
	oneWay := w.latency(l.node.zone, l.worker.Zone)
	reply := func(after time.Duration, result balancer.Result, report balancer.LoadReport) {
		w.Clock.schedule(w.Clock.now+after, func() {
			if l.current() {
				done(result, report)
			}
		})
	}
	switch {
	case l.worker.partitioned:
		reply(time.Duration(w.scenario.ConnectTimeout), balancer.TimedOut, balancer.NoLoadReport)
	case l.worker.down:
		reply(2*oneWay, balancer.ConnectFailed, balancer.NoLoadReport)
	default:
		reply(2*oneWay, balancer.OK, l.worker.LoadReport())
	}
}
