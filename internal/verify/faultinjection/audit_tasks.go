package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// taskAudit is what an audit of leased tasks has found.
type taskAudit struct {
	violations []string
	acts       int
	gaps       []time.Duration // in which nobody acted, each time that a task changed hands
}

// auditTasks looks for an act in a leased task under a fencing token after another under a later
// one, and for two instances that act under one token.
func auditTasks(all []auditEntry) (found taskAudit) {
	type act struct {
		auditEntry
		token uint64
	}
	latest := map[string]act{} // by task
	for _, e := range all {
		if e.event != "act" {
			continue
		}
		args := strings.Fields(e.args)
		if len(args) != 2 {
			found.violations = append(found.violations, fmt.Sprintf("%s: %q is no act", e.instance, e.args))
			continue
		}
		task, before := args[0], latest[args[0]]
		token, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil || token < before.token || token == before.token && e.instance != before.instance {
			found.violations = append(found.violations,
				fmt.Sprintf("%s acted in %s under the number %s %v after %s had under %d", e.instance,
					task, args[1], e.at-before.at, before.instance, before.token))
			continue
		}
		found.acts++
		if token > before.token && before.token > 0 {
			found.gaps = append(found.gaps, e.at-before.at)
		}
		latest[task] = act{e, token}
	}
	return found
}
