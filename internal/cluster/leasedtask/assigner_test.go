package leasedtask

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func neverExpired(uint64) bool { return false }

// threeMembers returns the members n1 to n3; n2 and n3 have the label "disk".
func threeMembers() []Member {
	disk := []string{"disk"}
	return []Member{
		{Session: Session{1, 10}, Name: "n1", Healthy: true},
		{Session: Session{2, 11}, Name: "n2", Healthy: true, Labels: disk},
		{Session: Session{3, 12}, Name: "n3", Healthy: true, Labels: disk},
	}
}

// assignerTest is an assigner with the state and the view that it evaluates.
type assignerTest struct {
	*testing.T
	assigner *Assigner
	state    *State
	view     ClusterView
}

// newAssignerTest returns a test with the tasks a and b, and with c, which requires the label "disk" and
// prefers n3 to n2.
func newAssignerTest(t *testing.T) *assignerTest {
	t.Helper()
	return &assignerTest{t, NewAssigner(0, 1), NewState(0), ClusterView{Lease: time.Second,
		Specs: []Spec{{Name: "a"}, {Name: "b"},
			{Name: "c", RequiredLabel: "disk", PreferredHolders: []string{"n3", "n2"}}},
		Members: threeMembers(), LeaseExpired: neverExpired}}
}

// settle evaluates the state and applies the proposed commands until none is proposed.
func (a *assignerTest) settle(now time.Duration) {
	a.Helper()
	a.view.Now = now
	for range 20 {
		commands := a.assigner.Evaluate(a.state, a.view)
		if len(commands) == 0 {
			return
		}
		for _, c := range commands {
			apply(a.T, a.state, c)
		}
	}
	a.Fatal("commands are still proposed after 20 evaluations")
}

// release applies the release of a task by its holder.
func (a *assignerTest) release(task string, failed bool) {
	a.Helper()
	apply(a.T, a.state, Command{Kind: Release, Task: task, FencingToken: a.state.Tasks[task].FencingToken,
		Failed: failed})
}

func (a *assignerTest) holder(task string) string { return a.state.Tasks[task].HolderName }

func TestTasksGoToEligiblePreferredAndLeastLoadedMembers(t *testing.T) {
	a := newAssignerTest(t)
	a.settle(0)
	if a.holder("c") != "n3" || a.holder("a") == "" || a.holder("b") == "" || a.holder("a") == a.holder("b") {
		t.Fatalf("a, b and c are held by %q, %q and %q; want c held by n3, a and b by different members",
			a.holder("a"), a.holder("b"), a.holder("c"))
	}
}

// A preferred member that departs releases its task, and does not get it back when it returns.
func TestDepartingHolderTransfersItsTask(t *testing.T) {
	a := newAssignerTest(t)
	a.settle(0)
	a.view.Members[2].Departing, a.view.Now = true, 2*time.Second
	commands := a.assigner.Evaluate(a.state, a.view)
	if !slices.ContainsFunc(commands, func(c Command) bool { return c.Kind == Transfer && c.Task == "c" }) {
		t.Fatalf("no command transfers task c from its departing holder: %+v", commands)
	}
	for _, c := range commands {
		apply(t, a.state, c)
	}
	a.release("c", false)
	a.settle(3 * time.Second)
	a.view.Members[2].Departing = false
	a.settle(4 * time.Second)
	if got := a.holder("c"); got != "n2" {
		t.Fatalf("after the preferred member has returned, c is held by %s, want n2", got)
	}
}

// A task does not go back to a member that has failed at it while another member is eligible.
func TestFailedHolderCoolsDown(t *testing.T) {
	a := newAssignerTest(t)
	a.settle(0)
	for _, want := range []string{"n2", "n3"} {
		a.release("c", true)
		a.settle(a.view.Now + time.Second)
		if got := a.holder("c"); got != want {
			t.Fatalf("after a failure c is held by %s, want %s", got, want)
		}
	}
}

