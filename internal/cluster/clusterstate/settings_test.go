package clusterstate

import (
	"slices"
	"testing"
	"time"

	"moorstack/balancer"
)

func TestDocumentAppliesToSettingsAndBack(t *testing.T) {
	settings := balancer.Settings{
		Classes: []balancer.Class{{Name: "dialysis-book", Timeout: time.Minute,
			Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeCell,
			KeyWindow: 25 * time.Second, PriorityWeight: 1, WorkerKind: 2},
			{Name: "trip-quote", Timeout: time.Minute}},
		Tenants: []balancer.Tenant{{Name: "batinah"}, {Name: "muscat"}},
	}
	got, err := sampleDocument(5).ApplyTo(settings)
	if err != nil {
		t.Fatal(err)
	}
	if c := got.Classes[0]; c.PriorityWeight != 15 || c.WorkerKind != 2 || c.Timeout != 15*time.Second {
		t.Errorf("the class is %+v, want the values of the document and worker kind 2", c)
	}
	if got.Tenants[0].QuotaPerSecond != 9 || settings.Classes[0].PriorityWeight != 1 {
		t.Error("the quota of a tenant is wrong, or ApplyTo has modified its argument")
	}
	roundTrip, err := DocumentFromSettings(got).ApplyTo(got)
	if err != nil || !slices.Equal(roundTrip.Classes, got.Classes) {
		t.Errorf("the settings differ after conversion to a document and back: %v", err)
	}
	settings.Classes[0].KeyScope = balancer.ScopeAll
	if _, err := sampleDocument(5).ApplyTo(settings); err == nil {
		t.Error("settings with another key scope are accepted")
	}
}
