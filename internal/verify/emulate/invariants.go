package emulate

import (
	"fmt"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

const (
	// maxViolations is the maximum number of violations recorded for a run.
	maxViolations = 5
	// maintenanceGrace is how long a worker may still receive jobs after its maintenance has started.
	maintenanceGrace = time.Second
)

// invariantChecker checks the rules that every run must satisfy: each submission gets exactly one final
// response, before its client's deadline; the number of attempts stays within the limit, and only classes
// that allow it get more than one; a worker gets no new job once the grace period has passed since the node
// learned of its draining, removal or maintenance; no worker in slow start is overloaded by nodes that knew
// of its start. The result contains the first violations, each with its job.
type invariantChecker struct {
	world            *World
	drainingSince    map[observation]time.Duration // when a node learned that a worker drains or is removed
	knownStarts      map[observation]time.Duration // start time of a worker as last received by a node
	maintenanceSince map[nodeWorker]time.Duration
	violations       []string
}

// observation identifies the knowledge that one incarnation of a node has of a worker.
type observation struct {
	node, incarnation int
	worker            string
}

func observationOf(n *Node, worker string) observation {
	return observation{n.number, n.incarnation, worker}
}

// nodeWorker identifies a worker at a node, across the node's processes.
type nodeWorker struct {
	node   int
	worker string
}

func newInvariantChecker(w *World) *invariantChecker {
	return &invariantChecker{world: w, drainingSince: map[observation]time.Duration{},
		knownStarts: map[observation]time.Duration{}, maintenanceSince: map[nodeWorker]time.Duration{}}
}

// addViolation records a violation. The job may be nil.
func (c *invariantChecker) addViolation(j *job, format string, args ...any) {
	if len(c.violations) >= maxViolations {
		return
	}
	text := fmt.Sprintf("%.3f s: ", c.world.Clock.now.Seconds()) + fmt.Sprintf(format, args...)
	if j != nil {
		text += fmt.Sprintf(" (job %s, class %s, submission %d, arrived at %.3f s, %d attempts)",
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

// nodeDied forgets the maintenance at a node that died, unless another process has replaced it.
func (c *invariantChecker) nodeDied(n *Node) {
	for at := range c.maintenanceSince {
		if at.node == n.number && !n.replaced {
			delete(c.maintenanceSince, at)
		}
	}
}

// nodeReplaced copies what the old process had received, and when, to the process that replaces it.
func (c *invariantChecker) nodeReplaced(from, to *Node) {
	for _, k := range c.world.workers {
		if since, ok := c.drainingSince[observationOf(from, k.Name)]; ok {
			c.drainingSince[observationOf(to, k.Name)] = since
		}
	}
}

// listReceived records the entries of the endpoint list that a node has received.
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

// knowsStart reports whether a node has received a worker's last start.
func (c *invariantChecker) knowsStart(n *Node, k *Worker) bool {
	return k.startedAt == 0 || c.knownStarts[observationOf(n, k.Name)] == k.startedAt+epoch
}

// attemptStarted checks an attempt when it is sent.
func (c *invariantChecker) attemptStarted(n *Node, k *Worker, j *job) {
	now, set := c.world.Clock.now, &c.world.settings
	c.world.metrics.attempts++
	if since, ok := c.drainingSince[observationOf(n, k.Name)]; ok && now-since > set.Rules.DrainGrace {
		c.addViolation(j, "node %d sent a job to %s, %.3f s after learning that it drains or is removed",
			n.number, k.Name, (now - since).Seconds())
	}
	if since, ok := c.maintenanceSince[nodeWorker{n.number, k.Name}]; ok && now-since > maintenanceGrace {
		c.addViolation(j, "node %d sent a job to %s, which has been under maintenance for %.3f s",
			n.number, k.Name, (now - since).Seconds())
	}
	if j.attempts >= set.Limits.MaxAttempts {
		c.addViolation(j, "attempt %d exceeds the limit", j.attempts+1)
	}
	if j.class.Idempotency == nonIdempotent && j.attempts > 0 && j.runs > 0 {
		c.addViolation(j, "a non-idempotent job was sent again after it had run")
	}
	j.attempts++
}

// jobRan records that a worker has completed a job.
func (c *invariantChecker) jobRan(j *job) {
	if j.runs++; j.runs > 1 && j.class.Idempotency == nonIdempotent {
		c.addViolation(j, "a non-idempotent job has run twice")
	}
}

// responded checks that a submission gets a single final response, in time.
func (c *invariantChecker) responded(s *submission, response broker.Response) {
	j, now := s.job, c.world.Clock.now
	if s.responses++; s.responses > 1 {
		c.addViolation(j, "second final response")
	}
	if now > j.deadline+responseGrace {
		c.addViolation(j, "response %.3f s after the client's deadline", (now - j.deadline).Seconds())
	}
	if response.Kind == broker.Served && j.runs == 0 {
		c.addViolation(j, "served although no worker has run the job")
	}
}

// checkEnd checks at the end of a run that every job is accounted for and that no worker was overloaded in
// slow start.
func (c *invariantChecker) checkEnd() {
	arrived, ended := 0, 0
	for _, t := range c.world.metrics.classes {
		arrived += t.Arrived
		ended += t.Served + t.Rejected + t.Failed
	}
	if arrived != ended+c.world.openJobs {
		c.addViolation(nil, "%d jobs arrived, but %d ended and %d are open", arrived, ended, c.world.openJobs)
	}
	for _, k := range c.world.workers {
		if k.slowStartViolated {
			c.addViolation(nil, "%s was overloaded in slow start", k.Name)
		}
	}
}
