package node

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/operate/keys"
	"moorstack/internal/tomlfile"
)

// ServeConfig is the file that `moorstack serve` reads. Relative paths in it are resolved against the file's
// directory.
type ServeConfig struct {
	Name string `toml:"name"` // this instance's name, as in its certificate
	Data string `toml:"data"` // directory of its persistent state

	Front struct {
		Platform  string `toml:"platform"`  // JSON file: the deployment's settings and listen addresses
		Listen    string `toml:"listen"`    // overrides the platform file's
		Discovery string `toml:"discovery"` // overrides the platform file's
		Admin     string `toml:"admin"`     // admin address; the platform file's is ignored
		Faktory   string `toml:"faktory"`   // TOML file; empty: the Faktory front is off
		Routes    string `toml:"routes"`    // TOML file; rules that the group agrees on take precedence
	} `toml:"front"`

	Peers struct {
		Listen string `toml:"listen"` // where this instance listens for other instances
		// Address at which others reach this instance, if it differs from Listen, as behind a forwarder or
		// from another network.
		Advertise string `toml:"advertise"`
		// Source address of calls to others, for a machine with several addresses.
		From string   `toml:"from"`
		Tick duration `toml:"tick"` // Raft's tick interval; the same at all instances
	} `toml:"peers"`

	Keys keys.Files `toml:"keys"`

	// File in which this instance records what it admits and does; empty: none.
	AuditLog string `toml:"audit"`

	LeasedTasks struct {
		// Directory in which this instance can keep backups of the agreed state.
		Backups string `toml:"backups"`
		// How a rolling restart restarts the process. "end": the process ends, and its supervisor starts it
		// again. "start": the process starts the program in its own place.
		Restart string `toml:"out"`
	} `toml:"duties"`

	// Test has settings for tests only: see TestClocksEnv.
	Test struct {
		Clock string `toml:"clock"` // file of a wall clock that a test sets
		Zones string `toml:"zones"` // used for all zones, so that the zone rules differ from other instances
	} `toml:"test"`

	Control struct {
		Socket string `toml:"socket"`
		Listen string `toml:"listen"` // TLS, for certificates of operators and readers; off if empty
	} `toml:"control"`

	path string
	raw  []byte
}

// Bounds and defaults of the file's values.
const (
	defaultTick   = 100 * time.Millisecond
	minTick       = 10 * time.Millisecond
	maxTick       = 5 * time.Second
	maxSocketPath = 107 // bytes: the kernel's buffer has 108, including the terminating NUL
)

// duration is a time.Duration that the file writes as text, such as "100ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// ReadServeConfig reads and checks the file at path, applies the defaults and makes its paths absolute. An
// error about a value names the file, the line and the key.
func ReadServeConfig(path string) (*ServeConfig, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &ServeConfig{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, c); err != nil {
		return nil, err
	}
	for _, check := range []func() error{c.checkRequired, c.checkAddresses, c.checkValues} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	c.resolvePaths(filepath.Dir(path))
	if n := len(c.Control.Socket); n > maxSocketPath {
		return nil, c.errorAt("control.socket", "path must be at most %[2]d bytes, got %[1]d", n,
			maxSocketPath)
	}
	return c, nil
}

// errorAt returns an error about the value of a key.
func (c *ServeConfig) errorAt(key, format string, args ...any) error {
	return tomlfile.ErrorAt(c.path, c.raw, key, format, args...)
}

// setting is a key of the file and its value.
type setting struct {
	key, value string
}

func (c *ServeConfig) checkRequired() error {
	if err := keys.ValidateName(c.Name); err != nil {
		return c.errorAt("name", "%v", err)
	}
	for _, s := range []setting{{"data", c.Data}, {"front.platform", c.Front.Platform},
		{"keys.ca", c.Keys.CA},
		{"keys.cert", c.Keys.Cert}, {"keys.key", c.Keys.Key}, {"control.socket", c.Control.Socket}} {
		if s.value == "" {
			return c.errorAt(s.key, "it must be given")
		}
	}
	return nil
}

func (c *ServeConfig) checkAddresses() error {
	for _, s := range []setting{{"peers.listen", c.Peers.Listen}, {"control.listen", c.Control.Listen},
		{"peers.advertise", c.Peers.Advertise}, {"front.listen", c.Front.Listen},
		{"front.discovery", c.Front.Discovery}, {"front.admin", c.Front.Admin}} {
		if s.value == "" && s.key != "peers.listen" {
			continue // only peers.listen is required
		}
		if at, err := netip.ParseAddrPort(s.value); err != nil || at.Port() == 0 {
			return c.errorAt(s.key, "must be an IP address and a port other than 0, got %q", s.value)
		}
	}
	if c.Peers.Advertise == "" {
		c.Peers.Advertise = c.Peers.Listen
	}
	if _, err := netip.ParseAddr(c.Peers.From); err != nil && c.Peers.From != "" {
		return c.errorAt("peers.from", "must be an IP address without a port, got %q", c.Peers.From)
	}
	return nil
}

// checkValues checks the settings that have a default, and applies the default.
func (c *ServeConfig) checkValues() error {
	restart := &c.LeasedTasks.Restart
	if *restart == "" {
		*restart = restartByExit
	}
	if *restart != restartByExit && *restart != restartInPlace {
		return c.errorAt("duties.out", "must be %[2]q or %[3]q, got %[1]q", *restart, restartByExit,
			restartInPlace)
	}
	if c.Peers.Tick == 0 {
		c.Peers.Tick = duration(defaultTick)
	}
	if t := time.Duration(c.Peers.Tick); t < minTick || t > maxTick {
		return c.errorAt("peers.tick", "must be between %[2]v and %[3]v, got %[1]v", t, minTick, maxTick)
	}
	return nil
}

func (c *ServeConfig) resolvePaths(dir string) {
	for _, p := range []*string{&c.Data, &c.Front.Platform, &c.Front.Faktory, &c.Front.Routes, &c.Keys.CA,
		&c.Keys.Cert, &c.Keys.Key, &c.Control.Socket, &c.AuditLog, &c.LeasedTasks.Backups, &c.Test.Clock} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// fronts reads the configuration files of the fronts. The second result is nil if the Faktory front is off.
func (c *ServeConfig) fronts() (*platform.Config, *faktory.Config, error) {
	p, err := platform.ReadConfigFile(c.Front.Platform)
	if err != nil {
		return nil, nil, err
	}
	p.Name = c.Name
	if c.Front.Listen != "" {
		p.ListenAddress = c.Front.Listen
	}
	// The platform file's admin address is ignored: instances on one machine share the file, but can't share
	// an address.
	p.AdminAddress = c.Front.Admin
	if p.AdminAddress != "" && p.AdminAddress == p.ListenAddress {
		return nil, nil, c.errorAt("front.admin", "must differ from the clients' address, got %q for both",
			p.AdminAddress)
	}
	if c.Front.Discovery != "" {
		p.DiscoveryAddress = c.Front.Discovery
	}
	var f *faktory.Config
	if c.Front.Faktory != "" {
		if f, err = faktory.ReadConfig(c.Front.Faktory); err != nil {
			return nil, nil, err
		}
	}
	if _, err := p.Settings.Balancer(); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Front.Platform, err)
	}
	return p, f, nil
}

// labels returns the labels by which leased tasks are assigned: the zone, and whether backups can be kept
// here.
func (c *ServeConfig) labels(zone string) []string {
	list := []string{leasedtask.ZoneLabelPrefix + zone}
	if c.LeasedTasks.Backups != "" {
		list = append(list, leasedtask.BackupLabel)
	}
	return list
}
