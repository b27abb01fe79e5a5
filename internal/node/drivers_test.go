package node

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
)

// testEnvironment has a log that nobody reads and an audit log, whose path it gives.
func testEnvironment(t *testing.T) (*environment, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "audit")
	audit, err := openAuditLog(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = audit.close() })
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &environment{name: "one", log: log, audit: audit}, path
}

// auditEvents gives the audit log's lines without their times.
func auditEvents(t *testing.T, path string) (events []string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		_, event, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok {
			t.Fatalf("audit line %q has no time", line)
		}
		events = append(events, event)
	}
	return events
}

func TestNilAuditLogWritesNothing(t *testing.T) {
	var a *auditLog
	if a.write("open %d", 1); a.enabled() {
		t.Error("it is enabled")
	}
}

// fakeDriver records its calls.
type fakeDriver struct {
	name  string
	err   error
	calls *[]string
}

func (f *fakeDriver) Supports(*clusterstate.Document) error { f.call("supports"); return f.err }

func (f *fakeDriver) Prepare(*clusterstate.Document, balancer.Settings) preparedChange {
	f.call("prepare")
	return f
}

func (f *fakeDriver) ClusterChanged(consensus.ClusterView) { f.call("cluster changed") }

func (f *fakeDriver) Apply() { f.call("apply") }

func (f *fakeDriver) call(what string) { *f.calls = append(*f.calls, f.name+" "+what) }

func TestDriversAreCalledInOrder(t *testing.T) {
	var calls []string
	set := driverSet{&fakeDriver{"a", nil, &calls}, &fakeDriver{"b", nil, &calls}}
	change := set.Prepare(nil, balancer.Settings{})
	change.Apply()
	set.ClusterChanged(consensus.ClusterView{})
	want := []string{"a prepare", "b prepare", "a apply", "b apply", "a cluster changed", "b cluster changed"}
	if !slices.Equal(calls, want) {
		t.Errorf("calls %q", calls)
	}
}

func TestFirstUnsupportedReasonIsGiven(t *testing.T) {
	var calls []string
	first, second := errors.New("first"), errors.New("second")
	set := driverSet{&fakeDriver{"a", nil, &calls}, &fakeDriver{"b", first, &calls},
		&fakeDriver{"c", second, &calls}}
	if err := set.Supports(nil); !errors.Is(err, first) {
		t.Errorf("got %v", err)
	}
}

func TestRejectionSaysWhyAndWhenToRetry(t *testing.T) {
	for _, c := range []struct {
		name    string
		permit  rollout.Permit
		running uint64
		reason  string
		after   time.Duration
	}{
		{"no permit", rollout.Permit{ClosedReason: "no leader"}, 3, "no leader", retryAfterLeaseLoss},
		{"for a change", rollout.Permit{ClosedReason: "a change", Change: "x"}, 3, "a change",
			retryAfterChange},
		{"another revision", rollout.Permit{Open: true, Revision: 4}, 3,
			"revision 4 is in force, and 3 runs here", retryAfterLeaseLoss},
		{"expired", rollout.Permit{Open: true, Revision: 3}, 3, "its lease has run out", retryAfterLeaseLoss},
	} {
		a := &admission{permit: c.permit, running: c.running}
		if got := a.rejectionReason(); got != c.reason {
			t.Errorf("%s: reason %q", c.name, got)
		}
		if got := a.retryAfter(); got != c.after {
			t.Errorf("%s: retry after %v", c.name, got)
		}
	}
}

func TestRunningRevisionNeverGoesBack(t *testing.T) {
	env, path := testEnvironment(t)
	a := newAdmission(env)
	a.permit = rollout.Permit{Open: true, Revision: 2, NoExpiry: true}
	a.setRunning(1)
	a.setRunning(2)
	a.setRunning(1)
	if want := []string{"run 1", "run 2", "open 2"}; a.running != 2 ||
		!slices.Equal(auditEvents(t, path), want) {
		t.Errorf("running %d, audit %q", a.running, auditEvents(t, path))
	}
}

func TestNewestRevisionReplacesOlder(t *testing.T) {
	ch := make(chan clusterstate.Revision, 1)
	for n := range uint64(3) {
		replaceNewest(ch, clusterstate.Revision{Number: n})
	}
	if got := <-ch; got.Number != 2 || len(ch) != 0 {
		t.Errorf("got revision %d, and %d more", got.Number, len(ch))
	}
}

func TestStagedChangeIsTakenOnce(t *testing.T) {
	c := &configurator{staged: stagedChange{id: "x"}}
	if _, ok := c.takeStaged("x"); !ok {
		t.Error("it is not taken")
	}
	if _, ok := c.takeStaged("x"); ok {
		t.Error("it is taken twice")
	}
	c.staged = stagedChange{id: "x"}
	if _, ok := c.takeStaged("y"); ok || c.staged.id != "" {
		t.Error("another change takes it, or leaves it")
	}
	if _, ok := c.takeStaged(""); ok {
		t.Error("a revision without a change takes what is not staged")
	}
}

