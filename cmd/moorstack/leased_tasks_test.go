package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/operate/backups"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

func (g *group) task(name string, at ...string) (d *schema.Duty) {
	for _, n := range at {
		out, code := g.run("duty", "show", name, "--output", "json", "--config", n+".toml")
		if code == 0 && json.Unmarshal([]byte(out), &d) == nil {
			return d
		}
	}
	return nil
}

// waitHeld waits until an instance holds a leased task with a fencing token above the given one.
func (g *group) waitHeld(name string, above uint64, at ...string) (d *schema.Duty) {
	g.t.Helper()
	eventually(g.t, name+" is held", func() bool {
		d = g.task(name, at...)
		return d != nil && d.Holder != "" && d.Number > above
	})
	return d
}

func TestLeasedTasksMoveBetweenInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	all := []string{"n1", "n2", "n3"}
	g.form(all...)
	g.waitAdmitting(all...)
	g.expect(0, "the configuration has no duties", "duty", "list", "--config", "n1.toml")
	bad := g.must("config", "get", "--config", "n1.toml") + "[section.duties]\ndrill = \"many\"\n"
	check(t, os.WriteFile(filepath.Join(g.dir, "bad.toml"), []byte(bad), 0o600))
	g.expect(exitInvalid, `drill: "many" is not a number from 0 to 100`, "config", "propose", "bad.toml",
		"--config", "n1.toml")
	g.setSections("n1", "[section.duties]\ndrill = \"2\"\n")
	first := g.waitHeld("drill-1", 0, all...)

	// On request the task moves to a named instance, under a greater fencing token.
	target := without(all, first.Holder)[0]
	g.expect(0, "drill-1 is handed on to "+target, "duty", "hand-on", "drill-1", target, "--config",
		"n2.toml")
	second := g.waitHeld("drill-1", first.Number, all...)
	if second.Holder != target {
		t.Errorf("drill-1 was transferred to %s, but %s holds it", target, second.Holder)
	}
	g.expect(exitFailed, target+" already holds drill-1", "duty", "hand-on", "drill-1", target, "--config",
		"n1.toml")
	g.expect(exitFailed, `there is no duty "drill-9"; drill-1, drill-2 are`, "duty", "hand-on", "drill-9",
		"--config", "n1.toml")
	g.expect(exitFailed, `there is no duty "drill-9"; drill-1, drill-2 are`, "duty", "show", "drill-9",
		"--config", "n1.toml")
	g.expect(exitFailed, `the group has no instance "n9"`, "duty", "hand-on", "drill-1", "n9", "--config",
		"n1.toml")
	g.expect(exitUsage, "", "duty", "hand-off", "drill-1", "--config", "n1.toml")

	// No instance holds a paused task; once it is resumed, one does again.
	g.expect(0, "drill-1 is paused", "duty", "pause", "drill-1", "--config", "n1.toml")
	eventually(t, "drill-1 is released", func() bool {
		d := g.task("drill-1", all...)
		return d != nil && d.Holder == ""
	})
	g.expect(exitFailed, "is paused by socket already", "duty", "pause", "drill-1", "--config", "n2.toml")
	g.expect(exitFailed, "resume it first", "duty", "hand-on", "drill-1", "--config", "n2.toml")
	g.expect(0, "drill-1 is resumed", "duty", "resume", "drill-1", "--config", "n1.toml")
	third := g.waitHeld("drill-1", second.Number, all...)

	// An instance that shuts down transfers the task first; the lease of one that is killed must expire.
	rest := without(all, third.Holder)
	g.kill(third.Holder, syscall.SIGTERM)
	fourth := g.waitHeld("drill-1", third.Number, rest...)
	if out := g.must("duty", "history", "drill-1", "--config", rest[0]+".toml"); !strings.Contains(out,
		fmt.Sprintf("%d       %s", third.Number, third.Holder)) || strings.Contains(out,
		"its session ended") {
		t.Errorf("the instance did not transfer the task at its shutdown: %s", out)
	}
	g.start(third.Holder)
	g.waitAdmitting(third.Holder)
	g.kill(fourth.Holder, syscall.SIGKILL)
	fifth := g.waitHeld("drill-1", fourth.Number, without(all, fourth.Holder)...)
	if fifth.Holder == fourth.Holder {
		t.Errorf("%s was killed, but still holds drill-1", fifth.Holder)
	}
}

