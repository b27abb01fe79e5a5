package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"moorstack/internal/schema"
)

// RetryUntil tries something until it succeeds, for a minute.
func RetryUntil(ctx context.Context, what string, try func(context.Context) error) error {
	err := errors.New("not tried")
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && ctx.Err() == nil; {
		call, stop := context.WithTimeout(ctx, 5*time.Second)
		err = try(call)
		if stop(); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// FormGroup makes a group of all instances.
func (f *Cluster) FormGroup(ctx context.Context) error {
	first := f.Processes[0]
	if err := RetryUntil(ctx, "making a group", func(ctx context.Context) error {
		_, err := first.Client.Init(ctx, &schema.InitRequest{}, grpc.WaitForReady(true))
		return err
	}); err != nil {
		return err
	}
	for n, p := range f.Processes[1:] {
		ops := []*schema.Operation{{Kind: schema.Operation_ADD, Name: p.Name, Address: p.PeerAddress}}
		if n+1 < f.options.Voters {
			ops = append(ops, &schema.Operation{Kind: schema.Operation_PROMOTE, Name: p.Name})
		}
		for _, op := range ops {
			if err := RetryUntil(ctx, op.Kind.String()+" "+p.Name, func(ctx context.Context) error {
				_, err := first.Client.Operate(ctx, op)
				return err
			}); err != nil {
				return err
			}
		}
	}
	return f.WaitAdmitting(ctx)
}

// WaitAdmitting waits until every instance admits jobs.
func (f *Cluster) WaitAdmitting(ctx context.Context) error {
	for _, p := range f.Processes {
		if err := RetryUntil(ctx, "waiting for "+p.Name, func(ctx context.Context) error {
			s := p.Status(ctx)
			if s == nil || !s.Admits {
				return fmt.Errorf("it admits nothing: %s", s.GetAdmitsNot())
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// Status asks an instance, or gives nil.
func (p *Process) Status(ctx context.Context) *schema.StatusReply {
	if !p.Running() {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	s, err := p.Client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

// Leader is the process that leads in the highest term, or nil.
func (f *Cluster) Leader(ctx context.Context) (*Process, uint64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best *Process
	term := uint64(0)
	for _, p := range f.Processes[:f.options.Voters] {
		wg.Go(func() {
			if s := p.Status(ctx); s != nil && s.Role == "leader" {
				mu.Lock()
				defer mu.Unlock()
				if s.Term > term {
					best, term = p, s.Term
				}
			}
		})
	}
	wg.Wait()
	return best, term
}

// ProcessByName gives an instance by its name.
func (f *Cluster) ProcessByName(name string) *Process {
	for _, p := range f.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// SamplePlatform is a small platform file.
func SamplePlatform() []byte {
	class := func(name, effect string) map[string]any {
		c := map[string]any{"name": name, "credit": 5, "effect": effect, "give_up": 5_000_000_000,
			"slo": 1_000_000_000, "late_share": 0.5}
		if effect == "dedup" {
			c["key_scope"], c["window"] = "cell", 25_000_000_000
		}
		return c
	}
	b, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"zones": []string{"z"}, "kinds": []string{"k"}, "fleet_size": 1,
			"classes": []any{class("trip-quote", "retryable"), class("trip-book", "dedup"),
				class("trip-once", "fragile")},
			"tenants": []any{map[string]any{"name": "muscat", "share": 1}},
			"blend":   map[string]any{"whole": 1}, "membership_mode": "on_request", "worth_by": "work",
			"granularity": 5_000_000,
			"contract": map[string]any{"answer_slack": 20_000_000, "ask_every": 10_000_000_000,
				"cold":       1_000_000,
				"cold_share": 1, "drain_grace": 1_000_000_000, "fall": 1_000_000_000, "overload_factor": 3},
			"limits": map[string]any{"try_limit": 5, "cancel": true, "conn_idle": 15_000_000_000,
				"connect_timeout": 250_000_000, "max_retry_after": 2_000_000_000, "probes": true,
				"retry_after":   true,
				"second_copies": true},
			"extra":  map[string]any{"report_x0": "free slots"},
			"report": map[string]any{"how": "pull", "names": []string{"pending", "x0"}}},
	})
	if err != nil {
		panic(err) // there is nothing in it that can't be written
	}
	return b
}

// probeInterval is how often an instance probes another.
const probeInterval = "200ms"

// awaitMembership waits until each instance believes of each other that it is there: all are, and well.
// Until looks for a minute, far longer than a refutation takes to go round.
func (p *run) awaitMembership(ctx context.Context, healed time.Time) {
	err := RetryUntil(ctx, "what is believed", func(ctx context.Context) error {
		for _, x := range p.Processes {
			s := x.Status(ctx)
			if s == nil {
				return fmt.Errorf("%s does not answer", x.Name)
			}
			for _, m := range s.Members {
				if m.Name != x.Name && (m.Seems != "alive" || m.UnreachedS > 0) {
					return fmt.Errorf("%s takes %s for %q, and has not reached it for %.1f s", x.Name, m.Name,
						m.Seems, m.UnreachedS)
				}
			}
		}
		return nil
	})
	if err != nil {
		p.violate("all is well, and still: %v", err)
	}
	p.result.MembershipRecoveryTime = time.Since(healed)
}
