package consensus

import (
	"context"
	"maps"
	"strings"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// post queues f to run on the runner's goroutine, and does not wait for it. If the queue is full, f is
// dropped; if the runner ends first, f is not called.
func (r *Runner) post(f func()) {
	select {
	case r.calls <- f:
	default:
	}
}

// runAndWait runs f on the runner's goroutine and waits until it has returned.
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

// runWithError is runAndWait for a function that may return an error.
func (r *Runner) runWithError(ctx context.Context, f func() error) error {
	var err error
	if failure := r.runAndWait(ctx, func() { err = f() }); failure != nil {
		return failure
	}
	return err
}

// request starts a request and waits for its outcome.
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

// Propose requests a configuration change, and waits until it is in force or has failed; with noWait, only
// until it is pending.
func (r *Runner) Propose(
	ctx context.Context, c clusterstate.Change, noWait bool,
) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.Propose(c, noWait) })
}

// ProposeRolloutCommand proposes an operator's rollout command and waits for its outcome.
func (r *Runner) ProposeRolloutCommand(ctx context.Context, c rollout.Command) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.ProposeRolloutCommand(c) })
}

// ProposeCommand proposes a command of a replicated state machine, which must contain the id, and waits for
// its outcome.
func (r *Runner) ProposeCommand(
	ctx context.Context, section string, e *schema.Change, id string,
) (clusterstate.Outcome, error) {
	return r.request(ctx, func() RequestID { return r.instance.ProposeCommand(section, e, id) })
}

// CheckChange returns the outcome that a change would have now, given the state that this instance has
// applied.
func (r *Runner) CheckChange(ctx context.Context, c clusterstate.Change) (o clusterstate.Outcome, err error) {
	err = r.View(ctx, func(s *clusterstate.State) { o = s.CheckChange(c) })
	return o, err
}

// Barrier waits until this instance has applied everything that was committed before the call.
func (r *Runner) Barrier(ctx context.Context) error {
	_, err := r.request(ctx, r.instance.ReadIndex)
	return err
}

// View calls f with the cluster state that this instance has applied. f must not modify or retain it.
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

// Operate performs an operation on the members, the leadership or a replicated state machine. It returns a
// NotLeaderError if another instance leads.
func (r *Runner) Operate(ctx context.Context, op *schema.Operation, number uint64) error {
	o, err := r.request(ctx, func() RequestID { return r.instance.Operate(op, number) })
	if err == nil && o.Code != clusterstate.Accepted {
		return &RejectedError{Reason: strings.Join(o.Problems, "; ")}
	}
	return err
}

// Bootstrap creates a new group whose only member is this instance; see Instance.Bootstrap.
func (r *Runner) Bootstrap(
	ctx context.Context, cluster, address string, first *clusterstate.Document, after uint64,
) error {
	return r.runWithError(ctx, func() error { return r.instance.Bootstrap(cluster, address, first, after) })
}

// Join makes this instance a member of a group. The membership is durable when Join returns without an error.
func (r *Runner) Join(ctx context.Context, cluster string) error {
	if err := r.runWithError(ctx, func() error { return r.instance.Join(cluster) }); err != nil {
		return err
	}
	return r.waitUntilPersisted(ctx)
}

// Compact writes a snapshot immediately, unless nothing was applied since the last one.
func (r *Runner) Compact(ctx context.Context) error {
	if err := r.runAndWait(ctx, r.instance.Compact); err != nil {
		return err
	}
	return r.waitUntilPersisted(ctx)
}

// waitUntilPersisted waits until the results of earlier calls are persisted. An empty call suffices, as the
// runner persists everything before it accepts the next call.
func (r *Runner) waitUntilPersisted(ctx context.Context) error { return r.runAndWait(ctx, func() {}) }

// SetDeparting sets whether this instance is shutting down, in which case its leased tasks are transferred to
// others.
func (r *Runner) SetDeparting(ctx context.Context, departing bool) error {
	return r.runAndWait(ctx, func() { r.instance.SetDeparting(departing) })
}

// Watch returns a channel that receives a value when the revision or the applied index has changed, and once
// at the start. The caller must call stop when it no longer needs the channel.
func (r *Runner) Watch() (changed <-chan struct{}, stop func()) {
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