// An instance on standby transfers its tasks and gets none until it is active again; the only instance of a
// group keeps them.
func TestStandbyInstanceTransfersItsTasks(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.admin = map[string]string{"n1": freeAddress(t), "n2": freeAddress(t), "n3": freeAddress(t)}
	all := []string{"n1", "n2", "n3"}
	g.form("n1")
	g.setSections("n1", "[section.duties]\ndrill = \"2\"\n")
	g.waitHeld("drill-1", 0, "n1")
	g.must("call", g.admin["n1"], "standby")
	time.Sleep(500 * time.Millisecond) // the task must not be released meanwhile
	if d := g.task("drill-1", "n1"); d == nil || d.Holder != "n1" {
		t.Errorf("the only instance must keep drill-1 on standby, got %+v", d)
	}
	for _, n := range all[1:] {
		g.start(n)
		g.must("cluster", "add", n, g.peerAddress[n], "--promote", "--config", "n1.toml")
	}
	for _, name := range []string{"drill-1", "drill-2"} {
		eventually(t, name+" is transferred", func() bool {
			d := g.task(name, all...)
			return d != nil && d.Holder != "" && d.Holder != "n1"
		})
	}
	g.expect(exitFailed, "n1 is draining or shutting down", "duty", "hand-on", "drill-1", "n1", "--config",
		"n2.toml")
	g.must("call", g.admin["n1"], "active")
	eventually(t, "n1 may hold tasks again", func() bool {
		_, code := g.run("duty", "hand-on", "drill-1", "n1", "--config", "n2.toml")
		return code == 0
	})
	eventually(t, "n1 holds drill-1", func() bool {
		d := g.task("drill-1", all...)
		return d != nil && d.Holder == "n1"
	})
}

// Backups continue although the instances that write them are killed, one after another; a directory rejects
// backups of another group, even with a greater fencing token.
func TestBackupTaskWritesBackups(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	all := []string{"n1", "n2", "n3"}
	g.backups = true
	g.form(all[:2]...)
	g.backups = false // n3 gets no directory for backups
	g.start("n3")
	g.must("cluster", "add", "n3", g.peerAddress["n3"], "--promote", "--config", "n1.toml")
	g.setSections("n1", "[section.duties]\nbackup_every = \"1s\"\nbackup_keep = \"5\"\n")
	dir := backups.Dir{Path: filepath.Join(g.dir, "kept"), Verify: func(b []byte) error {
		_, err := controlapi.DecodeBackup(b)
		return err
	}}
	for range 3 {
		d := g.waitHeld(backupTask, 0, all...)
		if d.Holder == "n3" {
			t.Fatalf("n3 has no backup directory, but holds the task")
		}
		g.expect(exitFailed, `n3 can't hold backup: n3 lacks the label "backups"`, "duty", "hand-on",
			backupTask,
			"n3", "--config", "n3.toml")
		g.kill(d.Holder, syscall.SIGKILL)
		after := g.waitHeld(backupTask, d.Number, without(all, d.Holder)...)
		eventually(t, "the new holder writes a backup", func() bool {
			now := g.task(backupTask, after.Holder)
			return now != nil && string(now.Note) != "" && string(now.Note) != string(d.Note)
		})
		g.start(d.Holder)
		g.waitAdmitting(d.Holder)
	}
	// The task's note describes the last backup, and all backups that are kept are complete.
	d := g.waitHeld(backupTask, 0, all...)
	var kept backups.Result
	check(t, json.Unmarshal(d.Note, &kept))
	list, err := dir.List()
	if err != nil || len(list) == 0 || len(list) > 5 {
		t.Fatalf("%v: %v", err, list)
	}
	for _, name := range list {
		b, err := os.ReadFile(filepath.Join(dir.Path, name))
		if err != nil || dir.Verify(b) != nil {
			t.Errorf("%s: %v, %v", name, err, dir.Verify(b))
		}
	}
	_, err = dir.Write(backups.WriteRequest{Group: "another", Task: backupTask, FencingToken: 1 << 60,
		Period: time.Now()})
	if err == nil || !strings.Contains(err.Error(), "is of the group") {
		t.Errorf("a backup of another group: got error %v, want a rejection", err)
	}
}

const backupTask = "backup"
