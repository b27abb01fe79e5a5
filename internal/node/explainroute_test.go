package node

import (
	"strings"
	"testing"

	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
)

func TestExplainRouteReadsTheJob(t *testing.T) {
	brokers := []frontBroker{{front: routing.FrontHTTP}, {front: routing.FrontFaktory}}
	x := &routeExplainer{node: &Node{brokers: brokers},
		names: routing.KnownNames{Classes: []string{"quote", "once"}, Tenants: []string{"t"}}}
	for _, c := range []struct {
		name  string
		in    *schema.ExplainRouteRequest
		front string
		class int
		err   string
	}{
		{"default front", &schema.ExplainRouteRequest{Class: "once", Tenant: "t"},
			routing.FrontHTTP, 1, ""},
		{"another front", &schema.ExplainRouteRequest{Front: "faktory", Class: "quote"},
			routing.FrontFaktory, 0, ""},
		{"no class", &schema.ExplainRouteRequest{}, routing.FrontHTTP, -1, ""},
		{"unknown front", &schema.ExplainRouteRequest{Front: "x"}, "", 0, `this instance has no front "x"`},
		{"unknown class", &schema.ExplainRouteRequest{Class: "x"}, "", 0, `unknown class "x"`},
		{"unknown tenant", &schema.ExplainRouteRequest{Tenant: "x"}, "", 0, `unknown tenant "x"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := x.frontBroker(c.in.Front)
			var job *routing.Job
			if err == nil {
				job, err = x.parseJob(b.front, c.in)
			}
			switch {
			case c.err != "":
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("got error %v, want one with %q", err, c.err)
				}
			case err != nil:
				t.Error(err)
			case job.Front != c.front || job.Class != c.class:
				t.Errorf("got front %q and class %d", job.Front, job.Class)
			}
		})
	}
}
