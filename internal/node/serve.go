package node

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/operate/keys"
	"moorstack/internal/tomlfile"
)

// ServeConfig is the file that `moorstack serve` reads. Paths in it count from the file's
// own folder.
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
		Tick duration `toml:"tick"` // the agreement's unit of time; the same at all instances
	} `toml:"peers"`

	Keys keys.Files `toml:"keys"`

	// What this instance admits, acts and believes is written to this file, for audits.
	AuditLog string `toml:"audit"`

	LeasedTasks struct {
		// Where this instance can keep backups of what the group has agreed on.
		Backups string `toml:"backups"`
		// What becomes of its process when a rolling restart takes it out: "end", whoever runs it starts it
		// again, or "start": it starts the program anew in its own place.
		Out string `toml:"out"`
	} `toml:"duties"`

	// Test is for tests: see TestClocks.
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

type duration time.Duration

func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = duration(v)
	return err
}

// ReadServeConfig reads and checks the file.
func ReadServeConfig(path string) (*ServeConfig, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &ServeConfig{path: path, raw: raw}
	if err := tomlfile.Decode(path, raw, c); err != nil {
		return nil, err
	}
	bad := func(key, format string, args ...any) error {
		return tomlfile.ErrorAt(path, raw, key, format,
			args...)
	}
	if err := keys.ValidateName(c.Name); err != nil {
		return nil, bad("name", "%v", err)
	}
	for _, need := range []struct{ key, value string }{{"data", c.Data}, {"front.platform", c.Front.Platform},
		{"keys.ca", c.Keys.CA}, {"keys.cert", c.Keys.Cert}, {"keys.key", c.Keys.Key},
		{"control.socket", c.Control.Socket}} {
		if need.value == "" {
			return nil, bad(need.key, "it must be given")
		}
	}
	for _, a := range []struct {
		key, value string
		must       bool
	}{{"peers.listen", c.Peers.Listen, true}, {"control.listen", c.Control.Listen, false},
		{"peers.advertise", c.Peers.Advertise, false},
		{"front.listen", c.Front.Listen, false}, {"front.discovery", c.Front.Discovery, false},
		{"front.admin", c.Front.Admin, false}} {
		if a.value == "" && !a.must {
			continue
		}
		if at, err := netip.ParseAddrPort(a.value); err != nil || at.Port() == 0 {
			return nil, bad(a.key, "%q is not an address and a port", a.value)
		}
	}
	if c.Peers.Advertise == "" {
		c.Peers.Advertise = c.Peers.Listen
	}
	if _, err := netip.ParseAddr(c.Peers.From); err != nil && c.Peers.From != "" {
		return nil, bad("peers.from", "%q is not an address; it has no port", c.Peers.From)
	}
	if c.LeasedTasks.Out == "" {
		c.LeasedTasks.Out = outEnds
	}
	if c.LeasedTasks.Out != outEnds && c.LeasedTasks.Out != outStarts {
		return nil, bad("duties.out", "%q is neither %q nor %q", c.LeasedTasks.Out, outEnds, outStarts)
	}
	if c.Peers.Tick == 0 {
		c.Peers.Tick = duration(100 * time.Millisecond)
	}
	if t := time.Duration(c.Peers.Tick); t < 10*time.Millisecond || t > 5*time.Second {
		return nil, bad("peers.tick", "%v is not from 10ms to 5s", t)
	}
	for _, p := range []*string{
		&c.Data, &c.Front.Platform, &c.Front.Faktory, &c.Front.Routes, &c.Keys.CA, &c.Keys.Cert, &c.Keys.Key,
		&c.Control.Socket, &c.AuditLog, &c.LeasedTasks.Backups, &c.Test.Clock} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	// The kernel keeps a socket's path in 108 bytes.
	if len(c.Control.Socket) > 107 {
		return nil, bad("control.socket", "the path has %d bytes, 107 are possible", len(c.Control.Socket))
	}
	return c, nil
}

// fronts reads the files that the configuration names for the fronts.
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
		return nil, nil, tomlfile.ErrorAt(c.path, c.raw, "front.admin",
			"%q is the clients' address, not one of its own",
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
