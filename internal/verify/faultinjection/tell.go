package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/schema"
)

// tell brings the story's faults about, each at its time.
func (p *play) tell(ctx context.Context, began time.Time) {
	for _, f := range p.Story {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(f.At))):
		}
		if f.At > p.For {
			return
		}
		it := ""
		if f.Step != "" {
			within, stop := context.WithTimeout(ctx, patience)
			var ok bool
			it, ok = p.step(within, f.Step, f.Of)
			if stop(); !ok {
				p.trace(began, "%s: nobody came to the step %s %s within %v", f.Kind, f.Step, f.Of, patience)
				continue
			}
		}
		who := p.whom(ctx, f, it)
		if len(who) < len(f.Who) || len(who) == 2 && who[0] == who[1] {
			p.trace(began, "%s: nobody leads, or the same one", f.Kind)
			continue
		}
		p.trace(began, "fault: %s %v %v", f.Kind, who, f.For)
		p.mu.Lock()
		p.res.Faults++
		p.mu.Unlock()
		p.do(f, who)
	}
}

// patience is for how long a fault waits for a step of a change.
const patience = 5 * time.Second

// whom gives the names of those whom a fault befalls, fewer where one can't be told.
func (p *play) whom(ctx context.Context, f Fault, it string) []string {
	var list []string
	for _, w := range f.Who {
		switch w {
		case Leader:
			lead, _ := p.Leader(ctx)
			if lead == nil {
				return nil
			}
			w = lead.Name
		case Conductor:
			_, w, _ = p.plan(ctx)
		case It:
			w = it
		case Asked:
			p.mu.Lock()
			w = p.asked
			p.mu.Unlock()
		}
		if w != "" {
			list = append(list, w)
		}
	}
	return list
}

func (p *play) do(f Fault, who []string) {
	each := func(in, out bool) {
		for _, x := range p.List {
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
		p.Links.set(who[0], who[1], func(w *way) { w.refuse = true })
	case "reset":
		p.Links.Reset(who[0], who[1])
	case "half-open":
		p.Links.HalfOpen(who[0], who[1])
	case "delay":
		p.Links.set(who[0], who[1], func(w *way) { w.delay = f.For })
	case "slow":
		p.Links.set(who[0], who[1], func(w *way) { w.bandwidth = f.Rate })
	case "renew", "roll-back":
		if err := p.Renew(p.Named(who[0]), f.Kind == "renew"); err != nil {
			p.violate("%s can't be started: %v", who[0], err)
		}
	case "heal":
		p.Links.Heal()
	case "ahead", "behind", "true":
		off := f.For
		if f.Kind == "behind" {
			off = -off
		}
		if err := p.SetClock(p.Named(who[0]), off); err != nil {
			p.violate("the clock of %s can't be set: %v", who[0], err)
		}
	case "stall":
		x := p.Named(who[0])
		p.Stall(x, true)
		time.AfterFunc(f.For, func() { p.Stall(x, false) })
	case "restart":
		x := p.Named(who[0])
		p.Kill(x)
		time.AfterFunc(f.For, func() { _ = p.Start(x) })
	case "hand-on":
		// Where it can't be met, say because it holds the duty, nothing changes.
		x := p.Named(who[0])
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		_, _ = x.Client.Operate(ctx, &schema.Operation{Kind: schema.Operation_HAND_ON,
			Name: fmt.Sprintf(leasedtask.DrillTaskFormat, 1), By: x.Name})
	case "full":
		x := p.Named(who[0])
		if err := p.Fill(x); err != nil {
			p.violate("%s: its disk can't be filled: %v", x.Name, err)
		}
		time.AfterFunc(f.For, func() {
			p.Kill(x)
			_ = p.Start(x)
		})
	case "torn":
		x := p.Named(who[0])
		p.Kill(x)
		if err := p.Tear(x, rand.New(rand.NewPCG(p.Seed, uint64(f.At)))); err != nil {
			p.violate("%s: its log can't be torn: %v", x.Name, err)
		}
		time.AfterFunc(f.For, func() { _ = p.Start(x) })
	case "leave":
		x := p.Named(who[0])
		p.Leave(x)
		time.AfterFunc(f.For, func() { _ = p.Start(x) })
	case "kill":
		p.Kill(p.Named(who[0]))
	case "start":
		if err := p.Start(p.Named(who[0])); err != nil {
			p.violate("%s can't be started: %v", who[0], err)
		}
	}
}
