package node

import (
	"fmt"
	"os"
	"slices"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
)

// RoutesSection is the section of the agreed document that holds the rules, as the text of
// a file under the key "toml".
const RoutesSection = "routes"

// DocumentRules are what all instances check documents by. Zones and kinds are each instance's
// own, and not checked here.
func DocumentRules() clusterstate.Rules {
	return clusterstate.Rules{Sections: map[string]clusterstate.SectionValidator{RoutesSection: checkRoutes}}
}

func checkRoutes(d *clusterstate.Document, values map[string]string) []string {
	var wrong []string
	for key := range values {
		if key != "toml" {
			wrong = append(wrong, fmt.Sprintf("%q is no key of this section; toml is", key))
		}
	}
	slices.Sort(wrong)
	names := routing.KnownNames{Classes: []string{}, Tenants: []string{}}
	for _, c := range d.Classes {
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range d.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	f, err := routing.Parse(RoutesSection, []byte(values["toml"]))
	if err == nil {
		_, _, err = routing.Compile(f, names)
	}
	if err != nil {
		wrong = append(wrong, err.Error())
	}
	return wrong
}

// routes compiles the rules of an agreed document, or this instance's own where the group
// has agreed on none.
func (i *Instance) routes(d *clusterstate.Document) (*routing.Table, error) {
	section, ok := d.Sections[RoutesSection]
	if !ok {
		return i.ownRoutes()
	}
	return i.compile(RoutesSection, []byte(section["toml"]))
}

func (i *Instance) ownRoutes() (*routing.Table, error) {
	if i.file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(i.file)
	if err != nil {
		return nil, err
	}
	return i.compile(i.file, raw)
}

func (i *Instance) compile(path string, raw []byte) (*routing.Table, error) {
	f, err := routing.Parse(path, raw)
	if err != nil {
		return nil, err
	}
	t, warnings, err := routing.Compile(f, i.names)
	for _, w := range warnings {
		i.log.WithField("rule", w.Rule).Warn(w.Error())
	}
	return t, err
}

// reroute reads this instance's own rules anew, where it runs by them. It is called on the
// node's loop, or before that runs.
func (i *Instance) reroute() error {
	if r, ok := i.agreedNow(); ok {
		if _, theirs := r.Document.Sections[RoutesSection]; theirs {
			return nil
		}
	}
	t, err := i.ownRoutes()
	if err != nil {
		return err
	}
	for k := range i.node.cores {
		i.node.cores[k].route(t)
	}
	i.log.Info("the rules were read")
	return nil
}

// ExplainRoute implements control.Host: it asks the running core, on its loop.
func (i *Instance) ExplainRoute(in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	type result struct {
		out *schema.ExplainRouteReply
		err error
	}
	done := make(chan result, 1)
	i.node.loop.Post(func() {
		out, err := i.explain(in)
		done <- result{out, err}
	})
	r := <-done
	return r.out, r.err
}

func (i *Instance) explain(in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	front := in.Front
	if front == "" {
		front = "http"
	}
	at := slices.IndexFunc(i.node.cores, func(h hosted) bool { return h.front == front })
	if at < 0 {
		return nil, fmt.Errorf("this instance has no front %q", front)
	}
	h := &i.node.cores[at]
	j := &routing.Job{
		Frontend: front,
		Class:    slices.Index(i.names.Classes, in.Class),
		Host:     in.Host,
		Path:     in.Path,
		Tenant:   slices.Index(i.names.Tenants, in.Tenant),
		RouteKey: in.Key,
		Queue:    in.Queue,
		JobType:  in.Jobtype,
		Header:   func(name string) string { return in.Header[name] },
		CostHint: time.Duration(in.CostUs) * time.Microsecond,
	}
	if in.Class != "" && j.Class < 0 {
		return nil, fmt.Errorf("there is no class %q", in.Class)
	}
	if in.Tenant != "" && j.Tenant < 0 {
		return nil, fmt.Errorf("there is no tenant %q", in.Tenant)
	}
	d := routing.Decision{Class: j.Class}
	if h.table != nil {
		d = h.table.Decide(j)
	}
	out := &schema.ExplainRouteReply{Refused: d.RejectReason}
	if d.Rule != nil {
		out.Rule = fmt.Sprintf("rule %d (%s), %v", d.Rule.Number, d.Rule.Name, d.Rule.Position)
	}
	if d.Class < 0 || d.RejectReason != "" {
		return out, nil
	}
	out.Class = i.names.Classes[d.Class]
	pools := []string{"any worker"}
	if r, ok := d.Route.(*routing.Route); ok && r != nil {
		pools = r.PoolNames()
	}
	t := broker.Request{Class: d.Class, Tenant: max(j.Tenant, 0), ExpectedWork: j.CostHint, Route: d.Route,
		MaxAttempts: d.MaxAttempts, Timeout: i.own.Classes[d.Class].Timeout}
	for n, pool := range pools {
		tier := &schema.Tier{Pool: pool, Out: map[string]string{}}
		for name, v := range h.Explain(t, n) {
			if v.Reason == "" {
				tier.Left = append(tier.Left, name)
			} else {
				tier.Out[name] = v.Reason
			}
		}
		slices.Sort(tier.Left)
		out.Tiers = append(out.Tiers, tier)
	}
	return out, nil
}
