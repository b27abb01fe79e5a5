package node

import (
	"fmt"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
)

// routeExplainer explains where the running brokers would send a job. It is confined to the node's loop.
type routeExplainer struct {
	node  *Node
	names routing.KnownNames
	local balancer.Settings // from this instance's platform file
}

func (x *routeExplainer) explain(in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	b, err := x.frontBroker(in.Front)
	if err != nil {
		return nil, err
	}
	job, err := x.parseJob(b.front, in)
	if err != nil {
		return nil, err
	}
	d := routing.Decision{Class: job.Class}
	if b.table != nil {
		d = b.table.Decide(job)
	}
	out := &schema.ExplainRouteReply{Refused: d.RejectReason}
	if d.Rule != nil {
		out.Rule = fmt.Sprintf("rule %d (%s), %v", d.Rule.Number, d.Rule.Name, d.Rule.Position)
	}
	if d.Class < 0 || d.RejectReason != "" {
		return out, nil
	}
	out.Class = x.names.Classes[d.Class]
	out.Tiers = x.explainTiers(b, job, d)
	return out, nil
}

func (x *routeExplainer) frontBroker(front string) (*frontBroker, error) {
	if front == "" {
		front = routing.FrontHTTP
	}
	index := slices.IndexFunc(x.node.brokers, func(b frontBroker) bool { return b.front == front })
	if index < 0 {
		return nil, fmt.Errorf("this instance has no front %q", front)
	}
	return &x.node.brokers[index], nil
}

func (x *routeExplainer) parseJob(front string, in *schema.ExplainRouteRequest) (*routing.Job, error) {
	job := &routing.Job{
		Front:        front,
		Class:        slices.Index(x.names.Classes, in.Class),
		Host:         in.Host,
		Path:         in.Path,
		Tenant:       slices.Index(x.names.Tenants, in.Tenant),
		RouteKey:     in.Key,
		Queue:        in.Queue,
		JobType:      in.Jobtype,
		Header:       func(name string) string { return in.Header[name] },
		ExpectedWork: time.Duration(in.CostUs) * time.Microsecond,
	}
	if in.Class != "" && job.Class < 0 {
		return nil, fmt.Errorf("unknown class %q", in.Class)
	}
	if in.Tenant != "" && job.Tenant < 0 {
		return nil, fmt.Errorf("unknown tenant %q", in.Tenant)
	}
	return job, nil
}

// explainTiers returns the pools in the order in which they are tried, and for each which workers could get
// the job now and why the others could not.
func (x *routeExplainer) explainTiers(b *frontBroker, job *routing.Job,
	d routing.Decision) (tiers []*schema.Tier) {
	pools := []string{"any worker"}
	if r, ok := d.Route.(*routing.Route); ok && r != nil {
		pools = r.PoolNames()
	}
	request := broker.Request{Class: d.Class, Tenant: max(job.Tenant, 0), ExpectedWork: job.ExpectedWork,
		Route:       d.Route,
		MaxAttempts: d.MaxAttempts, Timeout: x.local.Classes[d.Class].Timeout}
	for n, pool := range pools {
		tier := &schema.Tier{Pool: pool, Out: map[string]string{}}
		for worker, verdict := range b.Explain(request, n) {
			if verdict.Reason == "" {
				tier.Left = append(tier.Left, worker)
			} else {
				tier.Out[worker] = verdict.Reason
			}
		}
		slices.Sort(tier.Left)
		tiers = append(tiers, tier)
	}
	return tiers
}
