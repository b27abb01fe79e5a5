package emulate

import (
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
)

// Guards against a checker that reports nothing: each kind of violation is found and described.
func TestEveryViolationIsFound(t *testing.T) {
	w := newWorld(t, 1)
	w.Clock.Run(time.Second)
	n, k := w.nodes[0], w.workers[0]
	c := w.invariants
	served := broker.Response{Kind: broker.Served}
	for want, violate := range map[string]func(j *job){
		"drains": func(j *job) {
			c.drainingSince[observationOf(n, k.Name)] = -2 * time.Second
			c.attemptStarted(n, k, j)
		},
		"attempt 6": func(j *job) { j.attempts = 5; c.attemptStarted(n, w.workers[1], j) },
		"run twice": func(j *job) { j.class = &w.scenario.Classes[2]; c.jobRan(j); c.jobRan(j) },
		"second": func(j *job) {
			s := &submission{job: j, node: n}
			j.runs, j.deadline = 1, time.Hour
			c.responded(s, served)
			c.responded(s, served)
		},
		"client's deadline": func(j *job) { j.runs = 1; c.responded(&submission{job: j, node: n}, served) },
		"no worker": func(j *job) {
			j.deadline = time.Hour
			c.responded(&submission{job: j, node: n}, served)
		},
		"jobs arrived,": func(*job) { w.openJobs += 7; c.checkEnd(); w.openJobs -= 7 },
	} {
		c.violations = nil
		violate(&job{world: w, class: &w.scenario.Classes[0], key: "k"})
		if len(c.violations) != 1 || !strings.Contains(c.violations[0], want) {
			t.Errorf("want one violation with %q, got %q", want, c.violations)
		}
	}
}

// A worker in slow start collapses when it is overloaded. This violates the rule only if the senders had
// received its start.
func TestWorkerCollapsesWhenOverloadedInSlowStart(t *testing.T) {
	for _, knewStart := range []bool{true, false} {
		w := newWorld(t, 1)
		w.Clock.Run(time.Second)
		k := w.workers[2]
		k.Crash()
		k.Restart()
		for range 30 {
			k.StartJob(JobRequest{Size: 1, KnewStart: knewStart}, func(balancer.Result) {})
		}
		w.invariants.checkEnd()
		if violated := len(w.invariants.violations) > 0; !k.collapsed || violated != knewStart {
			t.Errorf("start known %v: collapsed %v, violation %v; want a collapse, and a violation if known",
				knewStart, k.collapsed, violated)
		}
	}
}

// An attempt at a worker under maintenance is found even when it comes from the process that replaced the one
// at which maintenance was started. If a node dies without a replacement, its maintenance ends.
func TestAttemptDuringMaintenanceIsFoundAcrossHotRestart(t *testing.T) {
	w := newWorld(t, 1)
	old, k := w.nodes[0], w.workers[0]
	old.startMaintenance(k.Name)
	w.hotRestart(old)
	next := w.nodes[0]
	j := &job{class: &w.scenario.Classes[0]}
	w.Clock.now += maintenanceGrace - 100*time.Millisecond
	w.invariants.attemptStarted(next, k, j)
	if len(w.invariants.violations) > 0 {
		t.Fatal("an attempt within the grace period counts as a violation")
	}
	w.Clock.now += 200 * time.Millisecond
	w.invariants.attemptStarted(next, k, j)
	if len(w.invariants.violations) != 1 {
		t.Fatalf("want one violation for an attempt during maintenance, got %v", w.invariants.violations)
	}
	next.kill()
	if len(w.invariants.maintenanceSince) > 0 {
		t.Error("the maintenance was kept after the node died")
	}
}
