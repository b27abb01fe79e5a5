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

// minDescriptors is the smallest socket limit with which a node can serve.
const minDescriptors = 16

// Config is a node's configuration as read at its start. A reload changes only the address of discovery.
type Config struct {
	Name             string          `json:"name"`
	ListenAddress    string          `json:"listen"`
	AdminAddress     string          `json:"admin_addr"` // address for operators; empty: no admin listener
	DiscoveryAddress string          `json:"discovery"`
	Seed             string          `json:"seed"`
	Limits           Limits          `json:"limits"`
	InitialList      workerList      `json:"known"` // the endpoint list until discovery has answered
	Settings         settings.Params `json:"settings"`

	path                string // of the file; empty: BALANCER_CONFIG names it
	configuredDiscovery string // discovery's address in the file when it was last read
}

// Limits are the node's resource limits.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`

	ReservedDescriptors int `json:"-"` // descriptors reserved for another front
}

// ReadConfig reads the file that BALANCER_CONFIG names and validates it. BALANCER_NAME, BALANCER_LISTEN,
// BALANCER_DISCOVERY and BALANCER_ADMIN_ADDR override its values where they are set.
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

// ReadConfigFile reads and validates a file in the platform's format, for a node that the platform does not
// run. Environment variables don't override its values.
func ReadConfigFile(path string) (*Config, error) {
	c, err := readFile(path)
	if err != nil {
		return nil, err
	}
	c.path, c.configuredDiscovery = path, c.DiscoveryAddress
	return c, c.validate()
}

// readEnvironmentFile reads the file that BALANCER_CONFIG names, without the overrides by other variables.
func readEnvironmentFile() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set; it must name the node's configuration file")
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

// HotRestartEnabled reports whether a new process may replace this one while the node serves. That requires
// an admin address, and a folder for both processes, which TMPDIR names.
func (c *Config) HotRestartEnabled() bool { return c.AdminAddress != "" && os.Getenv("TMPDIR") != "" }

func (c *Config) validate() error {
	if c.Limits.Sockets < minDescriptors {
		return fmt.Errorf("limits.sockets must be at least %d", minDescriptors)
	}
	if !isIPv4AndPort(c.DiscoveryAddress) {
		return fmt.Errorf("discovery must be an IPv4 address and port, got %q", c.DiscoveryAddress)
	}
	if c.AdminAddress != "" && !isIPv4AndPort(c.AdminAddress) {
		return fmt.Errorf("admin_addr must be an IPv4 address and port, got %q", c.AdminAddress)
	}
	if c.AdminAddress != "" && c.AdminAddress == c.ListenAddress {
		return fmt.Errorf("admin_addr must differ from the clients' address (listen), got %q for both",
			c.AdminAddress)
	}
	_, err := c.Settings.Balancer()
	return err
}

func isIPv4AndPort(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().Unmap().Is4()
}

// SeedValue returns the seed for the balancer's random choices: the one in the configuration if that is
// valid, otherwise the current time.
func (c *Config) SeedValue() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}

// InheritDiscovery sets the discovery address that the replaced process used. configured is the address that
// the replaced process last read from its file. If the file has changed since then, the file's address is
// newer and stays in force.
//
// Without this, the new process would use BALANCER_DISCOVERY, which overrides the file and may name an
// address from before a reload.
func (c *Config) InheritDiscovery(address, configured string) {
	if c.configuredDiscovery == configured && address != "" {
		c.DiscoveryAddress = address
	}
}

// Reload reads the file again and applies its discovery address. An invalid file is logged and changes
// nothing.
//
// BALANCER_DISCOVERY overrides the file only at the start: a reload applies the file's address if it differs
// from the one last read from the file. Otherwise the variable would hide every later change of the file.
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
	f.discovery.addressChanged()
}
