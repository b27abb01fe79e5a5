package rollingrestart

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"
)

// restartTest is a group of healthy voters, named n1 and so on, with a plan for all of them.
type restartTest struct {
	*testing.T
	controller *Controller
	plan       Plan
	instances  []InstanceStatus
}

func newRestartTest(t *testing.T, o Options, zones []string) *restartTest {
	t.Helper()
	r := &restartTest{T: t, controller: NewController()}
	var members []Member
	for k, zone := range zones {
		id, name := uint64(k+1), fmt.Sprint("n", k+1)
		members = append(members, Member{id, name, zone, true})
		r.instances = append(r.instances, InstanceStatus{Member: id, Name: name, Zone: zone, Voter: true,
			Incarnation: id, Healthy: true})
	}
	var err error
	if r.plan, err = Start(Plan{}, o, members); err != nil {
		t.Fatal(err)
	}
	return r
}

// down makes instances, given by index, unhealthy and without a session.
func (r *restartTest) down(reason string, indices ...int) {
	for _, k := range indices {
		r.instances[k].Healthy, r.instances[k].Incarnation, r.instances[k].Reason = false, 0, reason
	}
}

// run calls Reconcile once a second between two times while the plan is rolling. Each instance whose step
// begins is restarted at once, except that the one named stuck goes down. It returns the order of the
// restarts.
func (r *restartTest) run(from, until time.Duration, stuck string) (order []string) {
	r.Helper()
	for now := from; r.plan.Status == Rolling && now < until; now += time.Second {
		r.plan, _ = r.controller.Reconcile(now, r.plan, r.instances)
		if n := r.plan.count(Restarting); n > r.plan.MaxUnavailable {
			r.Fatalf("%d instances are restarting, more than allowed", n)
		}
		for k := range r.instances {
			x := &r.instances[k]
			switch {
			case !r.plan.MustRestart(x.Member, x.Incarnation):
			case x.Name == stuck:
				r.down("it has no session", k)
			default:
				order = append(order, x.Name)
				x.Incarnation += 100
			}
		}
	}
	return order
}

// A rolling restart completes, with the leader last. If an instance does not come back, the plan halts with
// the reason, and continues once it is resumed.
func TestRollingRestartOfFiveInstances(t *testing.T) {
	r := newRestartTest(t, Options{MaxUnavailable: 2, Timeout: time.Minute},
		[]string{"z0", "z1", "z0", "z1", "z0"})
	r.instances[0].RestartLast = true
	order := r.run(0, time.Hour, "n4")
	if r.plan.Status != Halted || r.plan.HaltReason != "n4 is not back within 1m0s: it has no session" {
		t.Fatalf("the plan is %s; want halted, with the reason that n4 has no session", r.plan.Progress())
	}
	var err error
	if r.plan, err = Resume(r.plan); err != nil {
		t.Fatal(err)
	}
	if r.plan, _ = r.controller.Reconcile(30*time.Minute, r.plan, r.instances); r.plan.Status != Rolling {
		t.Fatalf("after Resume the plan is %s, want rolling", r.plan.Progress())
	}
	r.instances[3].Healthy, r.instances[3].Incarnation = true, 104
	order = append(order, r.run(time.Hour, 2*time.Hour, "")...)
	if r.plan.Status != Done || order[len(order)-1] != "n1" || len(order) != 4 {
		t.Errorf("the plan is %s after restarts in the order %v; want done, with 4 restarts and n1 last",
			r.plan.Progress(), order)
	}
}

// Which instance is restarted first, or why none is, depends on the statuses of all instances.
func TestWhichInstanceMayRestart(t *testing.T) {
	for name, x := range map[string]struct {
		maxUnavailable int
		change         func(r *restartTest) // of n1 to n5, in the zones a, a, b, b, b
		want           string               // the instance that is restarted, or the halt reason
	}{
		"all are healthy":  {1, func(*restartTest) {}, "n1"},
		"the leader last":  {1, func(r *restartTest) { r.instances[0].RestartLast = true }, "n2"},
		"another is down":  {1, func(r *restartTest) { r.down("silent", 4) }, "n5 is not well: silent"},
		"two may be down":  {2, func(r *restartTest) { r.down("silent", 4) }, "n1"},
		"two are down":     {2, func(r *restartTest) { r.down("silent", 3, 4) }, "n5 is not well: silent"},
		"itself unhealthy": {1, func(r *restartTest) { r.instances[3].Healthy = false }, "n4"},
		"no majority": {4, func(r *restartTest) { r.down("silent", 3, 4) },
			"without n1 only 2 of 5 voters"},
		"it is not a voter": {4, func(r *restartTest) {
			r.down("silent", 3, 4)
			r.instances[0].Voter = false
		}, "n1"},
		"n1 is the last of its zone": {2, func(r *restartTest) { r.down("silent", 1) }, "n3"},
		"the last of every zone": {3, func(r *restartTest) {
			r.down("silent", 1, 3)
			r.instances[2].Zone, r.instances[4].Zone, r.instances[0].Voter = "c", "d", false
		}, "n1 is the last of zone a that is well"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartTest(t, Options{MaxUnavailable: x.maxUnavailable, Timeout: time.Second},
				[]string{"a", "a", "b", "b", "b"})
			x.change(r)
			got := ""
			for now := time.Duration(0); got == "" && now < time.Minute; now += time.Second {
				r.plan, _ = r.controller.Reconcile(now, r.plan, r.instances)
				for _, s := range r.plan.Steps {
					if s.Phase == Restarting {
						got = s.Name
					}
				}
				got = cmp.Or(got, r.plan.HaltReason)
			}
			for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
				r.plan, _ = r.controller.Reconcile(now, r.plan, r.instances)
				if n := r.plan.count(Restarting); n > x.maxUnavailable {
					t.Errorf("%d instances are restarting, more than allowed", n)
				}
			}
			if !strings.HasPrefix(got, x.want) {
				t.Errorf("got %q, want %q", got, x.want)
			}
		})
	}
}
