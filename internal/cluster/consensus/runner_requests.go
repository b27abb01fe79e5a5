package consensus

import (
	"context"
	"maps"
	"strings"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// post runs f on the runner's goroutine, or not at all if that is busy or has ended.
func (r *Runner) post(f func()) {
	select {
	case r.calls <- f:
	default:
	}
}

// runAndWait runs f on the runner's goroutine and waits.
func (r *Runner) runAndWait(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
	case <-r.done:
		return ErrHalted
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-r.done:
		return ErrHalted
	}
}

// runWithError is runAndWait with a function that may fail.
func (r *Runner) runWithError(ctx context.Context, f func() error) error {
	var err error
	if failure := r.runAndWait(ctx, func() { err = f() }); failure != nil {
		return failure
	}
	return err
}

// request makes a request and waits for its outcome.
func (r *Runner) request(ctx context.Context, start func() RequestID) (clusterstate.Outcome, error) {
	c := make(chan Response, 1)
	err := r.runAndWait(ctx, func() { r.onResponse[start()] = func(response Response) { c <- response } })
	if err != nil {
		return clusterstate.Outcome{}, err
	}
	select {
	case response := <-c:
		return response.Outcome, response.Err
	case <-ctx.Done():
		return clusterstate.Outcome{}, ErrOutcomeUnknown
	}
}

// Propose requests a change of the configuration, and waits until it is in force or is not to be; with noWait
// until it begins to take hold.
func (r *Runner) Propose(
	ctx context.Context, c clusterstate.Change, noWait bool,
) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.Propose(c, noWait) })
}

// ProposeRolloutCommand puts an operator's command into the log and waits for its outcome.
func (r *Runner) ProposeRolloutCommand(ctx context.Context, c rollout.Command) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.ProposeRolloutCommand(c) })
}

// ProposeCommand puts a command of a replicated state machine into the log, with its id in it, and waits for
// its outcome.
func (r *Runner) ProposeCommand(
	ctx context.Context, section string, e *schema.Change, id string,
) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.ProposeCommand(section, e, id) })
}

// CheckChange gives the outcome that a change would have now, as far as this instance knows.
func (r *Runner) CheckChange(ctx context.Context, c clusterstate.Change) (o clusterstate.Outcome, err error) {
	err = r.View(ctx, func(s *clusterstate.State) { o = s.CheckChange(c) })
	return o, err
}

// Barrier waits until this instance has applied everything that was committed before the call.
func (r *Runner) Barrier(ctx context.Context) error {
	_, err := r.request(ctx, r.instance.ReadIndex)
	return err
}

// View calls f with the cluster state as far as this instance has applied it.
func (r *Runner) View(ctx context.Context, f func(*clusterstate.State)) error {
	return r.runWithError(ctx, func() error {
		s := r.instance.State()
		if s == nil {
			return ErrNoGroup
		}
		f(s)
		return nil
	})
}

// Operate carries out an operation on the members, the leader or a replicated state machine, if this instance
// leads.
func (r *Runner) Operate(ctx context.Context, op *schema.Operation, number uint64) error {
	o, err := r.request(ctx, func() RequestID { return r.instance.Operate(op, number) })
	if err == nil && o.Code != clusterstate.Accepted {
		return &RejectedError{Reason: strings.Join(o.Problems, "; ")}
	}
	return err
}

// Bootstrap makes a new group of this instance.
func (r *Runner) Bootstrap(
	ctx context.Context, cluster, address string, first *clusterstate.Document, after uint64,
) error {
	return r.runWithError(ctx, func() error { return r.instance.Bootstrap(cluster, address, first, after) })
}

// Join has this instance belong to a group, durably when it returns.
func (r *Runner) Join(ctx context.Context, cluster string) error {
	if err := r.runWithError(ctx, func() error { return r.instance.Join(cluster) }); err != nil {
		return err
	}
	return r.persisted(ctx)
}

// Compact writes a snapshot now.
func (r *Runner) Compact(ctx context.Context) error {
	if err := r.runAndWait(ctx, r.instance.Compact); err != nil {
		return err
	}
	return r.persisted(ctx)
}

// persisted waits until the effects of earlier calls are persisted: the loop persists before it takes the
// next call.
func (r *Runner) persisted(ctx context.Context) error { return r.runAndWait(ctx, func() {}) }

// SetDeparting sets whether this instance is about to end, and so has its leased tasks transferred.
func (r *Runner) SetDeparting(ctx context.Context, departing bool) error {
	return r.runAndWait(ctx, func() { r.instance.SetDeparting(departing) })
}

// Watch gives a channel that is written to when the state has changed, and a function that ends it.
func (r *Runner) Watch() (changed <-chan struct{}, end func()) {
	c := make(chan struct{}, 1)
	c <- struct{}{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[c] = true
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		maps.DeleteFunc(r.watchers, func(w chan struct{}, _ bool) bool { return w == c })
	}
}
