package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"moorstack/internal/proxy/settings"
)

// minDescriptors is how few sockets a node can serve with.
const minDescriptors = 16

// Config is a node's configuration as read at its start. A reload changes only the address of discovery.
type Config struct {
	Name             string          `json:"name"`
	ListenAddress    string          `json:"listen"`
	AdminAddress     string          `json:"admin_addr"` // where operators call; empty: nowhere
	DiscoveryAddress string          `json:"discovery"`
	Seed             string          `json:"seed"`
	Limits           Limits          `json:"limits"`
	InitialList      workerList      `json:"known"` // the endpoint list until discovery has answered
	Settings         settings.Params `json:"settings"`

	path                string // of the file, if BALANCER_CONFIG does not name it
	configuredDiscovery string // the address of discovery in the file, as it was read last
}

// Limits are what the node may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`

	ReservedDescriptors int `json:"-"` // descriptors that another frontend may hold
}

// ReadConfig reads the file that BALANCER_CONFIG names and validates it. BALANCER_NAME, BALANCER_LISTEN,
// BALANCER_DISCOVERY and BALANCER_ADMIN_ADDR override it where they are set.
func ReadConfig() (*Config, error) {
	c, err := readEnvironmentFile()
	if err != nil {
		return nil, err
	}
	c.configuredDiscovery = c.DiscoveryAddress
	for variable, field := range map[string]*string{
		"BALANCER_NAME":       &c.Name,
		"BALANCER_LISTEN":     &c.ListenAddress,
		"BALANCER_DISCOVERY":  &c.DiscoveryAddress,
		"BALANCER_ADMIN_ADDR": &c.AdminAddress,
	} {
		if v := os.Getenv(variable); v != "" {
			*field = v
		}
	}
	return c, c.validate()
}

// ReadConfigFile reads and validates a file in the platform's form, for a node that the platform does not
// run.
func ReadConfigFile(path string) (*Config, error) {
	c, err := readFile(path)
	if err != nil {
		return nil, err
	}
	c.path, c.configuredDiscovery = path, c.DiscoveryAddress
	return c, c.validate()
}

// readEnvironmentFile reads the file that BALANCER_CONFIG names, without what overrides it.
func readEnvironmentFile() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set: it names the node's configuration")
	}
	return readFile(path)
}

func readFile(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c := &Config{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return c, nil
}

// HotRestartEnabled reports whether another process may take this one's place while the node serves: where
// operators can call, and the platform gives both processes a folder.
func (c *Config) HotRestartEnabled() bool { return c.AdminAddress != "" && os.Getenv("TMPDIR") != "" }

func (c *Config) validate() error {
	if c.Limits.Sockets < minDescriptors {
		return fmt.Errorf("limits.sockets: a node needs %d at least", minDescriptors)
	}
	if !isIPv4AndPort(c.DiscoveryAddress) {
		return fmt.Errorf("discovery: %q is not an IPv4 address and a port", c.DiscoveryAddress)
	}
	if c.AdminAddress != "" && !isIPv4AndPort(c.AdminAddress) {
		return fmt.Errorf("admin_addr: %q is not an IPv4 address and a port", c.AdminAddress)
	}
	if c.AdminAddress != "" && c.AdminAddress == c.ListenAddress {
		return fmt.Errorf("admin_addr: %q is the clients' address (listen), not one of its own",
			c.AdminAddress)
	}
	_, err := c.Settings.Balancer()
	return err
}

func isIPv4AndPort(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().Unmap().Is4()
}

// SeedValue is the seed of the balancer's random choices. Without a valid one in the configuration it is the
// time.
func (c *Config) SeedValue() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}

// InheritDiscovery has a process that takes another's place use that one's address of discovery. Configured
// is what the other process read last from its file.
//
// Hazard: BALANCER_DISCOVERY overrides the file, and names the address of before a reload. A file that was
// changed since is newer than both.
func (c *Config) InheritDiscovery(address, configured string) {
	if c.configuredDiscovery == configured && address != "" {
		c.DiscoveryAddress = address
	}
}

// Reload reads the file again and takes over the address of discovery. An invalid file changes nothing; it
// is logged.
//
// Hazard: BALANCER_DISCOVERY overrides the file at the start, and would hide for ever what the file holds
// now. So a reload goes by whether the file itself has changed.
func (f *Front) Reload() {
	var next *Config
	var err error
	if f.cfg.path != "" {
		next, err = readFile(f.cfg.path)
	} else {
		next, err = readEnvironmentFile()
	}
	if err == nil {
		err = next.validate()
	}
	if err != nil {
		f.log.WithError(err).Error("configuration not reloaded")
		return
	}
	if next.DiscoveryAddress == f.cfg.configuredDiscovery {
		f.log.Info("configuration reloaded, discovery address unchanged")
		return
	}
	f.cfg.DiscoveryAddress, f.cfg.configuredDiscovery = next.DiscoveryAddress, next.DiscoveryAddress
	f.log.WithField("address", f.cfg.DiscoveryAddress).Info("discovery address changed")
	f.directory.addressChanged()
}
