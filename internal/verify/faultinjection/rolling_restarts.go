package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

// restartTimeout is how long an instance that is taken out may take, in the rig, until the conductor halts.
const restartTimeout = 15 * time.Second

// restartPlan asks any instance how the rolling restart stands, and who conducts.
func (p *run) restartPlan(ctx context.Context) (plan rollingrestart.Plan, conductor string, ok bool) {
	for _, x := range p.Processes {
		if !x.Running() {
			continue
		}
		call, stop := context.WithTimeout(ctx, time.Second)
		all, err := x.Client.Duties(call, &schema.DutiesRequest{})
		if stop(); err != nil || all.CutOff {
			continue
		}
		for _, d := range all.Duties {
			if d.Name == leasedtask.RollingRestartTask {
				plan, err = rollingrestart.DecodePlan(d.Note)
				return plan, d.Holder, err == nil
			}
		}
	}
	return plan, "", false
}

// restartRepeatedly has the instances be taken out one after another, again and again, with wishes in
// between that operators have: what is refused changes nothing.
func (p *run) restartRepeatedly(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(p.Seed, 13))
	under := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
		plan, _, ok := p.restartPlan(ctx)
		if !ok {
			continue
		}
		if under && plan.Status == rollingrestart.Done {
			p.trace(began, "rolling restart: %s", plan.Progress())
			p.mu.Lock()
			p.result.RollingRestarts++
			p.mu.Unlock()
		}
		under = plan.Active()
		op := schema.Operation{
			Name:     leasedtask.RollingRestartTask,
			Out:      uint32(p.MaxRestarting),
			WithinNs: int64(restartTimeout),
		}
		switch {
		case !plan.Active():
			op.Kind = schema.Operation_ROLL
		case plan.Status != rollingrestart.Rolling:
			op.Kind = schema.Operation_ROLL_RESUME
		case p.OperatorCommands && rng.IntN(40) == 0:
			if op.Kind = schema.Operation_ROLL_STOP; rng.IntN(2) == 0 {
				op.Kind = schema.Operation_ROLL_UNDO
			}
		default:
			continue
		}
		x := p.Processes[rng.IntN(len(p.Processes))]
		call, stop := context.WithTimeout(ctx, time.Second)
		_, err := x.Client.Operate(call, &op)
		if stop(); err == nil {
			p.trace(began, "rolling restart: %v, by %s", op.Kind, x.Name)
			under = true
		}
	}
}

// awaitRestartEnd ends rolling restarts: all that were taken out are back.
func (p *run) awaitRestartEnd(ctx context.Context) {
	err := RetryUntil(ctx, "ending the rolling restart", func(ctx context.Context) error {
		plan, _, ok := p.restartPlan(ctx)
		if !ok {
			return fmt.Errorf("nobody tells of it")
		}
		out := 0
		for _, s := range plan.Steps {
			if s.Phase == rollingrestart.Restarting {
				out++
			}
		}
		if plan.Status == rollingrestart.Rolling || plan.Status == rollingrestart.Halted {
			for _, x := range p.Processes {
				_, _ = x.Client.Operate(ctx, &schema.Operation{Kind: schema.Operation_ROLL_STOP,
					Name: leasedtask.RollingRestartTask})
			}
		}
		if out > 0 || plan.Status == rollingrestart.Rolling {
			return fmt.Errorf("%s", plan.Progress())
		}
		return nil
	})
	if err != nil {
		p.violate("all is well, and still: %v", err)
	}
}

// auditRollingRestarts looks for a moment at which more were out by a rolling restart than its plan allows:
// from when a process reads that it is to go until a process of that instance admits jobs.
func auditRollingRestarts(all []auditEntry) (broken []string, taken int) {
	out := map[string]bool{}
	started := map[string]bool{}
	for _, e := range all {
		switch e.event {
		case "out":
			most, err := strconv.Atoi(e.args)
			out[e.instance], started[e.instance] = true, false
			taken++
			if err != nil || len(out) > most {
				broken = append(broken, fmt.Sprintf("%s is taken out at %v, and %d are out, of %s at the "+
					"most", e.instance, e.at, len(out), e.args))
			}
		case "start":
			started[e.instance] = true
		case "open":
			if started[e.instance] {
				delete(out, e.instance)
			}
		}
	}
	return broken, taken
}

// interruption is that an instance was killed or made to stand still.
type interruption struct {
	instance string
	at       time.Duration
}

func (f *Cluster) recordInterruption(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interruptions = append(f.interruptions, interruption{p.Name, consensus.BootTime()})
}

func (f *Cluster) recordUnanswered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unansweredJobs = append(f.unansweredJobs, id)
}

// auditShutdowns looks for jobs that an instance took and that got no answer though its process ended by
// wish: by a rolling restart, or asked to.
func (f *Cluster) auditShutdowns(all []auditEntry) (broken []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := map[string]bool{}
	for _, id := range f.unansweredJobs {
		lost[id] = true
	}
	taken := map[string]map[string]time.Duration{} // by instance and job: when
	for _, e := range all {
		switch words := strings.Fields(e.args); e.event {
		case "admit":
			if id := words[len(words)-1]; lost[id] {
				if taken[e.instance] == nil {
					taken[e.instance] = map[string]time.Duration{}
				}
				taken[e.instance][id] = e.at
			}
		case "start":
			for id, at := range taken[e.instance] {
				struck := slices.ContainsFunc(f.interruptions, func(h interruption) bool {
					return h.instance == e.instance && h.at > at-clientTimeout && h.at <= e.at
				})
				if !struck && e.at-at < clientTimeout {
					broken = append(broken, fmt.Sprintf("job %s was admitted by %s at %v and has no answer: "+
						"the process ended by wish, and another began at %v", id, e.instance, at, e.at))
				}
			}
			delete(taken, e.instance)
		}
	}
	return broken
}
