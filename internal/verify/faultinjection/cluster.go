// Package rig plays stories of failure round real processes: instances of a group on loopback,
// with a link for each ordered pair that can be cut, delayed or broken either way, processes
// that are stopped and killed, jobs meanwhile, and an audit of what they all did in the order
// of the clock that they share.
package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/node"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/emulate/loopback"
)

// ClusterOptions are what a fleet is made of.
type ClusterOptions struct {
	Program          string // to start
	Dir              string // an empty directory for all of it
	Instances        int
	Voters           int // the first so many; 0: up to five
	Tick             time.Duration
	PlatformFile     []byte  // the platform file that all share
	JobsPerSecond    float64 // jobs a second at each instance; 0: none, and no workers
	Seed             uint64
	DrillTasks       int // duties to practise with
	Accounts         int // whose rates are kept over all instances; 0: none
	UnlistedAccounts int // accounts without a line of their own, to which half of the calls belong
	Triggers         int // that fire over all of them; 0: none
	// MaxRestarting is how many instances rolling restarts may have out at once; 0: there are none. With
	// Wishes they are stopped and undone now and then.
	MaxRestarting    int
	OperatorCommands bool
	// ClockStart is what all instances' clocks show at the beginning, and Speed how fast they run; the
	// machine's own, if it is zero. OldRules is who has other zone rules than the rest.
	ClockStart           time.Time
	ClockSpeed           float64
	OldZoneRulesInstance string
	// OlderProgram is another program, of an earlier version, that all instances run at first; a story
	// renews them.
	OlderProgram string
}

// Process is an instance's process.
type Process struct {
	Name, PeerAddress      string // Peers: where the others reach it
	FrontAddress           string
	configPath, socketPath string
	log                    *os.File
	journal                *journal
	emulator               *loopback.Platform

	mu      sync.Mutex
	cmd     *exec.Cmd
	stalled bool
	older   bool // it runs the earlier version

	Client      schema.ControlClient
	closeClient func() error
}

// Cluster is the processes and what is between them.
type Cluster struct {
	Links     *Links
	Processes []*Process
	options   ClusterOptions

	mu             sync.Mutex
	watchers       map[chan auditEntry]bool // of the journals
	interruptions  []interruption           // that were killed or made to stand still
	unansweredJobs []string                 // jobs without an answer
	executions     map[string]int           // jobs that workers have taken, by key
	trueClock      clockFile                // the true one
}

// InstanceNames of a fleet's instances.
func InstanceNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("n%d", i+1)
	}
	return list
}

// StartCluster prepares a fleet's files and forwarders, and starts its processes.
func StartCluster(o ClusterOptions) (*Cluster, error) {
	if o.Voters == 0 {
		o.Voters = min(o.Instances, 5)
	}
	if o.ClockSpeed == 0 {
		o.ClockSpeed = 1
	}
	f := &Cluster{
		options:    o,
		Links:      NewLinks(),
		watchers:   map[chan auditEntry]bool{},
		executions: map[string]int{},
	}
	f.trueClock = newClock(o)
	err := f.prepare()
	for _, p := range f.Processes {
		if err == nil {
			err = f.StartProcess(p)
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Cluster) prepare() error {
	ca, err := keys.NewCA("rig", time.Now(), 24*time.Hour)
	if err != nil {
		return err
	}
	k := filepath.Join(f.options.Dir, "keys")
	if err := ca.Write(k, "ca", false); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.options.Dir, "platform.json"), f.options.PlatformFile,
		0o600); err != nil {
		return err
	}
	// Each instance has an address of its own: by it a forwarder knows who calls.
	net16 := rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))).IntN(1 << 15)
	for n, name := range InstanceNames(f.options.Instances) {
		pair, err := ca.Issue(name, keys.RoleInstance, time.Now(), 24*time.Hour)
		if err != nil {
			return err
		}
		if err := pair.Write(k, name, false); err != nil {
			return err
		}
		host := netip.AddrFrom4([4]byte{127, byte(64 + net16>>9&63), byte(net16), byte(n + 1)})
		if err := f.addProcess(name, host); err != nil {
			return err
		}
	}
	return nil
}

// freePorts gives two that are free on an address. Hazard: one of those that the system gives out may be
// given out again, to the other of the two or to a connection from here, before it is listened at.
func freePorts(host string) (one, other string, err error) {
	for range 100 {
		port := 10_000 + 2*rand.IntN(10_000)
		var list []string
		for n := range 2 {
			l, bad := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port+n)))
			if err = bad; bad != nil {
				break
			}
			defer l.Close()
			list = append(list, l.Addr().String())
		}
		if len(list) == 2 {
			return list[0], list[1], nil
		}
	}
	return "", "", fmt.Errorf("no two free ports on %s: %w", host, err)
}

