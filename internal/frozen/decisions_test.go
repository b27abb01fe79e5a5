package frozen

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/frozen/golden"
)

// For the same events, the balancing module takes exactly the actions that an earlier version took.
// testdata/decisions.txt holds the first actions of each trace as text and all of them as a digest.
func TestDecisionsAreTheSameToTheBit(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name     string
		settings balancer.Settings
		opts     traceOptions
	}{
		{"mixed", mixedSettings(), traceOptions{arrivals: 900, interval: 9 * time.Millisecond, workers: 9,
			mixedWorkers: true}},
		{"overload", mixedSettings(), traceOptions{arrivals: 1200, interval: 2 * time.Millisecond,
			workers: 6}},
		{"fleet", fleetSettings(), traceOptions{arrivals: 900, interval: 12 * time.Millisecond, workers: 30,
			mixedWorkers: true}},
		{"routed", routedSettings(), traceOptions{arrivals: 700, interval: 10 * time.Millisecond, workers: 12,
			routed: true}},
		{"sparse", sparseSettings(), traceOptions{arrivals: 700, interval: 40 * time.Millisecond,
			workers: 150, mixedWorkers: true, justStarted: true}},
		{"plain", plainSettings(), traceOptions{arrivals: 1200, interval: 5 * time.Millisecond, workers: 4}},
	} {
		for _, seed := range []uint64{1, 2, 77} {
			tr := newTrace(t, c.settings, c.opts, seed)
			tr.run()
			fmt.Fprintf(&out, "trace %s seed %d\n", c.name, seed)
			for _, line := range tr.firstLines {
				fmt.Fprintf(&out, "\t%s\n", line)
			}
			fmt.Fprintf(&out, "\t%d events, actions %v\n", tr.events, tr.counts) // fmt sorts map keys
			fmt.Fprintf(&out, "\tsha256 of all actions %s\n", hex.EncodeToString(tr.digest.Sum(nil)))
			if tr.counts["send"] < 200 || tr.events < 2000 {
				t.Errorf("%s, seed %d: got %d events with %d attempts, want at least 2000 with 200", c.name,
					seed, tr.events, tr.counts["send"])
			}
		}
	}
	golden.Compare(t, "decisions.txt", out.String())
}

func classes() []balancer.Class {
	return []balancer.Class{
		{
			Name:             "quote",
			LatencyObjective: 120 * time.Millisecond,
			ObjectiveStretch: 1.5,
			Timeout:          900 * time.Millisecond,
			PriorityWeight:   2,
			LateShare:        0.25,
			Idempotency:      balancer.Idempotent,
			WorkerKind:       -1,
		},
		{
			Name:             "book",
			LatencyObjective: 300 * time.Millisecond,
			Timeout:          2 * time.Second,
			PriorityWeight:   9,
			Idempotency:      balancer.IdempotentByKey,
			KeyScope:         balancer.ScopeZone,
			KeyWindow:        3 * time.Second,
			WorkerKind:       -1,
		},
		{
			Name:             "charge",
			LatencyObjective: 400 * time.Millisecond,
			ObjectiveStretch: 1,
			Timeout:          1500 * time.Millisecond,
			PriorityWeight:   5,
			LateShare:        0.5,
			Idempotency:      balancer.NonIdempotent,
			WorkerKind:       1,
		},
		{
			Name:             "chat",
			LatencyObjective: 200 * time.Millisecond,
			Timeout:          2500 * time.Millisecond,
			PriorityWeight:   1,
			Streaming:        true,
			Idempotency:      balancer.IdempotentByKey,
			KeyScope:         balancer.ScopeCell,
			KeyWindow:        time.Second,
			WorkerKind:       0,
			MaxAttempts:      2,
		},
	}
}

func mixedSettings() balancer.Settings {
	return balancer.Settings{DispatcherCount: 1, ZoneCount: 2, WorkerKinds: 2, Classes: classes(),
		Tenants: []balancer.Tenant{
			{Name: "a", CapacityShare: 0.5, QuotaPerSecond: 60},
			{Name: "b", CapacityShare: 0.3, QuotaPerSecond: 40},
			{Name: "c", CapacityShare: 0.2},
		},
		SizeMeaning: balancer.SizeNominal, OverQuotaWeight: 0.3, ReportsStart: true,
		ProgressInterval: 20 * time.Millisecond,
		MinEventInterval: time.Millisecond, LoadReportsByCheck: true,
		Limits: balancer.Limits{
			MaxAttempts:    4,
			CanCancel:      true,
			HealthChecks:   true,
			RetryAfter:     true,
			HedgedRequests: true,
			ConnectTimeout: 100 * time.Millisecond,
			IdleTimeout:    time.Second,
			MaxRetryAfter:  2 * time.Second,
		},
		Rules: balancer.Rules{
			ResponseSlack:     80 * time.Millisecond,
			DrainGrace:        200 * time.Millisecond,
			SlowStartMinShare: 0.2,
			SlowStartWindow:   2 * time.Second,
			OverloadFactor:    1.5,
			OverloadWindow:    500 * time.Millisecond,
			RetryBudgetWindow: time.Second,
			RetryBudgetBase:   5,
			RetryBudgetShare:  0.2,
		},
		Goal: balancer.Goal{Overall: 0.6, WorstWindow: 0.1, WorstClass: 0.2, WorstTenant: 0.1},
		Costs: balancer.Costs{CrossZone: 0.02, WastedWork: 0.1, Connection: 0.001, HealthCheck: 0.0005,
			LateFailure: 0.01}}
}

func fleetSettings() balancer.Settings {
	s := mixedSettings()
	s.DispatcherIndex, s.DispatcherCount, s.Zone, s.ListOnRequest, s.ReportsStart, s.SizeMeaning = 5, 12, 1,
		true, false, balancer.SizeApproximate
	s.Limits.PeerMessages, s.Limits.HealthChecks, s.Limits.HedgedRequests, s.Limits.CanCancel = true, false,
		false, false
	s.Rules.ListPollInterval, s.Rules.FullMayHaveRun, s.WeightByWork = time.Second, true, true
	s.Goal.OnTime, s.Goal.AllowedMissShare = 0.2, 0.05
	return s
}

func sparseSettings() balancer.Settings {
	s := mixedSettings()
	s.DispatcherIndex, s.DispatcherCount, s.OverQuotaWeight = 3, 20, 1
	return s
}

func routedSettings() balancer.Settings {
	s := mixedSettings()
	s.LoadReportsByCheck, s.Rules.RetryBudgetWindow, s.SizeMeaning = false, 0, balancer.SizeLive
	s.Limits.HealthChecks, s.Limits.PeerMessages = false, true
	s.Costs.CrossZone = 0.2
	return s
}

func plainSettings() balancer.Settings {
	return balancer.Settings{DispatcherCount: 1, ZoneCount: 1, WorkerKinds: 1, Classes: classes()[:1],
		Limits: balancer.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second},
		Rules: balancer.Rules{
			ResponseSlack:     100 * time.Millisecond,
			SlowStartMinShare: 0.5,
			SlowStartWindow:   time.Second,
		},
		Goal: balancer.Goal{Overall: 1}}
}
