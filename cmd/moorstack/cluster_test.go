package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestGroupAgreesAndSurvives(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1", "n2", "n3")
	g.checkProposals()

	// The leader is killed, and the other two accept a change. Restarted, it catches up.
	leader := g.leader("n1", "n2", "n3")
	others := map[string][]string{"n1": {"n2", "n3"}, "n2": {"n1", "n3"}, "n3": {"n1", "n2"}}[leader]
	g.kill(leader, syscall.SIGKILL)
	g.leader(others...)
	g.edit("c.toml", others[0], "worth = 7.0", "worth = 8.0")
	g.must("config", "propose", "c.toml", "--config", others[1]+".toml")
	g.start(leader)
	g.waitRevision(leader, "3")

	// An instance without a majority keeps the agreed configuration, reports that it is cut off, and rejects
	// changes at once.
	g.must("cluster", "backup", "all.backup", "--config", leader+".toml")
	g.kill(others[0], syscall.SIGKILL)
	g.kill(others[1], syscall.SIGKILL)
	eventually(t, "the last instance reports that it is cut off", func() bool {
		out, code := g.run("cluster", "status", "--config", leader+".toml")
		return code == exitNoLeader && strings.Contains(out, "CUT OFF") &&
			strings.Contains(out, "running   revision 3")
	})
	began := time.Now()
	g.expect(exitNoLeader, "cut off", "config", "propose", "c.toml", "--base", "3", "--config",
		leader+".toml")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the rejection took %v, want at most 2s", took)
	}
	g.expect(0, "revision = 3", "config", "get", "--local", "--config", leader+".toml")
	g.expect(0, "is cut off", "config", "get", "--local", "--config", leader+".toml")

	// A new group from the backup continues the numbering of revisions.
	g.start("m1")
	g.expect(0, "agreed    revision 4", "cluster", "init", "--from", "all.backup", "--config", "m1.toml")
	check(t, os.WriteFile(filepath.Join(g.dir, "broken.backup"), bytes.Repeat([]byte("MOORBACK"), 9), 0o600))
	g.expect(exitInvalid, "backup has format", "cluster", "restore", "broken.backup", "--config", "m1.toml")
	g.kill(leader, syscall.SIGTERM)
	g.expect(0, "verdict    whole", "store", "check", "d-"+leader+"/agreement")
}

// checkProposals checks that a change proposed at one instance comes into force at another, that a stale
// change, an invalid one and one that can't be applied to running instances are rejected with a reason, and
// that proposing a change again under the same ID does not apply it twice.
func (g *group) checkProposals() {
	g.t.Helper()
	g.edit("c.toml", "n2", "worth = 5.0", "worth = 7.0")
	g.expect(0, "it would come into force as revision 2",
		"config", "propose", "c.toml", "--dry-run", "--config", "n3.toml")
	g.expect(0, "in force as revision 2", "config", "propose", "c.toml", "--id", "x", "--config", "n3.toml")
	g.expect(0, "in force as revision 2", "config", "propose", "c.toml", "--id", "x", "--config", "n2.toml")
	g.expect(exitConflict, "worth 5 -> 7", "config", "propose", "c.toml", "--config", "n1.toml")
	g.edit("bad.toml", "n1", `give_up = "5s"`, `give_up = "0s"`)
	g.expect(exitInvalid, `bad.toml:7: class "trip-quote": give_up`,
		"config", "propose", "bad.toml", "--config", "n1.toml")
	g.edit("bad.toml", "n1", `window = "25s"`, `window = "26s"`)
	g.expect(exitInvalid, "can't change while instances run",
		"config", "propose", "bad.toml", "--config", "n1.toml")
	g.edit("bad.toml", "n1", "share", "sharr")
	g.expect(exitUsage, "bad.toml:", "config", "propose", "bad.toml", "--config", "n1.toml")
	g.expect(0, "revision 2 by socket",
		"config", "watch", "--count", "1", "--from", "2", "--config", "n1.toml")
	g.waitRevision("n3", "2")
}

