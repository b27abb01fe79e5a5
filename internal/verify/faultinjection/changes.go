package faultinjection

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/membership"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

const (
	// maxChangePause bounds the random pause between two changes.
	maxChangePause = 200 * time.Millisecond
	// proposeTimeout bounds the calls of one attempt to propose, together.
	proposeTimeout = 4 * time.Second
	// retryPause is the pause between two attempts.
	retryPause = 20 * time.Millisecond
	// decisionTimeout is how long after the run's duration a change may take to be decided. All faults
	// have ended by then, so that it must be decided.
	decisionTimeout = 2 * time.Minute
)

// change is a configuration change. It is proposed repeatedly until it is decided.
type change struct {
	id        string
	number    int
	base      uint64                 // the revision that it is based on
	document  *clusterstate.Document // nil: not read yet
	proposals int
	since     time.Time // when the document was read; before that, when the change was started
}

// makeChanges makes one change after another until the run's duration ends. Each proposal is sent to an
// instance drawn at random. One that gets no response is repeated under the same id.
func (r *run) makeChanges(ctx context.Context) error {
	for n := 0; time.Since(r.began) < r.Duration && (r.MaxChanges == 0 || n < r.MaxChanges); n++ {
		if err := r.makeChange(ctx, n); err != nil {
			return err
		}
		if r.OnProgress != nil {
			r.mu.Lock()
			r.OnProgress(time.Since(r.began), &r.result)
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(r.rng.IntN(int(maxChangePause.Milliseconds()))) * time.Millisecond):
		}
	}
	return nil
}

func (r *run) makeChange(ctx context.Context, number int) error {
	ch := &change{id: fmt.Sprintf("change-%d", number), number: number, since: time.Now()}
	for attempt := 0; ; attempt++ {
		if elapsed := time.Since(ch.since); elapsed > r.Duration+decisionTimeout {
			return fmt.Errorf("%s: not decided after %v", ch.id, elapsed.Round(time.Second))
		}
		if attempt > 0 {
			r.result.Retries++
			time.Sleep(retryPause)
			if time.Since(r.began) > r.Duration {
				r.endFaults()
			}
		}
		p := r.Processes[r.rng.IntN(len(r.Processes))]
		if !p.Running() {
			continue
		}
		r.mu.Lock()
		r.lastProposer = p.Name
		r.mu.Unlock()
		if decided, err := r.proposeOnce(ctx, p, ch); decided || err != nil {
			return err
		}
	}
}

// proposeOnce makes one attempt to propose a change to an instance, and reports whether the change is
// decided.
func (r *run) proposeOnce(ctx context.Context, p *Process, ch *change) (decided bool, err error) {
	call, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	if ch.document == nil {
		reply, err := p.Client.GetConfig(call, &schema.GetConfigRequest{})
		if err != nil {
			return false, nil // the caller retries
		}
		document, err := clusterstate.DecodeDocument(reply.Document)
		if err != nil {
			return false, nil
		}
		if err := r.editDocument(document, ch.number); err != nil {
			return false, err
		}
		ch.document, ch.base, ch.since = document, reply.Revision, time.Now()
	}
	ch.proposals++
	reply, err := p.Client.Propose(call,
		&schema.ProposeRequest{Id: ch.id, Base: ch.base, Document: ch.document.Encode()})
	if err != nil {
		return false, nil
	}
	return r.recordDecision(ch, reply)
}

// editDocument makes the edits of the change with the given number: another priority weight, and the
// sections for the features that the run exercises.
func (r *run) editDocument(document *clusterstate.Document, number int) error {
	document.Classes[0].PriorityWeight = float64(number + 10)
	if document.Sections == nil {
		document.Sections = map[string]map[string]string{}
	}
	if r.DrillTasks > 0 {
		document.Sections[leasedtask.Section] = map[string]string{"drill": strconv.Itoa(r.DrillTasks)}
	}
	if r.MaxRestarting > 0 {
		section := map[string]string{"roll": "on"}
		maps.Copy(section, document.Sections[leasedtask.Section])
		document.Sections[leasedtask.Section] = section
	}
	if r.Accounts > 0 {
		section := rateSection(r.Accounts, r.Instances, number/30)
		policy, problems := ratelimit.ParsePolicy(section, classNames)
		if len(problems) > 0 {
			return fmt.Errorf("the run's own section of rate limits is invalid: %v", problems)
		}
		document.Sections[ratelimit.Section] = section
		r.proposedRates[policy.Version] = policy
	}
	if !r.AllUpgraded() {
		return nil // an earlier version may not know the sections below
	}
	document.Sections[placement.Section] = map[string]string{"cold_parts": "group"}
	document.Sections[membership.Section] = map[string]string{"probe": probeInterval}
	// Every twenty changes the weights change, so that some ownership moves while all instances are
	// healthy.
	if delete(document.Sections, weights.Section); number/20%2 == 1 {
		document.Sections[weights.Section] = map[string]string{"weight.n1": "2.5", "weight.n2": "0.5"}
	}
	if r.Triggers > 0 {
		document.Sections[schedule.Section] = triggerSection(r.ClusterOptions)
	}
	return nil
}

// recordDecision records the outcome of a proposal, and reports whether the change is decided.
func (r *run) recordDecision(ch *change, reply *schema.ProposeReply) (decided bool, err error) {
	switch reply.Code {
	case schema.ProposeReply_ACCEPTED:
		if ch.proposals == 1 {
			r.result.ProposeLatencies = append(r.result.ProposeLatencies, time.Since(ch.since))
		}
		r.trace("%s is in force as revision %d, after %v", ch.id, reply.Revision, time.Since(ch.since))
		r.acknowledged[ch.id] = reply.Revision
		r.result.InForce++
		return true, nil
	case schema.ProposeReply_WITHDRAWN:
		r.trace("%s is withdrawn: %v", ch.id, reply.Problems)
		r.withdrawn[ch.id] = true
		r.result.Withdrawn++
		return true, nil
	case schema.ProposeReply_NO_LEADER, schema.ProposeReply_UNKNOWN:
		return false, nil
	case schema.ProposeReply_INVALID:
		// All instances have been upgraded, but the group does not know it yet: the change is abandoned.
		// The reply has no code for this case, so it is detected by the text, which is part of the
		// replicated state.
		if r.OlderProgram != "" && strings.Contains(strings.Join(reply.Problems, " "), "renew it first") {
			r.trace("%s is refused: %v", ch.id, reply.Problems)
			r.withdrawn[ch.id] = true
			return true, nil
		}
	}
	// The run is the only client, so that no other change can have conflicted with this one.
	return false, fmt.Errorf("%s: %v: %v", ch.id, reply.Code, reply.Problems)
}

// endFaults ends the faults that are still in effect: it heals the links, resumes stalled processes and
// starts killed ones.
func (r *run) endFaults() {
	r.Links.Heal()
	for _, p := range r.Processes {
		r.SetStalled(p, false)
		_ = r.StartProcess(p)
	}
}
