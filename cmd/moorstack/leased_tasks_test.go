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

// waitHeld waits until an instance holds a leased task with a fencing token above the given.
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
	g.sections("n1", "[section.duties]\ndrill = \"2\"\n")
	first := g.waitHeld("drill-1", 0, all...)

	// By wish: to one that is named, under a greater number.
	to := without(all, first.Holder)[0]
	g.expect(0, "drill-1 is handed on to "+to, "duty", "hand-on", "drill-1", to, "--config", "n2.toml")
	second := g.waitHeld("drill-1", first.Number, all...)
	if second.Holder != to {
		t.Errorf("transferred to %s, and %s holds it", to, second.Holder)
	}
	g.expect(exitFailed, to+" already holds drill-1", "duty", "hand-on", "drill-1", to, "--config", "n1.toml")
	g.expect(exitFailed, `there is no duty "drill-9"; drill-1, drill-2 are`, "duty", "hand-on", "drill-9",
		"--config", "n1.toml")
	g.expect(exitFailed, `there is no duty "drill-9"; drill-1, drill-2 are`, "duty", "show", "drill-9",
		"--config", "n1.toml")
	g.expect(exitFailed, `the group has no instance "n9"`, "duty", "hand-on", "drill-1", "n9", "--config",
		"n1.toml")
	g.expect(exitUsage, "", "duty", "hand-off", "drill-1", "--config", "n1.toml")

	// Paused, nobody holds it; then somebody does again.
	g.expect(0, "drill-1 is paused", "duty", "pause", "drill-1", "--config", "n1.toml")
	eventually(t, "it is released", func() bool {
		d := g.task("drill-1", all...)
		return d != nil && d.Holder == ""
	})
	g.expect(exitFailed, "is paused by socket already", "duty", "pause", "drill-1", "--config", "n2.toml")
	g.expect(exitFailed, "resume it first", "duty", "hand-on", "drill-1", "--config", "n2.toml")
	g.expect(0, "drill-1 is resumed", "duty", "resume", "drill-1", "--config", "n1.toml")
	third := g.waitHeld("drill-1", second.Number, all...)

	// One that shuts down transfers it first; the lease of one that is killed has to expire.
	rest := without(all, third.Holder)
	g.kill(third.Holder, syscall.SIGTERM)
	fourth := g.waitHeld("drill-1", third.Number, rest...)
	if out := g.must("duty", "history", "drill-1", "--config", rest[0]+".toml"); !strings.Contains(out,
		fmt.Sprintf("%d       %s", third.Number, third.Holder)) || strings.Contains(out,
		"its session ended") {
		t.Errorf("shut down, it has not transferred the task: %s", out)
	}
	g.start(third.Holder)
	g.waitAdmitting(third.Holder)
	g.kill(fourth.Holder, syscall.SIGKILL)
	fifth := g.waitHeld("drill-1", fourth.Number, without(all, fourth.Holder)...)
	if fifth.Holder == fourth.Holder {
		t.Errorf("%s is dead and holds drill-1", fifth.Holder)
	}
}

// An instance on standby transfers its tasks, and gets none until it serves again; alone it keeps them.
func TestStandbyInstanceTransfersItsTasks(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.admin = map[string]string{"n1": freeAddress(t), "n2": freeAddress(t), "n3": freeAddress(t)}
	all := []string{"n1", "n2", "n3"}
	g.form("n1")
	g.sections("n1", "[section.duties]\ndrill = \"2\"\n")
	g.waitHeld("drill-1", 0, "n1")
	g.must("call", g.admin["n1"], "standby")
	time.Sleep(500 * time.Millisecond) // in which it must not be released
	if d := g.task("drill-1", "n1"); d == nil || d.Holder != "n1" {
		t.Errorf("nobody else is there, and it is held by %+v", d)
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
	eventually(t, "it may hold tasks again", func() bool {
		_, code := g.run("duty", "hand-on", "drill-1", "n1", "--config", "n2.toml")
		return code == 0
	})
	eventually(t, "it holds it", func() bool {
		d := g.task("drill-1", all...)
		return d != nil && d.Holder == "n1"
	})
}

// One backup for each period, through deaths of whoever keeps them; a directory takes nothing under
// an old number.
func TestBackupTaskWritesBackups(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	all := []string{"n1", "n2", "n3"}
	g.backups = true
	g.form(all[:2]...)
	g.backups = false // the third has no directory
	g.start("n3")
	g.must("cluster", "add", "n3", g.peerAddress["n3"], "--promote", "--config", "n1.toml")
	g.sections("n1", "[section.duties]\nbackup_every = \"1s\"\nbackup_keep = \"5\"\n")
	dir := backups.Dir{Path: filepath.Join(g.dir, "kept"), Verify: func(b []byte) error {
		_, err := controlapi.DecodeBackup(b)
		return err
	}}
	for range 3 {
		d := g.waitHeld(dutyBackup, 0, all...)
		if d.Holder == "n3" {
			t.Fatalf("n3 has no directory and keeps the backups")
		}
		g.expect(exitFailed, `n3 can't hold backup: n3 lacks the label "backups"`, "duty", "hand-on",
			dutyBackup,
			"n3", "--config", "n3.toml")
		g.kill(d.Holder, syscall.SIGKILL)
		after := g.waitHeld(dutyBackup, d.Number, without(all, d.Holder)...)
		eventually(t, "it goes on", func() bool {
			now := g.task(dutyBackup, after.Holder)
			return now != nil && string(now.Note) != "" && string(now.Note) != string(d.Note)
		})
		g.start(d.Holder)
		g.waitAdmitting(d.Holder)
	}
	// The note names the backup that is there, and that is complete.
	d := g.waitHeld(dutyBackup, 0, all...)
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
	_, err = dir.Write(backups.WriteRequest{Group: "another", Task: dutyBackup, FencingToken: 1 << 60,
		Period: time.Now()})
	if err == nil || !strings.Contains(err.Error(), "is of the group") {
		t.Errorf("another group writes: %v", err)
	}
}

const dutyBackup = "backup"
