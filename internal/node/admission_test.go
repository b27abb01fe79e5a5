package node

import (
	"slices"
	"testing"
	"time"

	"moorstack/internal/cluster/rollout"
)

func TestRejectionHasReasonAndRetryAfter(t *testing.T) {
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
			t.Errorf("%s: got reason %q", c.name, got)
		}
		if got := a.retryAfter(); got != c.after {
			t.Errorf("%s: got retry after %v", c.name, got)
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
		t.Errorf("got running revision %d and audit events %q, want 2 and run 1, run 2, open 2",
			a.running, auditEvents(t, path))
	}
}
