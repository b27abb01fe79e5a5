package settings

import (
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
)

// mustParse parses a settings object, and fails the test if that is not possible.
func mustParse(t *testing.T, text string) *Params {
	t.Helper()
	p, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Optional settings must not be lost in the conversion: the retry budget, full_unproven, and the allowed
// share of misses.
func TestOptionalSettingsReachBalancer(t *testing.T) {
	set, err := mustParse(t, `{"classes":[],"blend":{"punctual":0.2,"miss_allowed":0.02},"contract":`+
		`{"free_resends":5,"repeat_ratio":0.03,"budget_span":5000000000,"full_unproven":true}}`).Balancer()
	if err != nil {
		t.Fatal(err)
	}
	rules := balancer.Rules{RetryBudgetWindow: 5 * time.Second, RetryBudgetBase: 5, RetryBudgetShare: 0.03,
		FullMayHaveRun: true}
	if set.Rules != rules || set.Goal.OnTime != 0.2 || set.Goal.AllowedMissShare != 0.02 {
		t.Errorf("got rules %+v and goal %+v", set.Rules, set.Goal)
	}
}

// A class's own aim_stretch takes precedence over class_stretch. Requests of a class without a kind
// may go to any worker.
func TestClassesByExtras(t *testing.T) {
	set, err := mustParse(t, `{"classes":[{"name":"a","effect":"retryable","aim_stretch":3},`+
		`{"name":"b","effect":"dedup","key_scope":"zone"},{"name":"c","effect":"fragile"}],`+
		`"extra":{"class_stretch":[1,2],"class_kind":[1,0],"class_priority":[7]}}`).Balancer()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []balancer.Class{
		{Name: "a", Idempotency: balancer.Idempotent, ObjectiveStretch: 3, WorkerKind: 1, Priority: 7},
		{Name: "b", Idempotency: balancer.IdempotentByKey, KeyScope: balancer.ScopeZone, ObjectiveStretch: 2},
		{Name: "c", Idempotency: balancer.NonIdempotent, WorkerKind: -1},
	} {
		if set.Classes[i] != want {
			t.Errorf("class %d is %+v, want %+v", i, set.Classes[i], want)
		}
	}
}

func TestUnknownValuesAreNamed(t *testing.T) {
	for _, c := range []struct{ class, want string }{
		{`{"effect":"maybe"}`, `class 0: unknown effect "maybe"`},
		{`{"effect":"dedup","key_scope":"room"}`, `class 0: unknown key_scope "room"`},
	} {
		_, err := mustParse(t, `{"classes":[`+c.class+`]}`).Balancer()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got error %v, want one with %q", err, c.want)
		}
	}
}

func TestLoadReportValuesFindTheirPlaces(t *testing.T) {
	fields := mustParse(t,
		`{"extra":{"report_x0":"free memory","report_x1":"free slots"}}`).LoadReportFields()
	got := balancer.NoLoadReport
	names := []string{"x0", "x1", "busy_reqs", "pending", "cpu_share", "served_ps", "failed_ps", "svc_ms"}
	for i, name := range names {
		fields.Set(&got, name, float64(i+1))
	}
	want := balancer.LoadReport{Received: true, FreeMemory: 1, FreeSlots: 2, InFlight: 3, QueueLength: 4,
		CPUShare: 5, ServedPerSecond: 6, FailedPerSecond: 7}
	if got != want {
		t.Errorf("got load report %+v, want %+v", got, want)
	}
}