// An operator's transfer does not assign a task to a member that is not eligible.
func TestTransferGoesToEligibleMembersOnly(t *testing.T) {
	a := newAssignerTest(t)
	a.settle(0)
	apply(t, a.state, Command{Kind: Transfer, Task: "c", TransferTo: 1, Reason: "by an operator"})
	a.release("c", false)
	a.settle(time.Second)
	if got := a.holder("c"); got == "n1" || got == "" {
		t.Fatalf("c is held by %q, want n2 or n3: n1 lacks the required label", got)
	}
	apply(t, a.state, Command{Kind: Transfer, Task: "c", TransferTo: 2, Reason: "by an operator"})
	a.release("c", false)
	a.settle(2 * time.Second)
	if got := a.holder("c"); got != "n2" {
		t.Fatalf("after a transfer to n2, c is held by %q", got)
	}
}

// Tasks are rebalanced when members join. No task is transferred back and forth: at most three transfers are
// needed.
func TestTasksAreSpread(t *testing.T) {
	a := newAssignerTest(t)
	a.view.Specs = []Spec{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	a.view.Members = threeMembers()[:1]
	a.settle(0)
	transfers := 0
	a.view.Members = threeMembers()
	for a.view.Now = 0; a.view.Now < 200*time.Second; a.view.Now += time.Second {
		for _, c := range a.assigner.Evaluate(a.state, a.view) {
			apply(t, a.state, c)
			if c.Kind == Transfer {
				transfers++
				a.release(c.Task, false)
			}
		}
	}
	held := heldCounts(a.state)
	if held[1] > 2 || held[1]+held[2]+held[3] != 4 || transfers > 3 {
		t.Errorf("held tasks by member: %v after %d transfers; want 4 in all, at most 2 at member 1, "+
			"at most 3 transfers", held, transfers)
	}
}

// The expiry of a lease is proposed again until it is committed; meanwhile no grant counts for tasks.
func TestExpiryIsProposedUntilItIsCommitted(t *testing.T) {
	a := newAssignerTest(t)
	a.state = stateWithHolder(t)
	a.view.Specs = []Spec{{Name: "a"}}
	a.view.LeaseExpired = func(uint64) bool { return true }
	proposed := func() Command {
		t.Helper()
		commands := a.assigner.Evaluate(a.state, a.view)
		if len(commands) != 1 || commands[0].Kind != Expire || a.assigner.CanGrant(1, a.state) {
			t.Fatalf("got %+v and CanGrant(1), want one Expire and no grant for member 1", commands)
		}
		return commands[0]
	}
	proposed()
	if !a.assigner.CanGrant(2, a.state) {
		t.Error("no grant counts for a member that holds no task")
	}
	// The proposal is lost, and the holder reports again.
	a.view.LeaseExpired, a.view.Now = neverExpired, time.Second
	apply(t, a.state, proposed())
	if !a.assigner.CanGrant(1, a.state) {
		t.Error("no grant counts for a member that no longer holds a task")
	}
}

// A suspected member is assigned a task only after all others, but it is assigned one if all are suspected.
func TestSuspicionsOrderAndExcludeNobody(t *testing.T) {
	for _, x := range []struct {
		suspected []bool
		want      uint64
	}{
		{[]bool{false, false}, 1},
		{[]bool{true, false}, 2},
		{[]bool{true, true, false}, 3},
		{[]bool{true, true}, 1}, // the preferred member
	} {
		t.Run(fmt.Sprint(x.suspected), func(t *testing.T) {
			a := newAssignerTest(t)
			a.view.Specs = []Spec{{Name: "a", PreferredHolders: []string{"n1"}}}
			a.view.Members = nil
			for k, suspected := range x.suspected {
				a.view.Members = append(a.view.Members, Member{Session: Session{uint64(k + 1), 1},
					Name: fmt.Sprint("n", k+1), Healthy: true, Suspected: suspected})
			}
			a.settle(0)
			if got := a.state.Tasks["a"].Holder.Member; got != x.want {
				t.Errorf("assigned to member %d, want %d", got, x.want)
			}
		})
	}
}
