// Package platform is the front for the platform's protocol: clients' requests,
// the next hops' call-backs, branches and probes, and discovery, all over HTTP/1.1.
package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/settings"
)

// Config is what a node is told at its start.
type Config struct {
	Name             string          `json:"name"`
	ListenAddress    string          `json:"listen"`
	AdminAddress     string          `json:"admin_addr"` // where operators call; empty: nowhere
	DiscoveryAddress string          `json:"discovery"`
	Seed             string          `json:"seed"`
	Limits           Limits          `json:"limits"`
	InitialList      workerList      `json:"known"`
	Settings         settings.Params `json:"settings"`

	path                string // of the file, where it is not the platform's
	configuredDiscovery string // the address of discovery that the file gave last
}

// Limits are what a node may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`

	ReservedDescriptors int `json:"-"` // descriptors that another front may hold
}

// ReadConfig reads the file that BALANCER_CONFIG names. The other variables, where
// they are set, come before what the file says.
func ReadConfig() (*Config, error) {
	c, err := readFile()
	if err != nil {
		return nil, err
	}
	c.configuredDiscovery = c.DiscoveryAddress
	for name, to := range map[string]*string{"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.ListenAddress,
		"BALANCER_DISCOVERY": &c.DiscoveryAddress, "BALANCER_ADMIN_ADDR": &c.AdminAddress} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	return c, c.validate()
}

// ReadConfigFile reads a file in the platform's form for a node that is not the platform's.
func ReadConfigFile(path string) (*Config, error) {
	c, err := readPath(path)
	if err != nil {
		return nil, err
	}
	c.path, c.configuredDiscovery = path, c.DiscoveryAddress
	return c, c.validate()
}

// readFile reads the platform's file as it stands.
func readFile() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG is not set: it names the node's configuration")
	}
	return readPath(path)
}

func readPath(path string) (*Config, error) {
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

// HotRestartEnabled says whether another process may take this one's place while the node serves:
// on the days on which operators call, and the platform gives a folder to both.
func (c *Config) HotRestartEnabled() bool { return c.AdminAddress != "" && os.Getenv("TMPDIR") != "" }

// validate looks for what a node can't go on with.
func (c *Config) validate() error {
	if c.Limits.Sockets < 16 {
		return fmt.Errorf("limits.sockets: a node needs 16 at least")
	}
	if at, err := netip.ParseAddrPort(c.DiscoveryAddress); err != nil || !at.Addr().Unmap().Is4() {
		return fmt.Errorf("discovery: %q is not an IPv4 address and a port", c.DiscoveryAddress)
	}
	if c.AdminAddress != "" {
		if at, err := netip.ParseAddrPort(c.AdminAddress); err != nil || !at.Addr().Unmap().Is4() {
			return fmt.Errorf("admin_addr: %q is not an IPv4 address and a port", c.AdminAddress)
		}
		if c.AdminAddress == c.ListenAddress {
			return fmt.Errorf(
				"admin_addr: %q is the clients' address (listen), not one of its own",
				c.AdminAddress,
			)
		}
	}
	_, err := c.Settings.Balancer()
	return err
}

// Reload reads the file anew and takes over the address of discovery, which is all
// that a running node can change. A file that is no good changes nothing.
//
// Hazard: BALANCER_DISCOVERY comes first at the start, and would hide for ever what
// the file says now. So a reload goes by whether the file itself has changed.
func (f *Front) Reload() {
	next, err := (*Config)(nil), error(nil)
	if f.cfg.path != "" {
		next, err = readPath(f.cfg.path)
	} else {
		next, err = readFile()
	}
	if err == nil {
		err = next.validate()
	}
	if err != nil {
		f.log.WithError(err).Error("the configuration stays as it was")
		return
	}
	if next.DiscoveryAddress == f.cfg.configuredDiscovery {
		f.log.Info("the configuration names no other discovery")
		return
	}
	f.cfg.DiscoveryAddress, f.cfg.configuredDiscovery = next.DiscoveryAddress, next.DiscoveryAddress
	f.log.WithField("discovery", f.cfg.DiscoveryAddress).Info("discovery has moved")
	f.directory.addressChanged()
}

// SeedValue is the seed as the module takes it.
func (c *Config) SeedValue() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano()) // a node without a seed is as good with any
}

