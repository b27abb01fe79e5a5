package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"moorstack/internal/schema"
)

const (
	// retryTimeout is how long RetryUntil keeps trying, and retryCallTimeout bounds one attempt.
	retryTimeout     = time.Minute
	retryCallTimeout = 5 * time.Second
	// statusTimeout bounds a call for an instance's status.
	statusTimeout = time.Second
	// probeInterval is the interval between an instance's probes, as the membership section has it.
	probeInterval = "200ms"
)

// RetryUntil calls attempt until it succeeds, for up to a minute. The error wraps the error of the
// last attempt.
func RetryUntil(ctx context.Context, what string, attempt func(context.Context) error) error {
	err := errors.New("not attempted")
	for end := time.Now().Add(retryTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		call, stop := context.WithTimeout(ctx, retryCallTimeout)
		err = attempt(call)
		if stop(); err == nil {
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// FormGroup creates a group of all instances and waits until all admit jobs.
func (c *Cluster) FormGroup(ctx context.Context) error {
	first := c.Processes[0]
	if err := RetryUntil(ctx, "creating the group", func(ctx context.Context) error {
		_, err := first.Client.Init(ctx, &schema.InitRequest{}, grpc.WaitForReady(true))
		return err
	}); err != nil {
		return err
	}
	for n, p := range c.Processes[1:] {
		ops := []*schema.Operation{{Kind: schema.Operation_ADD, Name: p.Name, Address: p.PeerAddress}}
		if n+1 < c.options.Voters {
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
	return c.WaitAdmitting(ctx)
}

// WaitAdmitting waits until every instance admits jobs.
func (c *Cluster) WaitAdmitting(ctx context.Context) error {
	for _, p := range c.Processes {
		if err := RetryUntil(ctx, "waiting for "+p.Name, func(ctx context.Context) error {
			s := p.Status(ctx)
			if s == nil || !s.Admits {
				return fmt.Errorf("admits no jobs: %s", s.GetAdmitsNot())
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// Status returns an instance's status, or nil if the instance does not respond.
func (p *Process) Status(ctx context.Context) *schema.StatusReply {
	if !p.Running() {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	s, err := p.Client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

// Leader returns the leader of the highest term and the term, or nil if no instance leads.
func (c *Cluster) Leader(ctx context.Context) (*Process, uint64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var leader *Process
	term := uint64(0)
	for _, p := range c.Processes[:c.options.Voters] {
		wg.Go(func() {
			if s := p.Status(ctx); s != nil && s.Role == "leader" {
				mu.Lock()
				defer mu.Unlock()
				if s.Term > term {
					leader, term = p, s.Term
				}
			}
		})
	}
	wg.Wait()
	return leader, term
}

// ProcessByName returns the process of the instance with the given name, or nil.
func (c *Cluster) ProcessByName(name string) *Process {
	for _, p := range c.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// awaitMembership waits until every instance sees all others as alive and reaches them. A timeout is a
// violation: all instances are healthy, and the timeout of RetryUntil is far longer than a refutation takes
// to spread.
func (r *run) awaitMembership(ctx context.Context, healed time.Time) {
	err := RetryUntil(ctx, "waiting for the member states", func(ctx context.Context) error {
		for _, p := range r.Processes {
			s := p.Status(ctx)
			if s == nil {
				return fmt.Errorf("no response from %s", p.Name)
			}
			for _, m := range s.Members {
				if m.Name != p.Name && (m.Seems != "alive" || m.UnreachedS > 0) {
					return fmt.Errorf("%s sees %s as %q, and has not reached it for %.1f s", p.Name, m.Name,
						m.Seems, m.UnreachedS)
				}
			}
		}
		return nil
	})
	if err != nil {
		r.violate("no recovery after the faults ended: %v", err)
	}
	r.result.MembershipRecoveryTime = time.Since(healed)
}