func TestPartitionBoundsSlowStartBudget(t *testing.T) {
	var set balancer.Settings
	set.Rules.OverloadFactor = 2
	held := partition{partitionHeld, 1, 3}.apply(set)
	if held.DispatcherIndex != 1 || held.DispatcherCount != 3 || held.Rules.OverloadFactor != 2 {
		t.Errorf("held: %d of %d, factor %v", held.DispatcherIndex, held.DispatcherCount,
			held.Rules.OverloadFactor)
	}
	if none := (partition{state: partitionNone}).apply(set); none.Rules.OverloadFactor != noBudgetFactor {
		t.Errorf("none: factor %v", none.Rules.OverloadFactor)
	}
}

func TestRejectionSummaryNamesTheWorstAccount(t *testing.T) {
	r := rejections{byKey: map[ratelimit.Key]uint64{}}
	for n := range maxRejectedAccounts + 1 {
		r.add(ratelimit.Key{Account: strings.Repeat("x", n)})
	}
	worst := ratelimit.Key{Account: "xx"}
	r.add(worst)
	most, sum := r.summary()
	if most != worst || sum != maxRejectedAccounts+1 || len(r.byKey) != maxRejectedAccounts {
		t.Errorf("most %v, sum %d, accounts %d", most, sum, len(r.byKey))
	}
}

func TestTriggersAreFoundByName(t *testing.T) {
	p := &schedule.Policy{Triggers: []schedule.Trigger{{Name: "a"}, {Name: "b"}}}
	if got := findTrigger(p, "b"); got != &p.Triggers[1] {
		t.Errorf("got %v", got)
	}
	if got := findTrigger(p, "c"); got != nil {
		t.Errorf("got %v for a name that there is not", got)
	}
}

func TestEndedTaskRunIsInvalidUnderAnyLease(t *testing.T) {
	lease := leasedtask.Lease{Task: "backup", FencingToken: 1, ExpiresAt: time.Hour}
	stopped := false
	r := &taskRun{lease: lease, stop: func() { stopped = true }}
	if !r.Valid(time.Minute) || r.Valid(2*time.Hour) {
		t.Error("it does not go by its lease")
	}
	lease.ReleaseReason = "transferred"
	r.renew(lease)
	if reason := r.end(); reason != "transferred" || !stopped {
		t.Errorf("reason %q, stopped %v", reason, stopped)
	}
	lease.ReleaseReason = ""
	r.renew(lease)
	if r.Valid(time.Minute) {
		t.Error("it acts after its end")
	}
}

func TestUnknownTaskFails(t *testing.T) {
	env, _ := testEnvironment(t)
	known := func(context.Context, *taskRun) error { return nil }
	d := newTaskDriver(env, map[string]taskFunc{"known": known})
	if err := d.workOf("known")(t.Context(), nil); err != nil {
		t.Error(err)
	}
	if err := d.workOf("other")(t.Context(), nil); err == nil {
		t.Error("a task of another program is done")
	}
}

func TestRepeatEndsWithErrorOrContext(t *testing.T) {
	failed := errors.New("failed")
	if err := repeat(t.Context(), time.Millisecond, func() error { return failed }); !errors.Is(err, failed) {
		t.Errorf("got %v", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	if err := repeat(ctx, time.Millisecond, func() error { stop(); return failed }); err != nil {
		t.Errorf("got %v after the context's end", err)
	}
}

func TestBackupNote(t *testing.T) {
	if last, err := lastBackup(nil); err != nil || !last.Period.IsZero() {
		t.Errorf("no note: %v, %v", last, err)
	}
	if _, err := lastBackup([]byte("{")); err == nil {
		t.Error("half a note is read")
	}
}

func TestSelfRestart(t *testing.T) {
	const member, incarnation = 1, 7
	plan := rollingrestart.Plan{MaxUnavailable: 1, Status: rollingrestart.Rolling,
		Steps: []rollingrestart.Step{{Member: member, Phase: rollingrestart.Restarting,
			Incarnation: incarnation}}}
	note, err := plan.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name        string
		incarnation uint64
		setting     string
		order       os.Signal // from outside
		takenOut    bool
		restarts    bool
	}{
		{"its step, in place", incarnation, restartByStarting, nil, true, true},
		{"its step, by ending", incarnation, restartByEnding, nil, true, false},
		{"the step of the incarnation before", incarnation + 1, restartByStarting, nil, false, false},
		{"ordered to end as well", incarnation, restartByStarting, syscall.SIGTERM, true, false},
		{"ordered to reload as well", incarnation, restartByStarting, syscall.SIGHUP, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			env, _ := testEnvironment(t)
			s := newSelfRestart(env, c.setting)
			outside := make(chan os.Signal)
			defer close(outside)
			signals := s.merge(outside)
			if c.order != nil {
				outside <- c.order
				if got := <-signals; got != c.order {
					t.Errorf("signal %v instead of %v", got, c.order)
				}
			}
			for range 2 { // read again, it counts once
				s.planChanged(leasedtask.PlanChanged{Note: note, Member: member, Incarnation: c.incarnation})
			}
			want := 0
			if c.takenOut {
				want = 1
			}
			if len(signals) != want || s.restarts() != c.restarts {
				t.Errorf("%d signals, want %d; restarts %v", len(signals), want, s.restarts())
			}
		})
	}
}
