package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
)

// waitRollingRestart waits until the rolling restart has a status, and returns its plan.
func (g *group) waitRollingRestart(status rollingrestart.Status, at ...string) (p rollingrestart.Plan) {
	g.t.Helper()
	defer func() {
		if g.t.Failed() {
			for _, n := range at {
				out, _ := g.run("cluster", "roll", "show", "--config", n+".toml")
				g.t.Logf("at %s:\n%s", n, out)
			}
		}
	}()
	within(g.t, 3*waitLimit, "the rolling restart is "+string(status), func() bool {
		for _, n := range at {
			out, code := g.run("cluster", "roll", "show", "--output", "json", "--config", n+".toml")
			p = rollingrestart.Plan{}
			if code == 0 && json.Unmarshal([]byte(out), &p) == nil && p.Status == status {
				return true
			}
		}
		return false
	})
	return p
}

// A rolling restart takes each instance out once. It halts with a reason at an instance that does not restart
// itself, and its undo completes although its controller is killed.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	all := []string{"n1", "n2", "n3"}
	g.restartsItself = true
	g.form("n1", "n2")
	g.restartsItself = false
	g.start("n3")
	g.must("cluster", "add", "n3", g.peerAddress["n3"], "--promote", "--config", "n1.toml")
	roll := func(code int, want string, args ...string) {
		t.Helper()
		g.expect(code, want, append([]string{"cluster", "roll", "--config", "n2.toml"}, args...)...)
	}
	roll(exitFailed, `rolling restarts are disabled: set roll = "on" in the section "duties"`, "start")
	g.setSections("n1", "[section.duties]\nroll = \"on\"\ndrill = \"1\"\n")
	g.waitAdmitting(all...)
	g.waitHeld(leasedtask.RollingRestartTask, 0, all...)
	roll(exitFailed, `the group has no instance "n7"; its instances are n1, n2, n3`, "start", "--only", "n7")
	roll(exitFailed, "nothing to stop", "stop")
	roll(0, "taken out one after another", "start", "--within", "2s")
	p := g.waitRollingRestart(rollingrestart.Halted, all...)
	if !strings.HasPrefix(p.HaltReason, "n3 is not back within 2s: it has no session") {
		t.Fatalf("unexpected halt: %s", p.Progress())
	}
	g.kill("n3", syscall.SIGTERM) // the process has already exited; this waits for it
	g.restartsItself = true
	g.start("n3")
	g.restartsItself = false
	eventually(t, "the rolling restart resumes", func() bool {
		_, code := g.run("cluster", "roll", "resume", "--config", "n1.toml")
		return code == 0
	})
	g.waitRollingRestart(rollingrestart.Done, all...)
	roll(exitFailed, "nothing to resume: done: 3 restarted", "resume")
	roll(0, "the last first", "undo")
	controller := g.waitHeld(leasedtask.RollingRestartTask, 0, all...).Holder
	g.kill(controller, syscall.SIGKILL)
	g.start(controller)
	if p := g.waitRollingRestart(rollingrestart.Done, all...); !p.Undo || p.Steps[0].Name != "n3" {
		t.Errorf("the undo must start with n3, got %+v", p)
	}
	g.waitAdmitting(all...)
	for _, n := range all {
		restarts := strings.Count(g.logOf(n), "process ends for a rolling restart")
		if restarts > 2 || restarts < 1 || n != controller && restarts < 2 {
			t.Errorf("%s was taken out %d times, the controller was %s", n, restarts, controller)
		}
	}
}