// workerList is discovery's list, or a change of it.
type workerList struct {
	Generation int64         `json:"generation"`
	Full       bool          `json:"reset"`
	Workers    []workerEntry `json:"instances"`
}

// receivedList is a list as it has come, which may be none at all.
type receivedList struct {
	workerList
	Generation *int64 `json:"generation"`
}

// validate refuses what is no list: some other document, or part of one.
//
// Hazard: a foreign document that happens to be JSON reads as a list with nothing in it, and all workers
// would be gone.
func (h *receivedList) validate() (*workerList, error) {
	if h.Generation == nil {
		return nil, fmt.Errorf("it has no generation, and so is no list")
	}
	s := &h.workerList
	s.Generation = *h.Generation
	if s.Full && s.Workers == nil {
		return nil, fmt.Errorf("generation %d names no instances, and says that it is whole", s.Generation)
	}
	for i, l := range s.Workers {
		if l.ID == "" || l.Address == "" && lifecycles[l.Lifecycle] != balancer.Removed {
			return nil, fmt.Errorf("generation %d: instance %d has no instanceId or no hostPort",
				s.Generation, i)
		}
	}
	return s, nil
}

type workerEntry struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

var lifecycles = map[string]balancer.WorkerState{"SERVING": balancer.Ready, "DRAINING": balancer.Draining}

// nameIndex finds the numbers of what the wire names.
type nameIndex struct {
	classes, tenants, zones, kinds map[string]int
	report                         settings.LoadReportFields
}

func newNameIndex(s *settings.Params) nameIndex {
	n := nameIndex{classes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{},
		kinds: map[string]int{}, report: s.LoadReportFields()}
	for i, c := range s.Classes {
		n.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
	}
	for i, z := range s.Zones {
		n.zones[z] = i
	}
	for i, k := range s.Kinds {
		n.kinds[k] = i
	}
	return n
}

func indexOrNone(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// updateEndpoints hands a list to the core, with the next hops that its lines name.
func (f *Front) updateEndpoints(kind balancer.ListUpdateKind, set *workerList) {
	entries := make([]broker.ListEntry, 0, len(set.Workers))
	if kind != balancer.ListDelta {
		clear(f.entries)
	}
	named := map[string]bool{}
	now := f.loop.Now()
	step := time.Duration(time.Now().UnixNano()) - now
	for _, l := range set.Workers {
		e := broker.ListEntry{Name: l.ID, Cell: l.Cell, State: lifecycles[l.Lifecycle], Size: l.Weight,
			Zone: indexOrNone(f.names.zones, l.Zone), Kind: indexOrNone(f.names.kinds, l.MachineType),
			StartedAt: f.startTimes.resolve(l.ID, time.Duration(l.StartedAtMS)*time.Millisecond, now, step)}
		if e.State == balancer.Removed {
			f.removeWorker(l.ID)
			delete(f.entries, l.ID)
		} else {
			f.entries[l.ID] = l
			named[l.ID] = true
			e.Endpoint = f.workerAt(l.ID, l.Address)
		}
		entries = append(entries, e)
	}
	if kind != balancer.ListDelta {
		for id := range f.workers {
			if !named[id] {
				f.removeWorker(id)
			}
		}
	}
	f.broker.UpdateEndpoints(kind, entries)
}

// workerAt is the next hop with the id. Its address may have changed.
func (f *Front) workerAt(id, address string) *worker {
	h := f.workers[id]
	if h == nil {
		h = &worker{front: f, name: id}
		f.workers[id] = h
	}
	if h.address != address {
		h.address = address
		h.CloseIdle()
	}
	return h
}

func (f *Front) removeWorker(id string) {
	if h := f.workers[id]; h != nil {
		delete(f.workers, id)
		h.CloseIdle()
	}
}
