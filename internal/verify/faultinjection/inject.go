package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// stepTimeout is how long a fault waits for its step before it is skipped.
const stepTimeout = 5 * time.Second

// transferTimeout bounds an operator's call to transfer a leased task.
const transferTimeout = 2 * time.Second

// injectFaults injects the schedule's faults, each at its time, until ctx or the run's duration ends.
func (r *run) injectFaults(ctx context.Context) {
	for _, f := range r.Schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.began.Add(f.At))):
		}
		if f.At > r.Duration {
			return
		}
		stepInstance := ""
		if f.Step != "" {
			within, stop := context.WithTimeout(ctx, stepTimeout)
			var ok bool
			stepInstance, ok = r.awaitStep(within, f.Step, f.StepInstance)
			if stop(); !ok {
				r.trace("%s: skipped, no instance reached the step %s %s within %v", f.Kind, f.Step,
					f.StepInstance, stepTimeout)
				continue
			}
		}
		targets := r.resolveTargets(ctx, f, stepInstance)
		if len(targets) < len(f.Targets) || len(targets) == 2 && targets[0] == targets[1] {
			r.trace("%s: skipped, a target is not known or both targets are the same instance", f.Kind)
			continue
		}
		r.trace("fault: %s %v %v", f.Kind, targets, f.Duration)
		r.mu.Lock()
		r.result.Faults++
		r.mu.Unlock()
		injectors[f.Kind](r, f, targets)
	}
}

// resolveTargets returns the names of the instances that a fault targets. Targets that are not known
// are missing from the result.
func (r *run) resolveTargets(ctx context.Context, f Fault, stepInstance string) []string {
	var list []string
	for _, target := range f.Targets {
		switch target {
		case TargetLeader:
			leader, _ := r.Leader(ctx)
			if leader == nil {
				return nil
			}
			target = leader.Name
		case TargetRestartController:
			_, target, _ = r.restartPlan(ctx)
		case TargetStepInstance:
			target = stepInstance
		case TargetProposer:
			r.mu.Lock()
			target = r.lastProposer
			r.mu.Unlock()
		}
		if target != "" {
			list = append(list, target)
		}
	}
	return list
}

// injector injects a fault of one kind. It gets as many targets as the syntax of the kind requires.
type injector func(r *run, f Fault, targets []string)

var injectors = map[FaultKind]injector{
	faultCut:     func(r *run, _ Fault, targets []string) { r.Links.Cut(targets[0], targets[1]) },
	faultIsolate: func(r *run, _ Fault, targets []string) { r.cutTo(targets[0]); r.cutFrom(targets[0]) },
	faultDeaf:    func(r *run, _ Fault, targets []string) { r.cutTo(targets[0]) },
	faultMute:    func(r *run, _ Fault, targets []string) { r.cutFrom(targets[0]) },
	faultRefuse: func(r *run, _ Fault, targets []string) {
		r.Links.updatePath(targets[0], targets[1], func(s *pathState) { s.refuse = true })
	},
	faultReset:    func(r *run, _ Fault, targets []string) { r.Links.Reset(targets[0], targets[1]) },
	faultHalfOpen: func(r *run, _ Fault, targets []string) { r.Links.HalfOpen(targets[0], targets[1]) },
	faultDelay: func(r *run, f Fault, targets []string) {
		r.Links.updatePath(targets[0], targets[1], func(s *pathState) { s.delay = f.Duration })
	},
	faultSlow: func(r *run, f Fault, targets []string) {
		r.Links.updatePath(targets[0], targets[1], func(s *pathState) { s.bandwidth = f.BytesPerSecond })
	},
	faultHeal:      func(r *run, _ Fault, _ []string) { r.Links.Heal() },
	faultStall:     onProcess((*run).injectStall),
	faultKill:      onProcess(func(r *run, _ Fault, p *Process) { r.Kill(p) }),
	faultRestart:   onProcess(func(r *run, f Fault, p *Process) { r.Kill(p); r.startAfter(f.Duration, p) }),
	faultStart:     onProcess(func(r *run, _ Fault, p *Process) { r.checkStarted(p, r.StartProcess(p)) }),
	faultFullDisk:  onProcess((*run).injectFullDisk),
	faultTornWrite: onProcess((*run).injectTornWrite),
	faultUpgrade: onProcess(func(r *run, _ Fault, p *Process) {
		r.checkStarted(p, r.SwitchVersion(p, true))
	}),
	faultRollBack: onProcess(func(r *run, _ Fault, p *Process) {
		r.checkStarted(p, r.SwitchVersion(p, false))
	}),
	faultTerminate: onProcess(func(r *run, f Fault, p *Process) {
		r.Terminate(p)
		r.startAfter(f.Duration, p)
	}),
	faultClockAhead:   onProcess(func(r *run, f Fault, p *Process) { r.setClock(p, f.Duration) }),
	faultClockBehind:  onProcess(func(r *run, f Fault, p *Process) { r.setClock(p, -f.Duration) }),
	faultClockCorrect: onProcess(func(r *run, _ Fault, p *Process) { r.setClock(p, 0) }),
	faultTransfer:     onProcess((*run).injectTransfer),
}

func onProcess(inject func(r *run, f Fault, p *Process)) injector {
	return func(r *run, f Fault, targets []string) { inject(r, f, r.ProcessByName(targets[0])) }
}

// cutTo cuts the paths from all other instances to an instance.
func (r *run) cutTo(name string) {
	for _, p := range r.Processes {
		if p.Name != name {
			r.Links.Cut(p.Name, name)
		}
	}
}

// cutFrom cuts the paths from an instance to all others.
func (r *run) cutFrom(name string) {
	for _, p := range r.Processes {
		if p.Name != name {
			r.Links.Cut(name, p.Name)
		}
	}
}

func (r *run) injectStall(f Fault, p *Process) {
	r.SetStalled(p, true)
	time.AfterFunc(f.Duration, func() { r.SetStalled(p, false) })
}

func (r *run) injectFullDisk(f Fault, p *Process) {
	if err := r.FillDisk(p); err != nil {
		r.violate("filling the disk of %s: %v", p.Name, err)
	}
	time.AfterFunc(f.Duration, func() {
		r.Kill(p)
		_ = r.StartProcess(p)
	})
}

func (r *run) injectTornWrite(f Fault, p *Process) {
	r.Kill(p)
	if err := r.TearLog(p, rand.New(rand.NewPCG(r.Seed, uint64(f.At)))); err != nil {
		r.violate("appending a partial record to the log of %s: %v", p.Name, err)
	}
	r.startAfter(f.Duration, p)
}

// injectTransfer makes an operator's call that requests the transfer of the first leased task to an
// instance. A request that is rejected, for example because the instance already holds the task,
// changes nothing.
func (r *run) injectTransfer(_ Fault, p *Process) {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	_, _ = p.Client.Operate(ctx, &schema.Operation{Kind: schema.Operation_HAND_ON,
		Name: fmt.Sprintf(leasedtask.DrillTaskFormat, 1), By: p.Name})
}

// startAfter starts a process after a delay, unless it runs by then.
func (r *run) startAfter(delay time.Duration, p *Process) {
	time.AfterFunc(delay, func() { _ = r.StartProcess(p) })
}

func (r *run) checkStarted(p *Process, err error) {
	if err != nil {
		r.violate("starting %s: %v", p.Name, err)
	}
}

func (r *run) setClock(p *Process, ahead time.Duration) {
	if err := r.SetClock(p, ahead); err != nil {
		r.violate("setting the clock of %s: %v", p.Name, err)
	}
}
