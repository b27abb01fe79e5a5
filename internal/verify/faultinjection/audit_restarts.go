package faultinjection

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// auditRollingRestarts reports when a rolling restart restarted more instances at once than its plan
// allows, and counts the restarts. An instance is out from when its process learns that it must end
// until a later process of the instance admits jobs.
func auditRollingRestarts(all []auditEntry) (violations []string, restarted int) {
	out := map[string]bool{}
	started := map[string]bool{}
	for _, e := range all {
		switch e.event {
		case "out":
			most, err := strconv.Atoi(e.args)
			out[e.instance], started[e.instance] = true, false
			restarted++
			if err != nil || len(out) > most {
				violations = append(violations, fmt.Sprintf(
					"%s is restarted at %v, when %d instances are out and the plan allows %s",
					e.instance, e.at, len(out), e.args))
			}
		case "start":
			started[e.instance] = true
		case "open":
			if started[e.instance] {
				delete(out, e.instance)
			}
		}
	}
	return violations, restarted
}

// auditShutdowns reports jobs that an instance admitted and that got no response although its process
// ended by a graceful shutdown, for a rolling restart or on SIGTERM.
func (c *Cluster) auditShutdowns(all []auditEntry) (violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unanswered := map[string]bool{}
	for _, id := range c.unansweredJobs {
		unanswered[id] = true
	}
	admitted := map[string]map[string]time.Duration{} // times of admission, by instance and job
	for _, e := range all {
		switch e.event {
		case "admit":
			args := strings.Fields(e.args)
			if id := args[len(args)-1]; unanswered[id] {
				if admitted[e.instance] == nil {
					admitted[e.instance] = map[string]time.Duration{}
				}
				admitted[e.instance][id] = e.at
			}
		case "start":
			for id, at := range admitted[e.instance] {
				if !c.interrupted(e.instance, at-clientTimeout, e.at) && e.at-at < clientTimeout {
					violations = append(violations, fmt.Sprintf("job %s was admitted by %s at %v and got no "+
						"response: the process shut down gracefully, and the next one started at %v",
						id, e.instance, at, e.at))
				}
			}
			delete(admitted, e.instance)
		}
	}
	return violations
}

// interrupted reports whether an instance was interrupted later than after and no later than until. The
// caller holds c.mu.
func (c *Cluster) interrupted(instance string, after, until time.Duration) bool {
	return slices.ContainsFunc(c.interruptions, func(i interruption) bool {
		return i.instance == instance && i.at > after && i.at <= until
	})
}
