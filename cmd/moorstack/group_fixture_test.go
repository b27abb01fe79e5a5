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

// group is instances as processes, and the commands that an operator has for them.
type group struct {
	t              *testing.T
	dir            string
	processes      map[string]*exec.Cmd
	peerAddress    map[string]string
	controlAddress map[string]string
	// What starts for the first time has a directory for backups.
	backups bool
	// What starts for the first time starts itself restartsItself when a rolling restart takes it out.
	restartsItself bool
	// Where fronts find discovery; the platform file's, if empty.
	discovery    string
	ownDiscovery map[string]string     // one's own, in its place
	fronts       map[string]string     // where they listen, if it must be known before
	admin        map[string]string     // where operators call, if they do
	links        *faultinjection.Links // between the instances; nil: nothing stands between
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

// run has the program do a command and gives what it printed and its exit code.
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

// runOnceLed is run for a command that needs a leader. Exit code 5 means that none is known and that nothing
// was tried: on a busy machine an election may come between any two commands. It is then run again, for as
// long as a condition is waited for.
func (g *group) runOnceLed(args ...string) (out string, code int) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("%v finds a leader", args), func() bool {
		out, code = g.run(args...)
		return code != exitNoLeader
	})
	return out, code
}

// mustOnceLed is must for a command that needs a leader.
func (g *group) mustOnceLed(args ...string) string {
	g.t.Helper()
	out, code := g.runOnceLed(args...)
	if code != 0 {
		g.t.Fatalf("%v: exit %d: %s", args, code, out)
	}
	return out
}

// eventuallySays waits until a command succeeds and prints a text.
func (g *group) eventuallySays(want string, args ...string) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("%v prints %q", args, want), func() bool {
		out, code := g.run(args...)
		return code == 0 && strings.Contains(out, want)
	})
}

// documentOf is the newest configuration without its sections.
func (g *group) documentOf(at string) string {
	g.t.Helper()
	text := g.mustOnceLed("config", "get", "--config", at+".toml")
	if i := strings.Index(text, "[section"); i >= 0 {
		text = text[:i]
	}
	return text
}

// expect has a command end with an exit code and print a text.
func (g *group) expect(code int, say string, args ...string) {
	g.t.Helper()
	if out, got := g.run(args...); got != code || !strings.Contains(out, say) {
		g.t.Errorf("%v: exit %d, want %d and %q: %s", args, got, code, say, out)
	}
}

func (g *group) start(name string) {
	g.t.Helper()
	file := filepath.Join(g.dir, name+".toml")
	if g.peerAddress[name] == "" {
		g.peerAddress[name], g.controlAddress[name] = freeAddress(g.t), freeAddress(g.t)
		g.must("keys", "issue", name)
		discovery, front := "", g.fronts[name]
		if front == "" {
			front = freeAddress(g.t)
		}
		if at := cmp.Or(g.ownDiscovery[name], g.discovery); at != "" {
			discovery = fmt.Sprintf("discovery = %q\n", at)
		}
		if at := g.admin[name]; at != "" {
			discovery += fmt.Sprintf("admin = %q\n", at)
		}
		listen, between := g.peerAddress[name], ""
		if g.links != nil {
			own, err := netip.ParseAddrPort(listen)
			check(g.t, err)
			g.peerAddress[name], err = g.links.AddForwarder(name, own.Addr(), listen)
			check(g.t, err)
			between = fmt.Sprintf("advertise = %q\nfrom = %q\n", g.peerAddress[name], own.Addr())
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
`, name, front, listen, g.controlAddress[name], discovery, between), 0o600))
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

// form makes a group of the instances.
func (g *group) form(names ...string) {
	g.t.Helper()
	for _, name := range names {
		g.start(name)
	}
	g.must("cluster", "init", "--config", names[0]+".toml")
	for _, name := range names[1:] {
		g.mustOnceLed("cluster", "add", name, g.peerAddress[name], "--promote", "--config", names[0]+".toml")
	}
}

// edit gets the configuration, changes its text and writes it to a file.
func (g *group) edit(file, at string, change ...string) {
	g.t.Helper()
	text := strings.NewReplacer(change...).Replace(g.mustOnceLed("config", "get", "--config", at+".toml"))
	check(g.t, os.WriteFile(filepath.Join(g.dir, file), []byte(text), 0o600))
}

func (g *group) leader(names ...string) (leader string) {
	eventually(g.t, "one leads", func() bool {
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

// propose proposes the configuration with another section, and gives what was said and the exit code.
func (g *group) propose(at, section string) (string, int) {
	g.t.Helper()
	g.write("new.toml", g.documentOf(at)+section)
	return g.runOnceLed("config", "propose", "new.toml", "--config", at+".toml")
}

// sections puts sections into the configuration, in the place of those that it has.
func (g *group) sections(at, text string) {
	g.t.Helper()
	g.write("sections.toml", g.documentOf(at)+text)
	g.mustOnceLed("config", "propose", "sections.toml", "--config", at+".toml")
}

func without(list []string, name string) (rest []string) {
	for _, n := range list {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// sendJob sends a job to an instance's front, of an account where one is named, and gives the answer's code
// and its headers.
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

// rolloutSection has the group go by these rules, as a change like any other.
func (g *group) rolloutSection(at string, values string) {
	g.t.Helper()
	g.sections(at, "[section.rollout]\n"+values+"\n")
}

// newTrio is a group of three with such a lease, its leader and the two others.
func newTrio(t *testing.T, rules string) (g *group, lead string, rest []string) {
	t.Helper()
	g = newGroup(t)
	g.form("n1", "n2", "n3")
	g.rolloutSection("n1", rules)
	g.waitAdmitting("n1", "n2", "n3")
	lead = g.leader("n1", "n2", "n3")
	return g, lead, map[string][]string{"n1": {"n2", "n3"}, "n2": {"n1", "n3"}, "n3": {"n1", "n2"}}[lead]
}

// stall stops an instance's process until the test ends, or until the function is called.
func (g *group) stall(name string) (wake func()) {
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

// startSoleInstance starts the instance n1 with three workers, and discovery, of a node fixture. Front is
// more lines for the front's part of its file.
func (g *group) startSoleInstance(front string,
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
`, front, freeAddress(g.t)))
	return startNodeWithFile(g.t, filepath.Join(g.dir, "platform.json"), 3, handle, "serve", "--config",
		filepath.Join(g.dir, "n1.toml"))
}

// waitRevision waits until an instance's fronts run a revision.
func (g *group) waitRevision(name, revision string) {
	g.t.Helper()
	eventually(g.t, name+" runs revision "+revision, func() bool {
		out, _ := g.run("cluster", "status", "--config", name+".toml")
		return strings.Contains(out, "running   revision "+revision)
	})
}
