package faultinjection

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

const (
	// restartTimeout is how long the restart of an instance may take before the rolling restart's
	// controller halts.
	restartTimeout = 15 * time.Second
	// planInterval is how often the rolling restart's plan is read.
	planInterval = 200 * time.Millisecond
	// operatorTimeout bounds a call by an operator.
	operatorTimeout = time.Second
	// operatorCommandOdds makes an operator stop or undo a rolling restart at one in this many readings
	// of the plan.
	operatorCommandOdds = 40
)

// restartPlan reads the rolling restart's plan from any instance, and the name of the instance that
// holds the controller's lease. It returns false if no instance returns a plan.
func (r *run) restartPlan(ctx context.Context) (plan rollingrestart.Plan, controller string, ok bool) {
	for _, p := range r.Processes {
		if !p.Running() {
			continue
		}
		call, stop := context.WithTimeout(ctx, operatorTimeout)
		reply, err := p.Client.Duties(call, &schema.DutiesRequest{})
		if stop(); err != nil || reply.CutOff {
			continue
		}
		for _, task := range reply.Duties {
			if task.Name == leasedtask.RollingRestartTask {
				plan, err = rollingrestart.DecodePlan(task.Note)
				return plan, task.Holder, err == nil
			}
		}
	}
	return plan, "", false
}

// restartRepeatedly starts one rolling restart after another until ctx ends, and gives operators'
// commands in between. A command that is rejected changes nothing.
func (r *run) restartRepeatedly(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 13))
	active := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(planInterval):
		}
		plan, _, ok := r.restartPlan(ctx)
		if !ok {
			continue
		}
		if active && plan.Status == rollingrestart.Done {
			r.trace("rolling restart: %s", plan.Progress())
			r.mu.Lock()
			r.result.RollingRestarts++
			r.mu.Unlock()
		}
		active = plan.Active()
		kind, wanted := r.restartCommand(plan, rng)
		if !wanted {
			continue
		}
		p := r.Processes[rng.IntN(len(r.Processes))]
		call, stop := context.WithTimeout(ctx, operatorTimeout)
		_, err := p.Client.Operate(call, &schema.Operation{
			Kind:     kind,
			Name:     leasedtask.RollingRestartTask,
			Out:      uint32(r.MaxRestarting),
			WithinNs: int64(restartTimeout),
		})
		if stop(); err == nil {
			r.trace("rolling restart: %v, by %s", kind, p.Name)
			active = true
		}
	}
}

// restartCommand returns the command that an operator gives in view of a plan, if any.
func (r *run) restartCommand(plan rollingrestart.Plan, rng *rand.Rand) (schema.Operation_Kind, bool) {
	switch {
	case !plan.Active():
		return schema.Operation_ROLL, true
	case plan.Status != rollingrestart.Rolling:
		return schema.Operation_ROLL_RESUME, true
	case r.OperatorCommands && rng.IntN(operatorCommandOdds) == 0:
		if rng.IntN(2) == 0 {
			return schema.Operation_ROLL_UNDO, true
		}
		return schema.Operation_ROLL_STOP, true
	}
	return 0, false
}

// awaitRestartEnd stops the rolling restart and waits until no instance is being restarted.
func (r *run) awaitRestartEnd(ctx context.Context) {
	err := RetryUntil(ctx, "ending the rolling restart", func(ctx context.Context) error {
		plan, _, ok := r.restartPlan(ctx)
		if !ok {
			return errors.New("no instance returned the plan")
		}
		if plan.Status == rollingrestart.Rolling || plan.Status == rollingrestart.Halted {
			for _, p := range r.Processes {
				_, _ = p.Client.Operate(ctx, &schema.Operation{Kind: schema.Operation_ROLL_STOP,
					Name: leasedtask.RollingRestartTask})
			}
		}
		restarting := false
		for _, step := range plan.Steps {
			restarting = restarting || step.Phase == rollingrestart.Restarting
		}
		if restarting || plan.Status == rollingrestart.Rolling {
			return errors.New(plan.Progress())
		}
		return nil
	})
	if err != nil {
		r.violate("no recovery after the faults ended: %v", err)
	}
}
