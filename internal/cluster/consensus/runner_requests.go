package consensus

import (
	"context"
	"maps"
	"strings"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

// post runs f on the runner's goroutine, or not at all if that is busy or has ended.
func (r *Runner) post(f func()) {
	select {
	case r.calls <- f:
	default:
	}
}

// do runs f on the runner's goroutine and waits.
func (r *Runner) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(done) }:
	case <-r.ended:
		return ErrHalted
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-r.ended:
		return ErrHalted
	}
}

// ask makes a request and waits for its answer.
func (r *Runner) ask(ctx context.Context, f func() RequestID) (Response, error) {
	c := make(chan Response, 1)
	if err := r.do(ctx, func() { r.answer[f()] = func(a Response) { c <- a } }); err != nil {
		return Response{}, err
	}
	select {
	case a := <-c:
		return a, nil
	case <-ctx.Done():
		return Response{}, ErrOutcomeUnknown
	}
}

// Propose asks for a change, and waits until it is in force or is not to be; with noWait until
// it begins to take hold.
func (r *Runner) Propose(
	ctx context.Context,
	c clusterstate.Change,
	noWait bool,
) (clusterstate.Outcome, error) {
	a, err := r.ask(ctx, func() RequestID { return r.inst.Propose(c, noWait) })
	if err != nil {
		return clusterstate.Outcome{}, err
	}
	return a.Outcome, a.Err
}

// CheckChange says what would become of a change now, as far as this instance knows.
func (r *Runner) CheckChange(ctx context.Context, c clusterstate.Change) (o clusterstate.Outcome, err error) {
	err = r.View(ctx, func(s *clusterstate.State) { o = s.CheckChange(c) })
	return o, err
}

// Barrier waits until this instance has all that was agreed on before the call.
func (r *Runner) Barrier(ctx context.Context) error {
	a, err := r.ask(ctx, r.inst.ReadIndex)
	if err != nil {
		return err
	}
	return a.Err
}

// View calls f with the agreed state as far as this instance has it.
func (r *Runner) View(ctx context.Context, f func(*clusterstate.State)) error {
	err := ErrNoGroup
	if bad := r.do(ctx, func() {
		if s := r.inst.State(); s != nil {
			err = nil
			f(s)
		}
	}); bad != nil {
		return bad
	}
	return err
}

// Operate changes the members, the leader or a duty, if this instance leads.
func (r *Runner) Operate(ctx context.Context, op *schema.Operation, number uint64) error {
	a, err := r.ask(ctx, func() RequestID { return r.inst.Operate(op, number) })
	if err != nil {
		return err
	}
	if a.Err == nil && a.Outcome.Code != clusterstate.Accepted {
		return &RejectedError{Reason: strings.Join(a.Outcome.Problems, "; ")}
	}
	return a.Err
}

// Bootstrap makes a new group of this instance.
func (r *Runner) Bootstrap(
	ctx context.Context,
	cluster, address string,
	first *clusterstate.Document,
	after uint64,
) error {
	var err error
	if bad := r.do(ctx, func() { err = r.inst.Bootstrap(cluster, address, first, after) }); bad != nil {
		return bad
	}
	return err
}

// Join has this instance belong to a group, durably when it returns.
func (r *Runner) Join(ctx context.Context, cluster string) error {
	var err error
	if bad := r.do(ctx, func() { err = r.inst.Join(cluster) }); bad != nil || err != nil {
		return first(bad, err)
	}
	// The loop writes before it takes the next call.
	return r.do(ctx, func() {})
}

// Compact writes a snapshot now.
func (r *Runner) Compact(ctx context.Context) error {
	if err := r.do(ctx, r.inst.Compact); err != nil {
		return err
	}
	return r.do(ctx, func() {})
}

// ReportSnapshot, Unreachable and ToldRemoved are the transport's word on what became of
// messages.
func (r *Runner) ReportSnapshot(to uint64, ok bool) { r.post(func() { r.inst.ReportSnapshot(to, ok) }) }

// ReportUnreachable says that an instance can't be reached.
func (r *Runner) ReportUnreachable(id uint64) { r.post(func() { r.inst.ReportUnreachable(id) }) }

// ReportRemoved says that another member knows this one to be removed.
func (r *Runner) ReportRemoved() { r.post(r.inst.ReportRemoved) }

// Watch gives a channel that is written to when the state has changed, and its end.
func (r *Runner) Watch() (<-chan struct{}, func()) {
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

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
