package faultinjection

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// taskAudit holds the results of an audit of leased tasks.
type taskAudit struct {
	violations []string
	actions    int
	gaps       []time.Duration // times without an action, one for each change of a task's holder
}

// auditTasks reports actions in a leased task under a fencing token that follow an action under a newer
// token, and two instances that act under the same token.
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
			found.violations = append(found.violations, fmt.Sprintf(
				"%s: invalid journal entry on an action: %q", e.instance, e.args))
			continue
		}
		task, before := args[0], latest[args[0]]
		token, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil || token < before.token || token == before.token && e.instance != before.instance {
			found.violations = append(found.violations,
				fmt.Sprintf("%s acted in %s under the fencing token %s %v after %s had under %d", e.instance,
					task, args[1], e.at-before.at, before.instance, before.token))
			continue
		}
		found.actions++
		if token > before.token && before.token > 0 {
			found.gaps = append(found.gaps, e.at-before.at)
		}
		latest[task] = act{e, token}
	}
	return found
}
