package emulate

import (
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

const (
	// maxViolations is how many violations a run keeps.
	maxViolations = 5
	// maintenanceGrace is for how long a worker under maintenance may still be sent jobs.
	maintenanceGrace = time.Second
)

// invariantChecker holds every run to the rules: one final response for each submission, before its client's
// deadline; attempts within the limit, and more than one only as the class allows; nothing new to a worker
// later than the grace after the node received that it drains or is removed, or is under maintenance; no
// worker in slow start overloaded by nodes that knew of its start. The first violations are in the result,
// with the job.
type invariantChecker struct {
	world            *World
	drainingSince    map[observation]time.Duration // when a node received that a worker drains or is removed
	knownStarts      map[observation]time.Duration // the last start of a worker that a node received
	maintenanceSince map[nodeWorker]time.Duration
	violations       []string
}

// observation is what an incarnation of a node has received of a worker.
type observation struct {
	node, incarnation int
	worker            string
}

func observationOf(n *Node, worker string) observation {
	return observation{n.number, n.incarnation, worker}
}

// nodeWorker is a worker at a node, whichever process that is.
type nodeWorker struct {
	node   int
	worker string
}

func newInvariantChecker(w *World) *invariantChecker {
	return &invariantChecker{world: w, drainingSince: map[observation]time.Duration{},
		knownStarts: map[observation]time.Duration{}, maintenanceSince: map[nodeWorker]time.Duration{}}
}

// violate keeps a violation. The job may be nil.
func (c *invariantChecker) violate(j *job, format string, args ...any) {
	if len(c.violations) >= maxViolations {
		return
	}
	text := fmt.Sprintf("%.3f s: ", c.world.Clock.now.Seconds()) + fmt.Sprintf(format, args...)
	if j != nil {
		text += fmt.Sprintf(" (job %s, class %s, try %d, came at %.3f s, %d attempts out)",
			j.key, j.class.Name, j.submissions, j.arrivedAt.Seconds(), j.attempts)
	}
	c.violations = append(c.violations, text)
}

func (c *invariantChecker) maintenanceStarted(n *Node, worker string) {
	at := nodeWorker{n.number, worker}
	if _, started := c.maintenanceSince[at]; !started {
		c.maintenanceSince[at] = c.world.Clock.now
	}
}

func (c *invariantChecker) maintenanceEnded(n *Node, worker string) {
	delete(c.maintenanceSince, nodeWorker{n.number, worker})
}

// nodeDied ends the maintenance at a node that dies, unless another process has taken its place.
func (c *invariantChecker) nodeDied(n *Node) {
	for at := range c.maintenanceSince {
		if at.node == n.number && !n.replaced {
			delete(c.maintenanceSince, at)
		}
	}
}

// nodeReplaced has the process that takes a node's place be held to what the old one received, and when.
func (c *invariantChecker) nodeReplaced(from, to *Node) {
	for _, k := range c.world.workers {
		if since, ok := c.drainingSince[observationOf(from, k.Name)]; ok {
			c.drainingSince[observationOf(to, k.Name)] = since
		}
	}
}

// listReceived follows what a node has received of the endpoint list.
func (c *invariantChecker) listReceived(n *Node, entries []broker.ListEntry) {
	for _, e := range entries {
		at := observationOf(n, e.Name)
		if e.State == balancer.Ready {
			delete(c.drainingSince, at)
			c.knownStarts[at] = e.StartedAt
		} else if _, known := c.drainingSince[at]; !known {
			c.drainingSince[at] = c.world.Clock.now
		}
	}
}

// knowsStart says whether a node has received a worker's last start.
func (c *invariantChecker) knowsStart(n *Node, k *Worker) bool {
	return k.startedAt == 0 || c.knownStarts[observationOf(n, k.Name)] == k.startedAt+epoch
}

// attemptStarted checks an attempt as it is sent.
func (c *invariantChecker) attemptStarted(n *Node, k *Worker, j *job) {
	now, set := c.world.Clock.now, &c.world.settings
	c.world.metrics.attempts++
	if since, ok := c.drainingSince[observationOf(n, k.Name)]; ok && now-since > set.Rules.DrainGrace {
		c.violate(j, "node %d sends to %s, told %.3f s ago that it drains or is gone",
			n.number, k.Name, (now - since).Seconds())
	}
	if since, ok := c.maintenanceSince[nodeWorker{n.number, k.Name}]; ok && now-since > maintenanceGrace {
		c.violate(j, "node %d sends to %s, which operators have out for %.3f s",
			n.number, k.Name, (now - since).Seconds())
	}
	if j.attempts >= set.Limits.MaxAttempts {
		c.violate(j, "attempt %d", j.attempts+1)
	}
	if j.class.Idempotency == nonIdempotent && j.attempts > 0 && j.runs > 0 {
		c.violate(j, "a job that must not run twice goes out again, and it has run")
	}
	j.attempts++
}

// jobRan follows a job that a worker has run to its end.
func (c *invariantChecker) jobRan(j *job) {
	if j.runs++; j.runs > 1 && j.class.Idempotency == nonIdempotent {
		c.violate(j, "a job that must not run twice has run twice")
	}
}

// responded checks that a submission has one final response, and in time.
func (c *invariantChecker) responded(s *submission, response broker.Response) {
	j, now := s.job, c.world.Clock.now
	if s.responses++; s.responses > 1 {
		c.violate(j, "a second final answer")
	}
	if now > j.deadline+responseGrace {
		c.violate(j, "answered %.3f s after the client gave up", (now - j.deadline).Seconds())
	}
	if response.Kind == broker.Served && j.runs == 0 {
		c.violate(j, "served, and no worker has run it")
	}
}

// checkEnd checks that every job that arrived has ended or is open, and the workers' slow starts.
func (c *invariantChecker) checkEnd() {
	arrived, ended := 0, 0
	for _, t := range c.world.metrics.classes {
		arrived += t.Arrived
		ended += t.Served + t.Rejected + t.Failed
	}
	if arrived != ended+c.world.openJobs {
		c.violate(nil, "%d jobs came, %d ended and %d are open", arrived, ended, c.world.openJobs)
	}
	for _, k := range c.world.workers {
		if k.slowStartViolated {
			c.violate(nil, "%s was cold and pushed over", k.Name)
		}
	}
}
