package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/verify/faultinjection"
)

// group runs instances as processes, and operators' commands against them.
type group struct {
	t              *testing.T
	dir            string
	processes      map[string]*exec.Cmd
	peerAddress    map[string]string
	controlAddress map[string]string
	// Instances that are started for the first time get a directory for backups.
	backups bool
	// Instances started while this is set restart themselves when a rolling restart takes them out.
	restartsItself bool
	// Discovery's address for the fronts; if empty, they use the one in the platform file.
	discovery   string
	discoveryOf map[string]string     // by instance; overrides discovery
	fronts      map[string]string     // by instance; the front's address, if needed before the start
	admin       map[string]string     // by instance; the admin address, if any
	links       *faultinjection.Links // between the instances; nil: they connect directly
	settings    string                // of startSoleInstance's platform file; empty: testSettings
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, peerAddress: map[string]string{},
		controlAddress: map[string]string{}}
	check(t, os.WriteFile(filepath.Join(g.dir, "platform.json"), faultinjection.SamplePlatform(), 0o600))
	g.must("keys", "new-ca")
	t.Cleanup(func() {
		for name := range g.processes {
			g.kill(name, syscall.SIGKILL)
		}
	})
	return g
}

// run runs a command of the program and returns its output and exit code.
func (g *group) run(args ...string) (string, int) {
	cmd := exec.Command(program, args...)
	cmd.Dir = g.dir
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		g.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (g *group) must(args ...string) string {
	g.t.Helper()
	out, code := g.run(args...)
	if code != 0 {
		g.t.Fatalf("%v: exit %d: %s", args, code, out)
	}
	return out
}

// runWithLeader is run for a command that needs a leader. Exit code 5 means that no leader is known and
// nothing was tried: on a busy machine an election may happen between any two commands. The command is then
// repeated until it finds a leader or the time limit of eventually has passed.
func (g *group) runWithLeader(args ...string) (out string, code int) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("%v finds a leader", args), func() bool {
		out, code = g.run(args...)
		return code != exitNoLeader
	})
	return out, code
}

// mustWithLeader is must for a command that needs a leader.
func (g *group) mustWithLeader(args ...string) string {
	g.t.Helper()
	out, code := g.runWithLeader(args...)
	if code != 0 {
		g.t.Fatalf("%v: exit %d: %s", args, code, out)
	}
	return out
}

// eventuallyPrints waits until a command succeeds and prints a text.
func (g *group) eventuallyPrints(want string, args ...string) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("%v prints %q", args, want), func() bool {
		out, code := g.run(args...)
		return code == 0 && strings.Contains(out, want)
	})
}

// configWithoutSections returns the newest configuration without its sections.
func (g *group) configWithoutSections(instance string) string {
	g.t.Helper()
	text := g.mustWithLeader("config", "get", "--config", instance+".toml")
	if i := strings.Index(text, "[section"); i >= 0 {
		text = text[:i]
	}
	return text
}

// expect runs a command and checks its exit code and that it prints a text.
func (g *group) expect(code int, want string, args ...string) {
	g.t.Helper()
	if out, got := g.run(args...); got != code || !strings.Contains(out, want) {
		g.t.Errorf("%v: exit %d, want %d and %q: %s", args, got, code, want, out)
	}
}

