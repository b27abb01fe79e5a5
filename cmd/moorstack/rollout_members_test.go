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

// Members are added and removed while a change waits for a stalled instance. The change applies to the added
// ones, and waits for the removed one until its lease must have expired.
func TestMembersChangeWhileAChangeTakesHold(t *testing.T) {
	t.Parallel()
	g, leader, rest := newGroupOfThree(t, `lease = "2s"`)
	configFile := func(name string) string { return name + ".toml" }
	g.start("n4")
	g.start("n5")
	resume := g.stall(rest[0])
	g.edit("c.toml", leader, "worth = 5.0", "worth = 6.0")
	g.expect(0, "the rollout as revision 3 has begun", "config", "propose", "c.toml", "--no-wait",
		"--id", "x", "--config", configFile(leader))
	g.expect(0, "waits for  "+rest[0], "config", "pending", "--config", configFile(leader))
	// n4 is added and replaces the stalled instance as a voter, then n5 is added.
	g.must("cluster", "add", "n4", g.peerAddress["n4"], "--config", configFile(leader))
	eventually(t, "n4 catches up", func() bool {
		_, code := g.run("cluster", "replace", rest[0], "n4", "--config", configFile(leader))
		return code == 0
	})
	g.must("cluster", "add", "n5", g.peerAddress["n5"], "--config", configFile(leader))
	g.expect(0, "in force as revision 3", "config", "propose", "c.toml", "--id", "x", "--config",
		configFile(rest[1]))
	g.waitRunning("3", leader, rest[1], "n4", "n5")
	resume()
	eventually(t, "the removed instance reports its removal", func() bool {
		out, _ := g.run("cluster", "status", "--config", configFile(rest[0]))
		return strings.Contains(out, "no jobs: this instance has been removed")
	})
	if code, header := g.sendJob(rest[0]); code != 503 || header.Get("X-Refusal") == "" {
		t.Errorf("the removed instance answered %d %v, want 503 with a reason", code, header)
	}
}

// A rollback while another change is pending is rejected as a conflict. Once that change is in force, it
// succeeds.
func TestRollbackWhileAChangeTakesHold(t *testing.T) {
	t.Parallel()
	g, leader, rest := newGroupOfThree(t, `lease = "1500ms"`)
	at := leader + ".toml"
	g.edit("c.toml", leader, "worth = 5.0", "worth = 6.0")
	g.must("config", "propose", "c.toml", "--config", at)
	resume := g.stall(rest[0])
	g.edit("d.toml", leader, "worth = 6.0", "worth = 7.0")
	g.must("config", "propose", "d.toml", "--no-wait", "--id", "x", "--config", at)
	g.expect(exitConflict, "is taking hold as revision 4", "config", "rollback", "2", "--config", at)
	g.expect(0, "in force as revision 4", "config", "propose", "d.toml", "--id", "x", "--config", at)
	g.expect(0, "in force as revision 5", "config", "rollback", "2", "--config", at)
	resume()
	g.waitRunning("5", "n1", "n2", "n3")
	if out := g.must("config", "get", "--config", rest[0]+".toml"); !strings.Contains(out, "worth = 5.0") {
		t.Errorf("the configuration after the rollback is %s", out)
	}
}

// The majority is lost permanently. With a lease the remaining instance stops serving, with cut_off = "serve"
// it continues. Either way nothing can change until a new group is created from a backup, which continues the
// numbering of revisions.
func TestGroupAfterALostMajority(t *testing.T) {
	t.Parallel()
	for name, settings := range map[string]string{"lease": `lease = "1s"`, "serve": `cut_off = "serve"`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, leader, rest := newGroupOfThree(t, settings)
			last := rest[1]
			g.edit("c.toml", leader, "worth = 5.0", "worth = 6.0")
			g.must("cluster", "backup", "all.backup", "--config", leader+".toml")
			g.kill(leader, syscall.SIGKILL)
			g.kill(rest[0], syscall.SIGKILL)
			eventually(t, "the last instance reports that it is cut off", func() bool {
				out, code := g.run("cluster", "status", "--config", last+".toml")
				return code == exitNoLeader && strings.Contains(out, "ADMITS    no jobs") == (name == "lease")
			})
			if _, header := g.sendJob(last); (header.Get("X-Refusal") != "") != (name == "lease") {
				t.Errorf("while cut off, it answers with headers %v", header)
			}
			g.expect(exitNoLeader, "cut off", "config", "propose", "c.toml", "--base", "2", "--config",
				last+".toml")
			// As the operators' page describes, the last instance is stopped and all start with empty
			// directories.
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

// An instance's disk is full when a change is to be staged: the change waits until that instance's lease has
// expired and proceeds without it. Restarted with free space, the instance catches up.
func TestFullDiskWithdrawsAChangeAtStaging(t *testing.T) {
	t.Parallel()
	g, leader, rest := newGroupOfThree(t, `lease = "1s"`)
	full := rest[0]
	zeroFileSize := unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}
	check(t, unix.Prlimit(g.processes[full].Process.Pid, unix.RLIMIT_FSIZE, &zeroFileSize, nil))
	g.edit("c.toml", leader, "worth = 5.0", "worth = 6.0")
	g.expect(0, "in force as revision 3", "config", "propose", "c.toml", "--config", leader+".toml")
	out, code := g.run("cluster", "status", "--config", full+".toml")
	if code != exitNoLeader || !strings.Contains(out, "role      stopped") ||
		!strings.Contains(out, "file too large") ||
		!strings.Contains(out, "ADMITS    no jobs: its lease has run out") {
		t.Errorf("status with a full disk: exit %d: %s", code, out)
	}
	began := time.Now()
	if code, header := g.sendJob(full); code != 503 || header.Get("Retry-After") == "" ||
		time.Since(began) > time.Second {
		t.Errorf("with a full disk it answers %d %v after %v", code, header, time.Since(began))
	}
	g.kill(full, syscall.SIGTERM)
	g.start(full)
	g.waitRunning("3", full)
}