func (f *Cluster) addProcess(name string, host netip.Addr) error {
	p := &Process{
		Name:       name,
		configPath: filepath.Join(f.options.Dir, name+".toml"),
		socketPath: filepath.Join(f.options.Dir,
			name+".sock"),
	}
	f.Processes = append(f.Processes, p)
	listen, front, err := freePorts(host.String())
	if err != nil {
		return err
	}
	p.FrontAddress = front
	if p.PeerAddress, err = f.Links.AddForwarder(name, host, listen); err != nil {
		return err
	}
	discovery := ""
	if f.options.JobsPerSecond > 0 {
		if p.emulator, err = loopback.Start(loopback.Options{
			Node: p.FrontAddress, Workers: 2, Zone: "z", Kind: "k",
			Seed: f.options.Seed, OnJob: f.countExecution,
			Spec: emulate.WorkerSpec{Cores: 8, Slots: 64, QueueCapacity: 256, Speed: 1,
				SlowStartWindow:   time.Millisecond,
				SlowStartMinShare: 1, ReportInterval: 200 * time.Millisecond},
		}); err != nil {
			return err
		}
		discovery = fmt.Sprintf("discovery = %q\n", p.emulator.DiscoveryAddress())
	}
	text := fmt.Sprintf(
		"name = %q\ndata = %[1]q\naudit = \"%[1]s.audit\"\n[front]\nplatform = \"platform.json\"\n"+
			"listen = %[2]q\n%[3]s[peers]\nlisten = %[4]q\nadvertise = %[5]q\nfrom = %[6]q\ntick = %[7]q\n"+
			"[keys]\nca = \"keys/ca.crt\"\ncert = \"keys/%[1]s.crt\"\nkey = \"keys/%[1]s.key\"\n"+
			"[control]\nsocket = \"%[1]s.sock\"\n",
		name, p.FrontAddress, discovery, listen, p.PeerAddress, host, f.options.Tick)
	// An earlier version knows nothing of clocks that are set.
	if p.older = f.options.OlderProgram != ""; !p.older {
		text += fmt.Sprintf("[test]\nclock = \"%s.clock\"\n", name)
	}
	if name == f.options.OldZoneRulesInstance {
		text += "zones = \"Etc/GMT-1\"\n"
	}
	if f.options.MaxRestarting > 0 {
		text += "[duties]\nout = \"start\"\n"
	}
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		return err
	}
	if err := f.SetClock(p, 0); err != nil {
		return err
	}
	if p.journal, err = newJournal(filepath.Join(f.options.Dir, name+".audit"), name,
		f.notifyWatchers); err != nil {
		return err
	}
	p.log, err = os.Create(filepath.Join(f.options.Dir, name+".log"))
	return err
}

// StartProcess starts an instance's process, unless it runs.
func (f *Cluster) StartProcess(p *Process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	program := f.options.Program
	if p.older {
		program = f.options.OlderProgram
	}
	cmd := exec.Command(program, "serve", "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), node.TestClocksEnv+"=yes")
	// Hazard: were this program killed itself, the instances would go on for ever.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.stalled = cmd, false
	if p.Client == nil {
		var err error
		if p.Client, p.closeClient,
			err = controlapi.Dial(controlapi.Target{Socket: p.socketPath}); err != nil {
			return err
		}
	}
	return nil
}

// SwitchVersion has an instance be started as the program is now, or as it was earlier.
func (f *Cluster) SwitchVersion(p *Process, now bool) error {
	f.Kill(p)
	p.mu.Lock()
	p.older = !now && f.options.OlderProgram != ""
	p.mu.Unlock()
	return f.StartProcess(p)
}

// AllUpgraded says whether all instances run the program as it is now.
func (f *Cluster) AllUpgraded() bool {
	for _, p := range f.Processes {
		p.mu.Lock()
		older := p.older
		p.mu.Unlock()
		if older {
			return false
		}
	}
	return true
}

// Kill ends an instance's process, if it runs.
func (f *Cluster) Kill(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		f.recordInterruption(p)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// Terminate asks an instance's process to end, and waits for that; one that takes too long is killed.
func (f *Cluster) Terminate(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	cmd := p.cmd
	if p.stalled {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	slow := time.AfterFunc(30*time.Second, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	slow.Stop()
	p.cmd = nil
}

// SetStalled has a process stand still, or go on.
func (f *Cluster) SetStalled(p *Process, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stalled == on {
		return
	}
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	f.recordInterruption(p)
	_ = p.cmd.Process.Signal(sig)
	p.stalled = on
}

// Running says whether an instance's process runs and does not stand still.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.stalled
}

// Close ends all of it.
func (f *Cluster) Close() {
	for _, p := range f.Processes {
		f.Kill(p)
		if p.closeClient != nil {
			_ = p.closeClient()
		}
		if p.emulator != nil {
			p.emulator.Close()
		}
		if p.log != nil {
			p.log.Close()
		}
		if p.journal != nil {
			p.journal.close()
		}
	}
	f.Links.Close()
}

// notifyWatchers tells who waits for a step of an instance that has written a line.
func (f *Cluster) notifyWatchers(e auditEntry) {
	if e.event == "admit" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.watchers {
		select {
		case c <- e:
		default:
		}
	}
}

// awaitStep waits until an instance takes a step of a change, and gives its name.
func (f *Cluster) awaitStep(ctx context.Context, step, of string) (string, bool) {
	c := make(chan auditEntry, 64)
	f.mu.Lock()
	f.watchers[c] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchers, c)
	}()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case e := <-c:
			if e.event == steps[step].what && (of == "" || e.instance == of) &&
				(step != "ceased" || strings.Contains(e.args, "taking hold")) {
				return e.instance, true
			}
		}
	}
}

// FillDisk has an instance's disk be full: no file grows any more.
func (f *Cluster) FillDisk(p *Process) error {
	f.recordInterruption(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	none := unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &none, nil)
}

// TearLog leaves a part of a record at the end of a dead instance's log, as a machine does that
// dies while it writes.
func (f *Cluster) TearLog(p *Process, rng *rand.Rand) error {
	logs, err := filepath.Glob(filepath.Join(f.options.Dir, p.Name, "agreement", "*.log"))
	if err != nil || len(logs) == 0 {
		return err // it has written nothing yet
	}
	log, err := os.OpenFile(slices.Max(logs), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer log.Close()
	part := make([]byte, 1+rng.IntN(300))
	for i := range part {
		part[i] = byte(rng.Uint32())
	}
	if rng.IntN(4) == 0 {
		clear(part) // the file has grown, and what belongs there has not come
	}
	_, err = log.Write(part)
	return err
}
