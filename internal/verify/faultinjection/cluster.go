package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"moorstack/internal/operate/keys"
	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/emulate/loopback"
)

// ClusterOptions configures the processes of a cluster and the work they do.
type ClusterOptions struct {
	Program          string        // path of the executable that all instances run
	Dir              string        // an empty directory, for all files of the cluster
	Instances        int           // up to 254
	Voters           int           // how many instances vote, from the first on; 0: up to five
	Tick             time.Duration // of the consensus protocol
	PlatformFile     []byte        // the contents of the platform file that all instances share
	JobsPerSecond    float64       // at each instance; 0: no jobs, and no workers
	Seed             uint64        // of all random choices of the run
	DrillTasks       int           // leased tasks without an effect
	Accounts         int           // with rate limits over all instances; 0: none
	UnlistedAccounts int           // under the default limit; half of the jobs belong to them
	Triggers         int           // in the cluster's trigger schedule; 0: none
	// MaxRestarting is how many instances a rolling restart may restart at once; 0: there are no
	// rolling restarts. With OperatorCommands, operators stop or undo some of them at random.
	MaxRestarting    int
	OperatorCommands bool
	// ClockStart is the time that all wall clocks show at the start, and ClockSpeed is how many
	// seconds they advance in each real second. Zero values: the machine's time, and 1.
	ClockStart time.Time
	ClockSpeed float64
	// OldZoneRulesInstance is the instance whose time zone rules differ from the others'; empty: none.
	OldZoneRulesInstance string
	// OlderProgram is an executable of an earlier version, which all instances run until a fault of
	// the schedule upgrades them; empty: all run Program.
	OlderProgram string
}

// Cluster holds the instances' processes and the links between them. Its methods are safe for
// concurrent use.
type Cluster struct {
	Links     *Links
	Processes []*Process // does not change after StartCluster
	options   ClusterOptions
	trueClock clockFile

	mu             sync.Mutex
	watchers       map[chan auditEntry]bool // of the entries of all journals
	interruptions  []interruption
	unansweredJobs []string       // request ids
	executions     map[string]int // how often workers have received a job, by its key
}

// InstanceNames returns the names of the n instances of a cluster: n1, n2 and so on.
func InstanceNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("n%d", i+1)
	}
	return list
}

// StartCluster writes the configuration files, opens the forwarders and starts the processes. The
// caller must call Close to end them.
func StartCluster(o ClusterOptions) (*Cluster, error) {
	if o.Voters == 0 {
		o.Voters = min(o.Instances, 5)
	}
	if o.ClockSpeed == 0 {
		o.ClockSpeed = 1
	}
	c := &Cluster{
		Links:      NewLinks(),
		options:    o,
		trueClock:  newClock(o),
		watchers:   map[chan auditEntry]bool{},
		executions: map[string]int{},
	}
	err := c.prepare()
	for _, p := range c.Processes {
		if err == nil {
			err = c.StartProcess(p)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// prepare writes the keys and the platform file and adds a Process for each instance, without starting it.
func (c *Cluster) prepare() error {
	ca, err := keys.NewCA("rig", time.Now(), 24*time.Hour)
	if err != nil {
		return err
	}
	keyDir := filepath.Join(c.options.Dir, "keys")
	if err := ca.Write(keyDir, "ca", false); err != nil {
		return err
	}
	platform := filepath.Join(c.options.Dir, "platform.json")
	if err := os.WriteFile(platform, c.options.PlatformFile, 0o600); err != nil {
		return err
	}
	// Each instance dials from its own source address, by which a forwarder identifies it.
	networkBits := rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano()))).IntN(1 << 15)
	for n, name := range InstanceNames(c.options.Instances) {
		pair, err := ca.Issue(name, keys.RoleInstance, time.Now(), 24*time.Hour)
		if err != nil {
			return err
		}
		if err := pair.Write(keyDir, name, false); err != nil {
			return err
		}
		host := netip.AddrFrom4([4]byte{127, byte(64 + networkBits>>9&63), byte(networkBits), byte(n + 1)})
		if err := c.addProcess(name, host); err != nil {
			return err
		}
	}
	return nil
}

