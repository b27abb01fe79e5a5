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

// backWithin is how long an instance that is taken out may take, in the rig, until the conductor halts.
const backWithin = 15 * time.Second

// plan asks any instance how the rolling restart stands, and who conducts.
func (p *play) plan(ctx context.Context) (plan rollingrestart.Plan, conductor string, ok bool) {
	for _, x := range p.List {
		if !x.Up() {
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

// rolls has the instances be taken out one after another, again and again, with wishes in between that
// operators have: what is refused changes nothing.
func (p *play) rolls(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(p.Seed, 13))
	under := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
		plan, _, ok := p.plan(ctx)
		if !ok {
			continue
		}
		if under && plan.Status == rollingrestart.Done {
			p.trace(began, "rolling restart: %s", plan.Progress())
			p.mu.Lock()
			p.res.Rolls++
			p.mu.Unlock()
		}
		under = plan.Active()
		op := schema.Operation{
			Name:     leasedtask.RollingRestartTask,
			Out:      uint32(p.Rolls),
			WithinNs: int64(backWithin),
		}
		switch {
		case !plan.Active():
			op.Kind = schema.Operation_ROLL
		case plan.Status != rollingrestart.Rolling:
			op.Kind = schema.Operation_ROLL_RESUME
		case p.Wishes && rng.IntN(40) == 0:
			if op.Kind = schema.Operation_ROLL_STOP; rng.IntN(2) == 0 {
				op.Kind = schema.Operation_ROLL_UNDO
			}
		default:
			continue
		}
		x := p.List[rng.IntN(len(p.List))]
		call, stop := context.WithTimeout(ctx, time.Second)
		_, err := x.Client.Operate(call, &op)
		if stop(); err == nil {
			p.trace(began, "rolling restart: %v, by %s", op.Kind, x.Name)
			under = true
		}
	}
}

// rolled ends rolling restarts: all that were taken out are back.
func (p *play) rolled(ctx context.Context) {
	err := Until(ctx, "ending the rolling restart", func(ctx context.Context) error {
		plan, _, ok := p.plan(ctx)
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
			for _, x := range p.List {
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

// auditRolls looks for a moment at which more were out by a rolling restart than its plan allows: from when
// a process reads that it is to go until a process of that instance admits jobs.
func auditRolls(all []entry) (broken []string, taken int) {
	out := map[string]bool{}
	started := map[string]bool{}
	for _, e := range all {
		switch e.what {
		case "out":
			most, err := strconv.Atoi(e.rest)
			out[e.who], started[e.who] = true, false
			taken++
			if err != nil || len(out) > most {
				broken = append(broken, fmt.Sprintf("%s is taken out at %v, and %d are out, of %s at the "+
					"most", e.who, e.at, len(out), e.rest))
			}
		case "start":
			started[e.who] = true
		case "open":
			if started[e.who] {
				delete(out, e.who)
			}
		}
	}
	return broken, taken
}

// hit is that an instance was killed or made to stand still.
type hit struct {
	who string
	at  time.Duration
}

func (f *Fleet) hits(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hit = append(f.hit, hit{p.Name, consensus.BootTime()})
}

func (f *Fleet) lose(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = append(f.lost, id)
}

// auditEnds looks for jobs that an instance took and that got no answer though its process ended by wish: by
// a rolling restart, or asked to.
func (f *Fleet) auditEnds(all []entry) (broken []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := map[string]bool{}
	for _, id := range f.lost {
		lost[id] = true
	}
	taken := map[string]map[string]time.Duration{} // by instance and job: when
	for _, e := range all {
		switch words := strings.Fields(e.rest); e.what {
		case "admit":
			if id := words[len(words)-1]; lost[id] {
				if taken[e.who] == nil {
					taken[e.who] = map[string]time.Duration{}
				}
				taken[e.who][id] = e.at
			}
		case "start":
			for id, at := range taken[e.who] {
				struck := slices.ContainsFunc(f.hit, func(h hit) bool {
					return h.who == e.who && h.at > at-clientsTime && h.at <= e.at
				})
				if !struck && e.at-at < clientsTime {
					broken = append(broken, fmt.Sprintf("job %s was admitted by %s at %v and has no answer: "+
						"the process ended by wish, and another began at %v", id, e.who, at, e.at))
				}
			}
			delete(taken, e.who)
		}
	}
	return broken
}