func TestMembersAreReplacedAndRolledBack(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1", "n2", "n3")
	// A rollback creates a new revision with the content of an older one.
	g.edit("c.toml", "n1", "worth = 5.0", "worth = 6.0")
	g.must("config", "propose", "c.toml", "--config", "n1.toml")
	g.expect(0, "in force as revision 3", "config", "rollback", "1", "--config", "n2.toml")
	if out := g.must("config", "diff", "1", "3", "--config", "n3.toml"); strings.TrimSpace(out) != "" {
		t.Errorf("revision 3 differs from 1: %s", out)
	}
	g.expect(exitFailed, "revision 9 is not kept", "config", "rollback", "9", "--config", "n2.toml")
	// An instance whose data was deleted is a new one: it does not get back the vote of its old name.
	g.kill("n3", syscall.SIGKILL)
	check(t, os.RemoveAll(filepath.Join(g.dir, "d-n3")))
	g.start("n3")
	g.expect(0, "belongs to no group", "cluster", "status", "--config", "n3.toml")
	g.expect(exitFailed, "remove it first", "cluster", "add", "n3", g.peerAddress["n3"], "--config",
		"n1.toml")
	g.must("cluster", "remove", "n3", "--config", "n2.toml")
	g.must("cluster", "add", "n3", g.peerAddress["n3"], "--promote", "--config", "n2.toml")
	// n4 replaces n2 as a voter in one change; n2 can never be added again.
	g.start("n4")
	g.must("cluster", "add", "n4", g.peerAddress["n4"], "--config", "n1.toml")
	eventually(t, "n4 catches up", func() bool {
		_, code := g.run("cluster", "replace", "n2", "n4", "--config", "n1.toml")
		return code == 0
	})
	eventually(t, "n2 reports that it was removed", func() bool {
		out, _ := g.run("cluster", "status", "--config", "n2.toml")
		return strings.Contains(out, "role      removed")
	})
	g.expect(exitFailed, "was removed before", "cluster", "add", "n2", g.peerAddress["n2"], "--config",
		"n1.toml")
	g.must("cluster", "transfer", "n4", "--config", "n1.toml")
	g.expect(0, "role      leader", "cluster", "status", "--config", "n4.toml")
	g.must("cluster", "snapshot", "--config", "n1.toml")
	// A removal after which no majority could be reached is rejected.
	g.kill("n3", syscall.SIGKILL)
	g.eventuallyPrints("NOT HEARD OF", "cluster", "status", "--config", "n4.toml")
	g.expect(exitFailed, "no majority", "cluster", "remove", "n1", "--config", "n4.toml")
	g.must("cluster", "remove", "n3", "--config", "n4.toml")
}

