package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// While a change waits for a stalled instance, members come and go. The change holds for who has
// come, and waits for who was removed until that one's lease has surely run out.
func TestMembersChangeWhileAChangeTakesHold(t *testing.T) {
	t.Parallel()
	g, lead, rest := newTrio(t, `lease = "2s"`)
	at := func(name string) string { return name + ".toml" }
	g.start("n4")
	g.start("n5")
	wake := g.stall(rest[0])
	g.edit("c.toml", lead, "worth = 5.0", "worth = 6.0")
	g.expect(0, "the rollout as revision 3 has begun", "config", "propose", "c.toml", "--no-wait",
		"--id", "x", "--config", at(lead))
	g.expect(0, "waits for  "+rest[0], "config", "pending", "--config", at(lead))
	// One is added, takes the vote of the stalled one, and another is added.
	g.must("cluster", "add", "n4", g.peerAddress["n4"], "--config", at(lead))
	eventually(t, "n4 catches up", func() bool {
		_, code := g.run("cluster", "replace", rest[0], "n4", "--config", at(lead))
		return code == 0
	})
	g.must("cluster", "add", "n5", g.peerAddress["n5"], "--config", at(lead))
	g.expect(0, "in force as revision 3", "config", "propose", "c.toml", "--id", "x", "--config", at(rest[1]))
	g.waitRunning("3", lead, rest[1], "n4", "n5")
	wake()
	eventually(t, "the removed one knows it", func() bool {
		out, _ := g.run("cluster", "status", "--config", at(rest[0]))
		return strings.Contains(out, "no jobs: this instance has been removed")
	})
	if code, head := g.sendJob(rest[0]); code != 503 || head.Get("X-Refusal") == "" {
		t.Errorf("the removed one answers %d %v", code, head)
	}
}

// A rollback while a change takes hold is a conflict like any other change; after the change it works.
func TestRollbackWhileAChangeTakesHold(t *testing.T) {
	t.Parallel()
	g, lead, rest := newTrio(t, `lease = "1500ms"`)
	at := lead + ".toml"
	g.edit("c.toml", lead, "worth = 5.0", "worth = 6.0")
	g.must("config", "propose", "c.toml", "--config", at)
	wake := g.stall(rest[0])
	g.edit("d.toml", lead, "worth = 6.0", "worth = 7.0")
	g.must("config", "propose", "d.toml", "--no-wait", "--id", "x", "--config", at)
	g.expect(exitConflict, "is taking hold as revision 4", "config", "rollback", "2", "--config", at)
	g.expect(0, "in force as revision 4", "config", "propose", "d.toml", "--id", "x", "--config", at)
	g.expect(0, "in force as revision 5", "config", "rollback", "2", "--config", at)
	wake()
	g.waitRunning("5", "n1", "n2", "n3")
	if out := g.must("config", "get", "--config", rest[0]+".toml"); !strings.Contains(out, "worth = 5.0") {
		t.Errorf("rolled back to %s", out)
	}
}

// The majority is lost for good. By lease nobody serves, by "serve" the rest do; either way nothing
// can change until a new group is made from a backup, which counts on.
func TestGroupAfterALostMajority(t *testing.T) {
	t.Parallel()
	for name, rules := range map[string]string{"lease": `lease = "1s"`, "serve": `cut_off = "serve"`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, lead, rest := newTrio(t, rules)
			last := rest[1]
			g.edit("c.toml", lead, "worth = 5.0", "worth = 6.0")
			g.must("cluster", "backup", "all.backup", "--config", lead+".toml")
			g.kill(lead, syscall.SIGKILL)
			g.kill(rest[0], syscall.SIGKILL)
			eventually(t, "it knows that it is cut off", func() bool {
				out, code := g.run("cluster", "status", "--config", last+".toml")
				return code == exitNoLeader && strings.Contains(out, "ADMITS    no jobs") == (name == "lease")
			})
			if _, head := g.sendJob(last); (head.Get("X-Refusal") != "") != (name == "lease") {
				t.Errorf("cut off, it answers %v", head)
			}
			g.expect(exitNoLeader, "cut off", "config", "propose", "c.toml", "--base", "2", "--config",
				last+".toml")
			// The page's way back: the last one ends, all begin again on empty directories.
			g.kill(last, syscall.SIGTERM)
			for _, n := range []string{"n1", "n2", "n3"} {
				check(t, os.RemoveAll(filepath.Join(g.dir, "d-"+n)))
				g.start(n)
			}
			g.must("cluster", "init", "--from", "all.backup", "--config", "n1.toml")
			g.must("cluster", "add", "n2", g.peerAddress["n2"], "--promote", "--config", "n1.toml")
			g.must("cluster", "add", "n3", g.peerAddress["n3"], "--promote", "--config", "n1.toml")
			g.waitRunning("3", "n1", "n2", "n3")
		})
	}
}

// A disk that is full when a change is to be staged: the change waits for that instance's lease and
// goes on without it. With space again and restarted it catches up.
func TestFullDiskWithdrawsAChangeAtStaging(t *testing.T) {
	t.Parallel()
	g, lead, rest := newTrio(t, `lease = "1s"`)
	full := rest[0]
	none := unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}
	check(t, unix.Prlimit(g.processes[full].Process.Pid, unix.RLIMIT_FSIZE, &none, nil))
	g.edit("c.toml", lead, "worth = 5.0", "worth = 6.0")
	g.expect(0, "in force as revision 3", "config", "propose", "c.toml", "--config", lead+".toml")
	out, code := g.run("cluster", "status", "--config", full+".toml")
	if code != exitNoLeader || !strings.Contains(out, "role      stopped") ||
		!strings.Contains(out, "file too large") ||
		!strings.Contains(out, "ADMITS    no jobs: its lease has run out") {
		t.Errorf("with its disk full: exit %d: %s", code, out)
	}
	began := time.Now()
	if code, head := g.sendJob(full); code != 503 || head.Get("Retry-After") == "" ||
		time.Since(began) > time.Second {
		t.Errorf("with its disk full it answers %d %v after %v", code, head, time.Since(began))
	}
	g.kill(full, syscall.SIGTERM)
	g.start(full)
	g.waitRunning("3", full)
}
