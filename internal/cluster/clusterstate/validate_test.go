package clusterstate

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestInvalidDocumentsAreRejected(t *testing.T) {
	rules := Rules{Sections: map[string]SectionValidator{
		"levels": func(_ *Document, values map[string]string) []string {
			if values["a"] == "no" {
				return []string{"levels: not allowed"}
			}
			return nil
		},
	}}
	for want, modify := range map[string]func(*Document){
		"at least one":     func(d *Document) { d.Classes = nil },
		"two of this name": func(d *Document) { d.Classes[1].Name = "trip-quote" },
		"it is empty":      func(d *Document) { d.Classes[0].Name = "" },
		"can't be added": func(d *Document) {
			d.Classes = append(d.Classes, Class{Name: "x", Idempotency: "fragile", Timeout: 1e9})
		},
		"can't be removed":        func(d *Document) { d.Classes = d.Classes[:1] },
		"is not retryable":        func(d *Document) { d.Classes[0].Idempotency = "maybe" },
		"effect, key_scope":       func(d *Document) { d.Classes[1].KeyWindow = Duration(time.Minute) },
		"belong to the effect":    func(d *Document) { d.Classes[0].KeyWindow = 1 },
		"give_up: 0s":             func(d *Document) { d.Classes[0].Timeout = 0 },
		"aim: 6s":                 func(d *Document) { d.Classes[0].LatencyObjective = 6e9 },
		"late_share: 2":           func(d *Document) { d.Classes[0].LateShare = 2 },
		"attempts: -1":            func(d *Document) { d.Classes[0].MaxAttempts = -1 },
		"add up to 1.07":          func(d *Document) { d.Tenants[0].CapacityShare = 0.8 },
		"a tenant can't be added": func(d *Document) { d.Tenants = append(d.Tenants, Tenant{Name: "new"}) },
		"number that is none":     func(d *Document) { d.Classes[0].PriorityWeight = math.NaN() },
		"not plain text":          func(d *Document) { d.Sections["a b"] = nil },
		"levels: not allowed":     func(d *Document) { d.Sections["levels"]["a"] = "no" },
	} {
		t.Run(want, func(t *testing.T) {
			s := newState(t, rules, sampleDocument(5))
			c := proposal("x", 1, 9)
			modify(c.Document)
			o := applyAndCommit(s, c)
			if o.Code != Invalid || !strings.Contains(strings.Join(o.Problems, "\n"), want) {
				t.Errorf("%v %v", o.Code, o.Problems)
			}
			if s.CurrentRevision().Number != 1 {
				t.Error("the invalid document is in force")
			}
		})
	}
}