func (g *group) start(name string) {
	g.t.Helper()
	file := filepath.Join(g.dir, name+".toml")
	if g.peerAddress[name] == "" {
		g.peerAddress[name], g.controlAddress[name] = freeAddress(g.t), freeAddress(g.t)
		g.must("keys", "issue", name)
		frontConfig, front := "", g.fronts[name]
		if front == "" {
			front = freeAddress(g.t)
		}
		if at := cmp.Or(g.discoveryOf[name], g.discovery); at != "" {
			frontConfig = fmt.Sprintf("discovery = %q\n", at)
		}
		if at := g.admin[name]; at != "" {
			frontConfig += fmt.Sprintf("admin = %q\n", at)
		}
		listen, linkConfig := g.peerAddress[name], ""
		if g.links != nil {
			listenAddr, err := netip.ParseAddrPort(listen)
			check(g.t, err)
			g.peerAddress[name], err = g.links.AddForwarder(name, listenAddr.Addr(), listen)
			check(g.t, err)
			linkConfig = fmt.Sprintf("advertise = %q\nfrom = %q\n", g.peerAddress[name], listenAddr.Addr())
		}
		check(g.t, os.WriteFile(file, fmt.Appendf(nil, `name = %q
data = "d-%[1]s"
[front]
platform = "platform.json"
listen = %[2]q
%[5]s[peers]
listen = %[3]q
tick = "20ms"
%[6]s[keys]
ca = "keys/ca.crt"
cert = "keys/%[1]s.crt"
key = "keys/%[1]s.key"
[control]
socket = "%[1]s.sock"
listen = %[4]q
`, name, front, listen, g.controlAddress[name], frontConfig, linkConfig), 0o600))
	}
	if g.backups && g.processes[name] == nil {
		g.append(file, "[duties]\nbackups = \"kept\"\n")
	}
	if g.restartsItself {
		g.append(file, "[duties]\nout = \"start\"\n")
	}
	cmd := exec.Command(program, "serve", "--config", file, "--log-format", "json")
	log, err := os.OpenFile(filepath.Join(g.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(g.t, err)
	defer log.Close()
	cmd.Stderr = log
	check(g.t, cmd.Start())
	g.processes[name] = cmd
	eventually(g.t, name+" answers", func() bool {
		_, code := g.run("cluster", "status", "--config", name+".toml")
		return code == 0 || code == exitNoLeader
	})
}

func (g *group) write(file, text string) {
	check(g.t, os.WriteFile(filepath.Join(g.dir, file), []byte(text), 0o600))
}

func (g *group) append(file, text string) {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, 0)
	check(g.t, err)
	_, err = f.WriteString(text)
	check(g.t, errors.Join(err, f.Close()))
}

func (g *group) kill(name string, sig syscall.Signal) {
	if cmd := g.processes[name]; cmd != nil {
		cmd.Process.Signal(sig)
		cmd.Wait()
		delete(g.processes, name)
	}
}

func (g *group) logOf(name string) string {
	b, err := os.ReadFile(filepath.Join(g.dir, name+".log"))
	check(g.t, err)
	return string(b)
}

// form starts instances and makes them voters of one group.
func (g *group) form(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.start(name)
	}
	g.must("cluster", "init", "--config", names[0]+".toml")
	for _, name := range names[1:] {
		g.mustWithLeader("cluster", "add", name, g.peerAddress[name], "--promote", "--config",
			names[0]+".toml")
	}
}

// edit gets the configuration, changes its text and writes it to a file.
func (g *group) edit(file, instance string, change ...string) {
	g.t.Helper()
	text := strings.NewReplacer(change...).Replace(
		g.mustWithLeader("config", "get", "--config", instance+".toml"))
	check(g.t, os.WriteFile(filepath.Join(g.dir, file), []byte(text), 0o600))
}

