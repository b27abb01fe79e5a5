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
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Admin     string            `json:"admin_addr"` // where operators call; empty: nowhere
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    Limits            `json:"limits"`
	Known     routeSet          `json:"known"`
	Settings  settings.Settings `json:"settings"`

	path    string // of the file, where it is not the platform's
	written string // the address of discovery that the file gave last
}

// Limits are what a node may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`

	Others int `json:"-"` // descriptors that another front may hold
}

// ReadConfig reads the file that BALANCER_CONFIG names. The other variables, where
// they are set, come before what the file says.
func ReadConfig() (*Config, error) {
	c, err := readFile()
	if err != nil {
		return nil, err
	}
	c.written = c.Discovery
	for name, to := range map[string]*string{"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.Listen,
		"BALANCER_DISCOVERY": &c.Discovery, "BALANCER_ADMIN_ADDR": &c.Admin} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	return c, c.check()
}

// ReadConfigFile reads a file in the platform's form for a node that is not the platform's.
func ReadConfigFile(path string) (*Config, error) {
	c, err := readPath(path)
	if err != nil {
		return nil, err
	}
	c.path, c.written = path, c.Discovery
	return c, c.check()
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

// Upgrades says whether another process may take this one's place while the node serves:
// on the days on which operators call, and the platform gives a folder to both.
func (c *Config) Upgrades() bool { return c.Admin != "" && os.Getenv("TMPDIR") != "" }

// check looks for what a node can't go on with.
func (c *Config) check() error {
	if c.Limits.Sockets < 16 {
		return fmt.Errorf("limits.sockets: a node needs 16 at least")
	}
	if at, err := netip.ParseAddrPort(c.Discovery); err != nil || !at.Addr().Unmap().Is4() {
		return fmt.Errorf("discovery: %q is not an IPv4 address and a port", c.Discovery)
	}
	if c.Admin != "" {
		if at, err := netip.ParseAddrPort(c.Admin); err != nil || !at.Addr().Unmap().Is4() {
			return fmt.Errorf("admin_addr: %q is not an IPv4 address and a port", c.Admin)
		}
		if c.Admin == c.Listen {
			return fmt.Errorf("admin_addr: %q is the clients' address (listen), not one of its own", c.Admin)
		}
	}
	_, err := c.Settings.Brain()
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
		err = next.check()
	}
	if err != nil {
		f.log.WithError(err).Error("the configuration stays as it was")
		return
	}
	if next.Discovery == f.cfg.written {
		f.log.Info("the configuration names no other discovery")
		return
	}
	f.cfg.Discovery, f.cfg.written = next.Discovery, next.Discovery
	f.log.WithField("discovery", f.cfg.Discovery).Info("discovery has moved")
	f.dir.moved()
}

// SeedNumber is the seed as the module takes it.
func (c *Config) SeedNumber() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano()) // a node without a seed is as good with any
}

// routeSet is discovery's list, or a change of it.
type routeSet struct {
	Generation int64  `json:"generation"`
	Reset      bool   `json:"reset"`
	Instances  []line `json:"instances"`
}

// heard is a list as it has come, which may be none at all.
type heard struct {
	routeSet
	Generation *int64 `json:"generation"`
}

// list refuses what is no list: some other document, or part of one.
//
// Hazard: a foreign document that happens to be JSON reads as a list with nothing in it, and all workers
// would be gone.
func (h *heard) list() (*routeSet, error) {
	if h.Generation == nil {
		return nil, fmt.Errorf("it has no generation, and so is no list")
	}
	s := &h.routeSet
	s.Generation = *h.Generation
	if s.Reset && s.Instances == nil {
		return nil, fmt.Errorf("generation %d names no instances, and says that it is whole", s.Generation)
	}
	for i, l := range s.Instances {
		if l.ID == "" || l.Address == "" && lifecycles[l.Lifecycle] != balancer.Removed {
			return nil, fmt.Errorf("generation %d: instance %d has no instanceId or no hostPort",
				s.Generation, i)
		}
	}
	return s, nil
}

type line struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"startedAtMs"`
}

var lifecycles = map[string]balancer.State{"SERVING": balancer.Ready, "DRAINING": balancer.Draining}

// names finds the numbers of what the wire names.
type names struct {
	classes, tenants, zones, kinds map[string]int
	report                         settings.ReportNames
}

func namesOf(s *settings.Settings) names {
	n := names{classes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{},
		kinds: map[string]int{}, report: s.Names()}
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

func indexOf(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// tell hands a list to the core, with the next hops that its lines name.
func (f *Front) tell(kind balancer.ListKind, set *routeSet) {
	entries := make([]broker.Entry, 0, len(set.Instances))
	if kind != balancer.Changes {
		clear(f.lines)
	}
	named := map[string]bool{}
	now := f.loop.Now()
	step := time.Duration(time.Now().UnixNano()) - now
	for _, l := range set.Instances {
		e := broker.Entry{Name: l.ID, Cell: l.Cell, State: lifecycles[l.Lifecycle], Size: l.Weight,
			Zone: indexOf(f.names.zones, l.Zone), Kind: indexOf(f.names.kinds, l.Kind),
			Since: f.starts.at(l.ID, time.Duration(l.StartedMS)*time.Millisecond, now, step)}
		if e.State == balancer.Removed {
			f.remove(l.ID)
			delete(f.lines, l.ID)
		} else {
			f.lines[l.ID] = l
			named[l.ID] = true
			e.Hop = f.hopAt(l.ID, l.Address)
		}
		entries = append(entries, e)
	}
	if kind != balancer.Changes {
		for id := range f.hops {
			if !named[id] {
				f.remove(id)
			}
		}
	}
	f.core.RouteSet(kind, entries)
}

// hopAt is the next hop with the id. Its address may have changed.
func (f *Front) hopAt(id, address string) *nextHop {
	h := f.hops[id]
	if h == nil {
		h = &nextHop{front: f, name: id}
		f.hops[id] = h
	}
	if h.address != address {
		h.address = address
		h.CloseIdle()
	}
	return h
}

func (f *Front) remove(id string) {
	if h := f.hops[id]; h != nil {
		delete(f.hops, id)
		h.CloseIdle()
	}
}
