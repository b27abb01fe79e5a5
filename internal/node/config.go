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

// ServeConfig is the file that `moorstack serve` reads. Paths in it count from the file's own folder.
type ServeConfig struct {
	Name string `toml:"name"` // this instance's, as in its certificate
	Data string `toml:"data"` // the directory that it keeps its state in

	Front struct {
		Platform  string `toml:"platform"`  // JSON: the deployment's settings, and where the fronts listen
		Listen    string `toml:"listen"`    // in place of the platform file's
		Discovery string `toml:"discovery"` // likewise
		Admin     string `toml:"admin"`     // the second address; the platform file's is not used
		Faktory   string `toml:"faktory"`   // TOML; the Faktory front is off without
		Routes    string `toml:"routes"`    // TOML; what the group agrees on comes before it
	} `toml:"front"`

	Peers struct {
		Listen string `toml:"listen"` // where this instance listens for others
		// Where others reach it, if something stands between: a forwarder, or another network.
		Advertise string `toml:"advertise"`
		// The address that it calls others from, where the machine has several.
		From string   `toml:"from"`
		Tick duration `toml:"tick"` // Raft's unit of time; the same at all instances
	} `toml:"peers"`

	Keys keys.Files `toml:"keys"`

	// What this instance admits and does is written to this file, for audits.
	AuditLog string `toml:"audit"`

	LeasedTasks struct {
		// Where this instance can keep backups of what the group has agreed on.
		Backups string `toml:"backups"`
		// What becomes of its process when a rolling restart takes it out: "end", whoever runs it starts it
		// again, or "start": it starts the program in its own place.
		Restart string `toml:"out"`
	} `toml:"duties"`

	// Test is for tests: see TestClocksEnv.
	Test struct {
		Clock string `toml:"clock"` // the file of a wall clock
		Zones string `toml:"zones"` // a zone that all zones are taken for: rules that others don't have
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
	maxSocketPath = 107 // bytes: the kernel keeps a socket's path in 108, with an end
)

// duration is a time.Duration that the file has as text, such as "100ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// ReadServeConfig reads and checks the file at path, fills in its defaults and makes its paths absolute. An
// error of a value names the file, the line and the key.
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
		return nil, c.errorAt("control.socket", "the path has %d bytes, %d are possible", n, maxSocketPath)
	}
	return c, nil
}

// errorAt is an error about the value of a key.
func (c *ServeConfig) errorAt(key, format string, args ...any) error {
	return tomlfile.ErrorAt(c.path, c.raw, key, format, args...)
}

// setting is a key of the file, and its value.
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
			continue // only that one must be given
		}
		if at, err := netip.ParseAddrPort(s.value); err != nil || at.Port() == 0 {
			return c.errorAt(s.key, "%q is not an address and a port", s.value)
		}
	}
	if c.Peers.Advertise == "" {
		c.Peers.Advertise = c.Peers.Listen
	}
	if _, err := netip.ParseAddr(c.Peers.From); err != nil && c.Peers.From != "" {
		return c.errorAt("peers.from", "%q is not an address; it has no port", c.Peers.From)
	}
	return nil
}

// checkValues checks the values that have a default, and fills that in.
func (c *ServeConfig) checkValues() error {
	restart := &c.LeasedTasks.Restart
	if *restart == "" {
		*restart = restartByEnding
	}
	if *restart != restartByEnding && *restart != restartByStarting {
		return c.errorAt("duties.out", "%q is neither %q nor %q", *restart, restartByEnding,
			restartByStarting)
	}
	if c.Peers.Tick == 0 {
		c.Peers.Tick = duration(defaultTick)
	}
	if t := time.Duration(c.Peers.Tick); t < minTick || t > maxTick {
		return c.errorAt("peers.tick", "%v is not from %v to %v", t, minTick, maxTick)
	}
	return nil
}

func (c *ServeConfig) resolvePaths(folder string) {
	for _, p := range []*string{&c.Data, &c.Front.Platform, &c.Front.Faktory, &c.Front.Routes, &c.Keys.CA,
		&c.Keys.Cert, &c.Keys.Key, &c.Control.Socket, &c.AuditLog, &c.LeasedTasks.Backups, &c.Test.Clock} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}

// fronts reads the files that the configuration names for the fronts. The second is nil where the Faktory
// front is off.
func (c *ServeConfig) fronts() (*platform.Config, *faktory.Config, error) {
	p, err := platform.ReadConfigFile(c.Front.Platform)
	if err != nil {
		return nil, nil, err
	}
	p.Name = c.Name
	if c.Front.Listen != "" {
		p.ListenAddress = c.Front.Listen
	}
	// Hazard: instances of one machine share a platform file, and can't share an address.
	p.AdminAddress = c.Front.Admin
	if p.AdminAddress != "" && p.AdminAddress == p.ListenAddress {
		return nil, nil, c.errorAt("front.admin", "%q is the clients' address, not one of its own",
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

// labels are what this instance has that leased tasks require, and where it is.
func (c *ServeConfig) labels(zone string) []string {
	list := []string{leasedtask.ZoneLabelPrefix + zone}
	if c.LeasedTasks.Backups != "" {
		list = append(list, leasedtask.BackupLabel)
	}
	return list
}
