package node

import (
	"context"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

var _ controlapi.Host = (*Instance)(nil)

// Runner implements controlapi.Host.
func (i *Instance) Runner() *consensus.Runner { return i.env.runner }

// Operate implements controlapi.Host.
func (i *Instance) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return i.env.network.Operate(ctx, op)
}

// RunningRevision implements controlapi.Host.
func (i *Instance) RunningRevision() (revision uint64, problem string) {
	return i.configurator.status()
}

// InitialDocument implements controlapi.Host.
func (i *Instance) InitialDocument() (*clusterstate.Document, error) {
	return clusterstate.DocumentFromSettings(i.configurator.local), nil
}

// Address implements controlapi.Host.
func (i *Instance) Address() string { return i.cfg.Peers.Advertise }

// Program implements controlapi.Host.
func (i *Instance) Program() string { return i.program }

// TickInterval implements controlapi.Host.
func (i *Instance) TickInterval() time.Duration { return time.Duration(i.cfg.Peers.Tick) }

// Counters implements controlapi.Host.
func (i *Instance) Counters() map[string]uint64 {
	c := i.env.network.Counters()
	for name, n := range i.env.runner.Counters() {
		c[name] = n
	}
	c["jobs_refused_by_sessions"] = i.admission.rejected.Load()
	c["jobs_refused_by_rates"] = i.rateLimit.rejected.Load()
	c["occurrences_begun"] = i.schedule.submitted.Load()
	c["workers_shunned"] = uint64(i.outliers.ejectedCount.Load())
	return c
}

// HeldTasks implements controlapi.Host.
func (i *Instance) HeldTasks() []leasedtask.Lease { return i.tasks.heldLeases() }

// MemberState implements controlapi.Host.
func (i *Instance) MemberState(member uint64) (controlapi.MemberState, bool) {
	return i.membership.memberState(member)
}

// ExplainRoute implements controlapi.Host. The explanation is computed on the node's loop.
func (i *Instance) ExplainRoute(in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	type result struct {
		reply *schema.ExplainRouteReply
		err   error
	}
	x := &routeExplainer{node: i.env.node, names: i.names, local: i.configurator.local}
	done := make(chan result, 1)
	i.env.loop().Post(func() {
		reply, err := x.explain(in)
		done <- result{reply, err}
	})
	r := <-done
	return r.reply, r.err
}

// describeFronts describes this instance's fronts to another instance: their zone, the revision that they
// run, and why they admit no jobs. It is called on a goroutine of the transport.
func (i *Instance) describeFronts(d *schema.Description) {
	d.Zone = i.zone()
	if d.Running, d.Why = i.configurator.status(); d.Why != "" {
		return
	}
	// The loop itself must answer whether jobs are admitted: it may be stalled while other goroutines run.
	reason := make(chan string, 1)
	i.env.loop().Post(func() {
		if i.admission.permit.Admits(consensus.BootTime(), i.admission.running) {
			reason <- ""
			return
		}
		reason <- "no job is admitted: " + i.admission.rejectionReason()
	})
	select {
	case d.Why = <-reason:
	case <-time.After(describeTimeout / 2):
		d.Why = "its event loop is stalled"
	}
}
