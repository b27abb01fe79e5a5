package main

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pageBlock returns the indented block of a page that contains a text, with the indentation removed.
func pageBlock(t *testing.T, page, contains string) string {
	t.Helper()
	raw, err := os.ReadFile(page)
	check(t, err)
	for _, b := range strings.Split(string(raw), "\n\n") {
		if strings.HasPrefix(b, "    ") && strings.Contains(b, contains) {
			return strings.ReplaceAll("\n"+b, "\n    ", "\n")[1:] + "\n"
		}
	}
	t.Fatalf("%s has no block with %q", page, contains)
	return ""
}

// withHost replaces 127.0.0.1 by another loopback address, so that the ports in the page's commands don't
// conflict with those of other processes on this machine.
func withHost(text, host string) string { return strings.ReplaceAll(text, "127.0.0.1", host) }

// The commands of the operators' page, unchanged except for the address, create a group of three.
func TestCommandsOfTheClusterPage(t *testing.T) {
	t.Parallel()
	host := net.IPv4(127, 77, byte(os.Getpid()>>8), byte(os.Getpid())).String()
	dir := t.TempDir()
	deploy, err := filepath.Glob("../../deploy/*.*")
	check(t, err)
	check(t, os.MkdirAll(filepath.Join(dir, "deploy"), 0o700))
	for _, path := range deploy {
		raw, err := os.ReadFile(path)
		check(t, err)
		check(t, os.WriteFile(filepath.Join(dir, "deploy", filepath.Base(path)),
			[]byte(withHost(string(raw), host)), 0o600))
	}
	check(t, os.MkdirAll(filepath.Join(dir, "bin"), 0o700))
	check(t, os.Symlink(program, filepath.Join(dir, "bin", "moorstack")))

	page := "../../docs/operators/cluster.md"
	script := "set -eu\nPATH=$PWD/bin:$PATH\n" + withHost(pageBlock(t, page, "keys new-ca"), host)
	// The page leaves its instances running in the background; their process IDs are recorded to kill them.
	script = strings.ReplaceAll(script, ".log &", ".log & echo $! >> pids")
	script = strings.Replace(script, "moorstack cluster init",
		"for s in 1 2 3; do while [ ! -S data/n$s/control.sock ]; do sleep 0.05; done; "+
			"done\nmoorstack cluster init", 1)
	t.Cleanup(func() {
		raw, _ := os.ReadFile(filepath.Join(dir, "demo", "pids"))
		for _, pid := range strings.Fields(string(raw)) {
			_ = exec.Command("kill", "-9", pid).Run()
		}
	})
	run := func(step, script string) string {
		t.Helper()
		cmd := exec.Command("timeout", "60", "sh", "-c", script)
		cmd.Dir = dir
		cmd.WaitDelay = time.Second // the background instances keep the output pipe open
		out, err := cmd.CombinedOutput()
		if err != nil && !errors.Is(err, exec.ErrWaitDelay) {
			logs, _ := exec.Command("sh", "-c", "tail -n 3 "+dir+"/demo/*.log").CombinedOutput()
			t.Fatalf("%s: %v\n%s\n%s", step, err, out, logs)
		}
		return string(out)
	}
	// The status is printed after init, with one voter, and at the end, with three.
	if out := run("create three instances", script); strings.Count(out, ", voter") != 1+3 {
		t.Fatalf("the page's commands do not create a group of three: %s", out)
	}
	change := strings.ReplaceAll(pageBlock(t, page, "config propose config.toml --dry-run"),
		"$EDITOR config.toml", "sed -i 's/worth = 5.0/worth = 6.0/' config.toml")
	out := run("change the configuration", "set -eu\nPATH=$PWD/bin:$PATH\ncd demo\n"+change)
	for _, want := range []string{"worth 5 -> 6", "in force as revision 2", "in force as revision 3"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output of the page's change lacks %q: %s", want, out)
		}
	}
}

// A start that fails partway stops what it has started, prints the reason, and releases its directory and
// addresses.
func TestStartThatFailsHalfWay(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer taken.Close()
	g.start("n1")
	g.kill("n1", syscall.SIGTERM)
	text, err := os.ReadFile(filepath.Join(g.dir, "n1.toml"))
	check(t, err)
	field := func(section, key string) string {
		_, rest, _ := strings.Cut(string(text), "["+section+"]")
		return regexp.MustCompile(key + ` = "([^"]+)"`).FindStringSubmatch(rest)[1]
	}
	for name, address := range map[string]string{"the clients' address": field("front", "listen"),
		"the peers' address": field("peers", "listen"), "the control address": field("control", "listen")} {
		changed := strings.Replace(string(text), address, taken.Addr().String(), 1)
		check(t, os.WriteFile(filepath.Join(g.dir, "x.toml"), []byte(changed), 0o600))
		out, code := g.run("serve", "--config", "x.toml")
		if code != exitFailed || strings.Contains(out, "panic") ||
			!strings.Contains(out, "address already in use") {
			t.Errorf("%s is in use: exit %d: %s", name, code, out)
		}
	}
	// An admin address in the platform file, which instances share, is not opened; front.admin must differ
	// from front.listen.
	check(t, os.WriteFile(filepath.Join(g.dir, "x.toml"),
		[]byte(strings.Replace(string(text), "[front]\n", "[front]\nadmin = \""+field("front",
			"listen")+"\"\n", 1)),
		0o600))
	g.expect(exitFailed, "x.toml:4: front.admin", "serve", "--config", "x.toml")
	g.start("n1") // its directory and addresses are free again
}

func TestUnknownCommandsAreRejected(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	for _, args := range [][]string{{"nosuch"}, {"prove", "nosuch"}, {"cluster", "stauts"}, {"config", "x"},
		{"keys", "x"}, {"store", "x"}, {"route", "x"}, {"emulate", "x"}} {
		g.expect(exitUsage, "unknown command", args...)
	}
	g.expect(exitUsage, `did you mean "status"?`, "cluster", "stauts")
	g.expect(0, "Usage:", "prove")
}