func TestKeysAndRoles(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1", "n2")
	g.must("keys", "issue", "op", "--role", "operator")
	g.must("keys", "issue", "desk", "--role", "reader")
	remote := func(ca, who string) []string {
		return []string{"--address", g.controlAddress["n1"], "--instance", "n1", "--ca", ca,
			"--cert", "keys/" + who + ".crt", "--key", "keys/" + who + ".key"}
	}
	withFlags := func(args []string, more ...string) []string { return append(more, args...) }
	g.edit("c.toml", "n1", "worth = 5.0", "worth = 7.0")
	g.expect(0, "revision = 1", withFlags(remote("keys/ca.crt", "desk"), "config", "get")...)
	g.expect(exitDenied, "is for operators",
		withFlags(remote("keys/ca.crt", "desk"), "config", "propose", "c.toml")...)
	g.expect(exitDenied, "is for operators",
		withFlags(remote("keys/ca.crt", "desk"), "cluster", "remove", "n2")...)
	g.expect(0, "in force as revision 2",
		withFlags(remote("keys/ca.crt", "op"), "config", "propose", "c.toml")...)
	g.expect(0, "2         ", withFlags(remote("keys/ca.crt", "op"), "config", "history")...)
	g.expect(exitFailed, "",
		withFlags(remote("keys/ca.crt", "n2"), "config", "get")...) // not an operator's certificate

	// Certificates of another certificate authority are rejected.
	g.must("keys", "new-ca", "--dir", "foreign")
	g.must("keys", "issue", "op2", "--role", "operator", "--dir", "foreign", "--out", "keys")
	g.expect(exitUsage, "was not issued by a CA in keys/ca.crt",
		withFlags(remote("keys/ca.crt", "op2"), "config", "get")...)
	g.expect(exitFailed, "", withFlags(remote("foreign/ca.crt", "op2"), "config", "get")...)

	// Certificates and their authority are rotated while the instances run: at first both authorities are
	// trusted.
	oldCA, err := os.ReadFile(filepath.Join(g.dir, "keys", "ca.crt"))
	check(t, err)
	newCA, err := os.ReadFile(filepath.Join(g.dir, "foreign", "ca.crt"))
	check(t, err)
	check(t, os.WriteFile(filepath.Join(g.dir, "keys", "ca.crt"), append(oldCA, newCA...), 0o600))
	// The files are reread at a handshake, but at most once a second.
	time.Sleep(1200 * time.Millisecond)
	g.must("keys", "issue", "n1", "--dir", "foreign", "--out", "keys", "--replace")
	time.Sleep(1200 * time.Millisecond)
	g.expect(0, "revision = 2", withFlags(remote("foreign/ca.crt", "op2"), "config", "get")...)
	g.kill("n2", syscall.SIGTERM)
	g.start("n2") // opens a new connection, on which n1 presents its new certificate
	eventually(t, "n2 answers status calls", func() bool {
		_, code := g.run("cluster", "status", "--config", "n2.toml")
		return code == 0
	})
	g.edit("c.toml", "n2", "worth = 7.0", "worth = 8.0")
	g.must("config", "propose", "c.toml", "--config", "n2.toml")
	if !strings.Contains(g.logOf("n1"), "certificates reloaded") {
		t.Error("n1 does not log that its certificates were reloaded")
	}
	// An invalid certificate file changes nothing: the previous certificate stays in use.
	check(t, os.WriteFile(filepath.Join(g.dir, "keys", "n1.crt"), []byte("nothing"), 0o600))
	time.Sleep(1200 * time.Millisecond)
	g.expect(0, "revision = 3", withFlags(remote("foreign/ca.crt", "op2"), "config", "get")...)
	if !strings.Contains(g.logOf("n1"), "certificates not reloaded") {
		t.Error("n1 does not log that its new certificate file is invalid")
	}
}

func TestServeRejectsBadFiles(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.start("n1")
	text, err := os.ReadFile(filepath.Join(g.dir, "n1.toml"))
	check(t, err)
	for want, change := range map[string][]string{
		"x.toml:7: peers.listn: this key is not known here": {"[peers]\nlisten", "[peers]\nlistn"},
		"x.toml:8: peers.tick":                              {`"20ms"`, `"1h"`},
		"x.toml:1: name":                                    {`"n1"`, `"N 1"`},
		"x.toml:7: peers.listen": {
			"[peers]\nlisten = \"", "[peers]\nlisten = \"x"},
		"keys.ca: it must be given": {"ca = ", "#ca = "},
		"in use by another process": {"n1.sock", "other.sock"},
	} {
		changed := strings.Replace(string(text), change[0], change[1], 1)
		check(t, os.WriteFile(filepath.Join(g.dir, "x.toml"), []byte(changed), 0o600))
		if out, code := g.run("serve", "--config", "x.toml"); code == 0 || !strings.Contains(out, want) {
			t.Errorf("want %q: exit %d: %s", want, code, out)
		}
	}
	// A damaged store prevents the start, and the error names the position of the damage.
	g.must("cluster", "init", "--config", "n1.toml")
	g.kill("n1", syscall.SIGTERM)
	logs, err := filepath.Glob(filepath.Join(g.dir, "d-n1/agreement/*.log"))
	check(t, err)
	b, err := os.ReadFile(logs[0])
	check(t, err)
	b[60] ^= 1
	check(t, os.WriteFile(logs[0], b, 0o600))
	for _, args := range [][]string{{"serve", "--config", "n1.toml"}, {"store", "check", "d-n1/agreement"}} {
		g.expect(exitFailed, "damaged at byte ", args...)
	}
}