// addProcess opens the forwarder, the journal and the log of an instance, starts its emulator if there
// are jobs, and writes its configuration file.
func (c *Cluster) addProcess(name string, host netip.Addr) error {
	p := &Process{
		Name:       name,
		configPath: filepath.Join(c.options.Dir, name+".toml"),
		socketPath: filepath.Join(c.options.Dir, name+".sock"),
		older:      c.options.OlderProgram != "",
	}
	c.Processes = append(c.Processes, p)
	listen, front, err := freePorts(host.String())
	if err != nil {
		return err
	}
	p.FrontAddress = front
	if p.PeerAddress, err = c.Links.AddForwarder(name, host, listen); err != nil {
		return err
	}
	if c.options.JobsPerSecond > 0 {
		if p.emulator, err = c.startEmulator(p); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.configPath, c.configText(p, host, listen), 0o600); err != nil {
		return err
	}
	if err := c.SetClock(p, 0); err != nil {
		return err
	}
	journalPath := filepath.Join(c.options.Dir, name+".audit")
	if p.journal, err = newJournal(journalPath, name, c.notifyWatchers); err != nil {
		return err
	}
	p.log, err = os.Create(filepath.Join(c.options.Dir, name+".log"))
	return err
}

// startEmulator starts emulated workers for an instance, and the discovery service that lists them.
func (c *Cluster) startEmulator(p *Process) (*loopback.Platform, error) {
	return loopback.Start(loopback.Options{
		Node: p.FrontAddress, Workers: 2, Zone: "z", Kind: "k",
		Seed: c.options.Seed, OnJob: c.countExecution,
		Spec: emulate.WorkerSpec{
			Cores: 8, Slots: 64, QueueCapacity: 256, Speed: 1,
			SlowStartWindow: time.Millisecond, SlowStartMinShare: 1,
			ReportInterval: 200 * time.Millisecond,
		},
	})
}

// configText returns the configuration file of an instance that listens for peers on listen and
// dials them from host.
func (c *Cluster) configText(p *Process, host netip.Addr, listen string) []byte {
	discovery := ""
	if p.emulator != nil {
		discovery = fmt.Sprintf("discovery = %q\n", p.emulator.DiscoveryAddress())
	}
	text := fmt.Sprintf(
		"name = %q\ndata = %[1]q\naudit = \"%[1]s.audit\"\n[front]\nplatform = \"platform.json\"\n"+
			"listen = %[2]q\n%[3]s[peers]\nlisten = %[4]q\nadvertise = %[5]q\nfrom = %[6]q\ntick = %[7]q\n"+
			"[keys]\nca = \"keys/ca.crt\"\ncert = \"keys/%[1]s.crt\"\nkey = \"keys/%[1]s.key\"\n"+
			"[control]\nsocket = \"%[1]s.sock\"\n",
		p.Name, p.FrontAddress, discovery, listen, p.PeerAddress, host, c.options.Tick)
	if !p.older { // an earlier version does not know the key
		text += fmt.Sprintf("[test]\nclock = \"%s.clock\"\n", p.Name)
	}
	if p.Name == c.options.OldZoneRulesInstance {
		text += "zones = \"Etc/GMT-1\"\n"
	}
	if c.options.MaxRestarting > 0 {
		text += "[duties]\nout = \"start\"\n"
	}
	return []byte(text)
}

// freePorts returns two addresses with free ports on a host. The ports are drawn from below the
// kernel's ephemeral range: the kernel could assign a port from that range again, to the other
// address or to an outgoing connection, before the instance listens on it.
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
	return "", "", fmt.Errorf("found no two adjacent free ports on %s in 100 attempts: %w", host, err)
}

// Close kills all processes and closes the emulators, the journals, the logs and the links.
func (c *Cluster) Close() {
	for _, p := range c.Processes {
		c.Kill(p)
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
	c.Links.Close()
}

// notifyWatchers sends a journal entry to all goroutines that wait for a step. A watcher whose
// channel is full misses it. Admissions are skipped: no step waits for them, and there are far too
// many.
func (c *Cluster) notifyWatchers(e auditEntry) {
	if e.event == "admit" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for entries := range c.watchers {
		select {
		case entries <- e:
		default:
		}
	}
}

// awaitStep waits until the given instance reaches a step, and returns its name. If instance is
// empty, it waits for any instance. It returns false if ctx ends first.
func (c *Cluster) awaitStep(ctx context.Context, step Step, instance string) (string, bool) {
	entries := make(chan auditEntry, 64)
	c.mu.Lock()
	c.watchers[entries] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watchers, entries)
	}()
	for {
		select {
		case <-ctx.Done():
			return "", false
		case e := <-entries:
			if e.event == steps[step].event && (instance == "" || e.instance == instance) &&
				(step != stepAdmissionClosed || strings.Contains(e.args, "taking hold")) {
				return e.instance, true
			}
		}
	}
}