func (g *group) leader(names ...string) (leader string) {
	eventually(g.t, "an instance is the leader", func() bool {
		for _, name := range names {
			out, _ := g.run("cluster", "status", "--config", name+".toml")
			if strings.Contains(out, "role      leader") {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// propose proposes the configuration with a section in place of those that it has, and returns the output and
// the exit code.
func (g *group) propose(instance, section string) (string, int) {
	g.t.Helper()
	g.write("new.toml", g.configWithoutSections(instance)+section)
	return g.runWithLeader("config", "propose", "new.toml", "--config", instance+".toml")
}

// setSections replaces the sections of the configuration.
func (g *group) setSections(instance, text string) {
	g.t.Helper()
	g.write("sections.toml", g.configWithoutSections(instance)+text)
	g.mustWithLeader("config", "propose", "sections.toml", "--config", instance+".toml")
}

func without(list []string, name string) (rest []string) {
	for _, n := range list {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// sendJob sends a job to an instance's front, for an account if one is given, and returns the response's
// status, 0 if there is none, and its headers.
func (g *group) sendJob(name string, account ...string) (int, http.Header) {
	g.t.Helper()
	text, err := os.ReadFile(filepath.Join(g.dir, name+".toml"))
	check(g.t, err)
	front := regexp.MustCompile(`(?s)\[front\].*?listen = "([^"]+)"`).FindStringSubmatch(string(text))[1]
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/job", strings.NewReader("x"))
	check(g.t, err)
	for k, v := range map[string]string{"X-Request-ID": fmt.Sprint(time.Now().UnixNano()),
		"X-Priority-Class": "trip-quote", "X-Timeout": "2000m"} {
		req.Header.Set(k, v)
	}
	if len(account) > 0 {
		req.Header.Set("X-Account", account[0])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

func (g *group) waitAdmitting(names ...string) {
	g.t.Helper()
	for _, name := range names {
		eventually(g.t, name+" admits jobs", func() bool {
			out, _ := g.run("cluster", "status", "--config", name+".toml")
			return strings.Contains(out, "admits    jobs")
		})
	}
}

// setRolloutSection replaces the sections of the configuration by a rollout section with these values.
func (g *group) setRolloutSection(instance string, values string) {
	g.t.Helper()
	g.setSections(instance, "[section.rollout]\n"+values+"\n")
}

// newGroupOfThree starts a group of three with these rollout settings, and returns it, its leader and the two
// others.
func newGroupOfThree(t *testing.T, rules string) (g *group, leader string, rest []string) {
	t.Helper()
	g = newGroup(t)
	g.form("n1", "n2", "n3")
	g.setRolloutSection("n1", rules)
	g.waitAdmitting("n1", "n2", "n3")
	leader = g.leader("n1", "n2", "n3")
	return g, leader, map[string][]string{"n1": {"n2", "n3"}, "n2": {"n1", "n3"}, "n3": {"n1", "n2"}}[leader]
}

// stall suspends an instance's process until the returned function is called or the test ends.
func (g *group) stall(name string) (resume func()) {
	g.t.Helper()
	check(g.t, g.processes[name].Process.Signal(syscall.SIGSTOP))
	return func() { check(g.t, g.processes[name].Process.Signal(syscall.SIGCONT)) }
}

func (g *group) waitRunning(revision string, names ...string) {
	g.t.Helper()
	for _, name := range names {
		eventually(g.t, name+" runs revision "+revision, func() bool {
			out, _ := g.run("cluster", "status", "--config", name+".toml")
			return strings.Contains(out, "running   revision "+revision+"\n") &&
				strings.Contains(out, "admits    jobs")
		})
	}
}

// startSoleInstance starts the instance n1 with the three workers and the discovery of a node fixture. Its
// file's front section gets the additional lines frontConfig.
func (g *group) startSoleInstance(frontConfig string,
	handle jobHandler) *nodeFixture {
	g.t.Helper()
	g.must("keys", "issue", "n1")
	g.write("n1.toml", fmt.Sprintf(`name = "n1"
data = "d"
[front]
platform = "platform.json"
%s[peers]
listen = %q
tick = "100ms"
[keys]
ca = "keys/ca.crt"
cert = "keys/n1.crt"
key = "keys/n1.key"
[control]
socket = "n1.sock"
`, frontConfig, freeAddress(g.t)))
	return startNodeFixture(g.t, filepath.Join(g.dir, "platform.json"), cmp.Or(g.settings, testSettings),
		&unchangedLine, 3, handle, "serve", "--config", filepath.Join(g.dir, "n1.toml"))
}

// waitRevision waits until an instance runs a revision.
func (g *group) waitRevision(name, revision string) {
	g.t.Helper()
	eventually(g.t, name+" runs revision "+revision, func() bool {
		out, _ := g.run("cluster", "status", "--config", name+".toml")
		return strings.Contains(out, "running   revision "+revision)
	})
}
