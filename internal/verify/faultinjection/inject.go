package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// injectFaults brings the story's faults about, each at its time.
func (p *run) injectFaults(ctx context.Context, began time.Time) {
	for _, f := range p.Schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(f.At))):
		}
		if f.At > p.Duration {
			return
		}
		it := ""
		if f.Step != "" {
			within, stop := context.WithTimeout(ctx, stepTimeout)
			var ok bool
			it, ok = p.awaitStep(within, f.Step, f.StepInstance)
			if stop(); !ok {
				p.trace(
					began,
					"%s: nobody came to the step %s %s within %v",
					f.Kind,
					f.Step,
					f.StepInstance,
					stepTimeout,
				)
				continue
			}
		}
		who := p.resolveTargets(ctx, f, it)
		if len(who) < len(f.Targets) || len(who) == 2 && who[0] == who[1] {
			p.trace(began, "%s: nobody leads, or the same one", f.Kind)
			continue
		}
		p.trace(began, "fault: %s %v %v", f.Kind, who, f.Duration)
		p.mu.Lock()
		p.result.Faults++
		p.mu.Unlock()
		p.inject(f, who)
	}
}

// stepTimeout is for how long a fault waits for a step of a change.
const stepTimeout = 5 * time.Second

// resolveTargets gives the names of those whom a fault befalls, fewer where one can't be told.
func (p *run) resolveTargets(ctx context.Context, f Fault, it string) []string {
	var list []string
	for _, w := range f.Targets {
		switch w {
		case TargetLeader:
			lead, _ := p.Leader(ctx)
			if lead == nil {
				return nil
			}
			w = lead.Name
		case TargetRestartController:
			_, w, _ = p.restartPlan(ctx)
		case TargetStepInstance:
			w = it
		case TargetProposer:
			p.mu.Lock()
			w = p.lastProposer
			p.mu.Unlock()
		}
		if w != "" {
			list = append(list, w)
		}
	}
	return list
}

func (p *run) inject(f Fault, who []string) {
	each := func(in, out bool) {
		for _, x := range p.Processes {
			if x.Name == who[0] {
				continue
			}
			if in {
				p.Links.Cut(x.Name, who[0])
			}
			if out {
				p.Links.Cut(who[0], x.Name)
			}
		}
	}
	switch f.Kind {
	case "cut":
		p.Links.Cut(who[0], who[1])
	case "isolate":
		each(true, true)
	case "deaf":
		each(true, false)
	case "mute":
		each(false, true)
	case "refuse":
		p.Links.updatePath(who[0], who[1], func(w *pathState) { w.refuse = true })
	case "reset":
		p.Links.Reset(who[0], who[1])
	case "half-open":
		p.Links.HalfOpen(who[0], who[1])
	case "delay":
		p.Links.updatePath(who[0], who[1], func(w *pathState) { w.delay = f.Duration })
	case "slow":
		p.Links.updatePath(who[0], who[1], func(w *pathState) { w.bandwidth = f.BytesPerSecond })
	case "renew", "roll-back":
		if err := p.SwitchVersion(p.ProcessByName(who[0]), f.Kind == "renew"); err != nil {
			p.violate("%s can't be started: %v", who[0], err)
		}
	case "heal":
		p.Links.Heal()
	case "ahead", "behind", "true":
		off := f.Duration
		if f.Kind == "behind" {
			off = -off
		}
		if err := p.SetClock(p.ProcessByName(who[0]), off); err != nil {
			p.violate("the clock of %s can't be set: %v", who[0], err)
		}
	case "stall":
		x := p.ProcessByName(who[0])
		p.SetStalled(x, true)
		time.AfterFunc(f.Duration, func() { p.SetStalled(x, false) })
	case "restart":
		x := p.ProcessByName(who[0])
		p.Kill(x)
		time.AfterFunc(f.Duration, func() { _ = p.StartProcess(x) })
	case "hand-on":
		// Where it can't be met, say because it holds the duty, nothing changes.
		x := p.ProcessByName(who[0])
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		_, _ = x.Client.Operate(ctx, &schema.Operation{Kind: schema.Operation_HAND_ON,
			Name: fmt.Sprintf(leasedtask.DrillTaskFormat, 1), By: x.Name})
	case "full":
		x := p.ProcessByName(who[0])
		if err := p.FillDisk(x); err != nil {
			p.violate("%s: its disk can't be filled: %v", x.Name, err)
		}
		time.AfterFunc(f.Duration, func() {
			p.Kill(x)
			_ = p.StartProcess(x)
		})
	case "torn":
		x := p.ProcessByName(who[0])
		p.Kill(x)
		if err := p.TearLog(x, rand.New(rand.NewPCG(p.Seed, uint64(f.At)))); err != nil {
			p.violate("%s: its log can't be torn: %v", x.Name, err)
		}
		time.AfterFunc(f.Duration, func() { _ = p.StartProcess(x) })
	case "leave":
		x := p.ProcessByName(who[0])
		p.Terminate(x)
		time.AfterFunc(f.Duration, func() { _ = p.StartProcess(x) })
	case "kill":
		p.Kill(p.ProcessByName(who[0]))
	case "start":
		if err := p.StartProcess(p.ProcessByName(who[0])); err != nil {
			p.violate("%s can't be started: %v", who[0], err)
		}
	}
}
