package node

import (
	"context"
	"errors"
	"fmt"
	stdnet "net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/transport"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/operate/keys"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
	"moorstack/internal/tomlfile"
)

// Instance is a node that agrees with others on its configuration: a Node, its part in
// the agreement, the peers' network and the operators' service.
type Instance struct {
	cfg     *ServeConfig
	log     logrus.FieldLogger
	program string
	node    *Node
	own     balancer.Settings // what this instance's own files say
	names   routing.KnownNames
	file    string // of its own rules, if it has one
	runner  *consensus.Runner
	network *transport.Network
	control *controlapi.Server
	parts   []part
	latest  chan clusterstate.Revision // of which only the newest counts
	pending chan clusterstate.Revision // likewise: to be made ready for
	gate    *gate
	keeper  *keeper
	lists   *hub
	rates   *rates
	plans   *triggers
	shares  *shares
	words   *witnesses
	leaves  *leaves
	beliefs *beliefs
	zones   *calendar.ZoneDB

	mu      sync.Mutex
	running uint64
	current clusterstate.Revision
	problem string
	staged  string // the change that terms are for
	terms   RuntimeConfig
}

var _ controlapi.Host = (*Instance)(nil)

// part is what has been started, and how it is stopped.
type part struct {
	name string
	stop func() error
}

// started notes a part: the parts are stopped in the opposite order.
func (i *Instance) started(name string, stop func() error) {
	i.parts = append(i.parts, part{name, stop})
}

// stop stops what has been started, the last first, and nothing else.
func (i *Instance) stop() error {
	var errs []error
	for n := len(i.parts) - 1; n >= 0; n-- {
		if err := i.parts[n].stop(); err != nil {
			errs = append(errs, fmt.Errorf("stopping %s: %w", i.parts[n].name, err))
		}
	}
	i.parts = nil
	return errors.Join(errs...)
}

// NewInstance builds an instance and opens all that listens. Where that fails half-way, what
// had been started is stopped.
func NewInstance(cfg *ServeConfig, program string, log logrus.FieldLogger) (*Instance, error) {
	i := &Instance{cfg: cfg, log: log, program: program, latest: make(chan clusterstate.Revision, 1),
		pending: make(chan clusterstate.Revision, 1), gate: closed()}
	i.keeper, i.rates, i.plans = newKeeper(i), newRates(i), newTriggers(i)
	i.shares, i.words, i.leaves = newShares(i), newWitnesses(i), newLeaves(i)
	i.beliefs = newBeliefs(i)
	i.gate.rates, i.gate.shares = i.rates, i.shares
	if err := i.open(); err != nil {
		return nil, errors.Join(err, i.stop())
	}
	return i, nil
}

func (i *Instance) open() error {
	cfg, log := i.cfg, i.log
	k, err := keys.NewReloader(cfg.Keys, log)
	if err != nil {
		return err
	}
	if name, role := k.Identity(); name != cfg.Name || role != keys.RoleInstance {
		return fmt.Errorf(
			"%s is the certificate of %s %q; wanted is that of instance %q",
			cfg.Keys.Cert,
			role,
			name,
			cfg.Name,
		)
	}
	platformCfg, faktoryCfg, err := cfg.fronts()
	if err != nil {
		return err
	}
	if i.own, err = platformCfg.Settings.Balancer(); err != nil {
		return err
	}
	i.names = routing.KnownNames{Zones: platformCfg.Settings.Zones, Kinds: platformCfg.Settings.Kinds}
	for _, c := range i.own.Classes {
		i.names.Classes = append(i.names.Classes, c.Name)
	}
	for _, t := range i.own.Tenants {
		i.names.Tenants = append(i.names.Tenants, t.Name)
	}
	i.file = cfg.Front.Routes
	if _, err := i.ownRoutes(); err != nil {
		return err
	}
	i.network = transport.New(
		k,
		cfg.Name,
		cfg.Peers.Advertise,
		cfg.Peers.From,
		i.program,
		log.WithField("part",
			"peers"),
	)
	i.started("the peers' network", func() error { i.network.Close(); return nil })
	wall, err := cfg.wallClock()
	if err != nil {
		return tomlfile.ErrorAt(cfg.path, cfg.raw, "test.clock", "%v", err)
	}
	if i.zones, err = cfg.zoneRules(); err != nil {
		return tomlfile.ErrorAt(cfg.path, cfg.raw, "test.zones", "%v", err)
	}
	i.runner, err = consensus.Open(consensus.RunnerConfig{
		Config: consensus.Config{
			Rules:        DocumentRules(),
			Logger:       log.WithField("part", "agreement"),
			WallClock:    wall,
			Zones:        i.zones,
			Labels:       cfg.labels(i.zone()),
			TickInterval: time.Duration(cfg.Peers.Tick),
		}, Name: cfg.Name,
		Dir: filepath.Join(cfg.Data, "agreement"), Transport: i.network,
		OnRevision: func(r clusterstate.Revision) { offer(i.latest, r) },
		OnStage:    func(r clusterstate.Revision) { offer(i.pending, r) }, OnPermit: i.permitted,
		OnClusterView: i.stands, OnNotification: i.told})
	if err != nil {
		return err
	}
	i.started("the agreement", i.runner.Stop)
	i.network.AttachRunner(i.runner)
	if cfg.AuditLog != "" {
		if i.gate.journal, err = os.OpenFile(cfg.AuditLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY,
			0o600); err != nil {
			return tomlfile.ErrorAt(cfg.path, cfg.raw, "audit", "%v", err)
		}
		i.started("the audit's journal", i.gate.journal.Close)
		i.gate.note("start %s", cfg.Name)
	}
	i.node, err = New(
		Options{Platform: platformCfg, Faktory: faktoryCfg, Log: log, MaxProcs: 2, Admission: i.gate},
	)
	if err != nil {
		return err
	}
	i.rates.open()
	for k := range i.node.cores {
		i.node.cores[k].OnListUpdate(i.shares.choose)
	}
	// What was agreed on last is what the fronts run. They admit nothing under it before the group
	// has said that it is in force still.
	if r, ok := i.runner.CommittedRevision(); ok {
		i.apply(r, i.node.configure)
	} else if err := i.reroute(); err != nil {
		return err
	}
	i.network.HandleDescribe(i.fronts)
	i.lists = newHub(i)
	i.network.HandleWatchEndpointLists(i.lists.tell)
	i.network.HandleRateMessages(i.rates.heard)
	i.network.HandleOutlierReports(i.words.heard)
	i.network.HandleMembershipMessages(i.beliefs.heard)
	i.node.OnShutdown = func() {
		i.plans.leave()
		go i.keeper.leave()
	}
	i.node.OnStandby = func(on bool) {
		i.keeper.stands.Store(on)
		go i.keeper.idle()
	}
	drain := i.node.drain
	i.node.drain = func(done func()) { drain(func() { i.plans.drained(done) }) }
	i.node.OnReload = func() {
		if err := i.reroute(); err != nil {
			log.WithError(err).Error("the rules stay as they were")
		}
	}
	return i.listen(k)
}

func (i *Instance) listen(k *keys.Reloader) error {
	l, err := stdnet.Listen("tcp", i.cfg.Peers.Listen)
	if err != nil {
		return fmt.Errorf("the peers' address: %w", err)
	}
	server := i.network.Server()
	i.started("the peers' service", func() error { server.Stop(); _ = l.Close(); return nil })
	i.control = controlapi.New(i, i.log.WithField("part", "control"))
	i.started("the operators' service", func() error { i.control.Stop(); return nil })
	if err := i.control.ServeSocket(i.cfg.Control.Socket); err != nil {
		return err
	}
	if i.cfg.Control.Listen != "" {
		if err := i.control.ServeTLS(i.cfg.Control.Listen, k); err != nil {
			return err
		}
	}
	i.runner.Start()
	go server.Serve(l)
	i.started("the duties", i.keeper.stop)
	go i.keeper.run()
	i.started("the list from others", i.lists.stop)
	go i.lists.follow()
	return nil
}

// Run serves until the node has been asked to end. With ErrAnew the program is to be started in its place.
func (i *Instance) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go i.keepUp(ctx)
	err := errors.Join(i.node.Run(i.leaves.among(signals)), i.stop())
	if err == nil && i.leaves.anew() {
		return ErrRestart
	}
	return err
}

// offer hands a revision on without waiting: who takes them takes the newest.
func offer(c chan clusterstate.Revision, r clusterstate.Revision) {
	for {
		select {
		case c <- r:
			return
		default:
		}
		select {
		case <-c: // an older one that nobody has come to
		default:
		}
	}
}

// permitted takes the runner's word on whether the fronts may admit.
func (i *Instance) permitted(p rollout.Permit) {
	i.node.loop.Post(func() {
		if was := i.gate.permit; was.Open != p.Open || was.ClosedReason != p.ClosedReason && !p.Open {
			i.gate.note("permit open=%v revision=%d why=%q", p.Open, p.Revision, p.ClosedReason)
			entry := i.log.WithField("revision", p.Revision)
			switch {
			case p.Open:
				entry.Info("jobs are admitted")
			case p.Change != "":
				entry.WithField("change", p.Change).Info("jobs wait for a change to take hold")
			default:
				entry.WithField("why", p.ClosedReason).Warn("no job is admitted")
			}
		}
		i.gate.permit = p
		i.gate.opened()
		// Hazard: the yes must follow the turn in which the fronts have ceased to admit.
		if !p.Open && p.Change != "" {
			i.runner.ReportAdmissionClosed(p.Change, p.Attempt)
		}
	})
}

func (i *Instance) keepUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-i.pending:
			i.stage(r)
		case r := <-i.latest:
			i.apply(r, i.node.Configure)
		}
	}
}

// stage makes everything ready for a change, so that the switch takes one turn of the loop.
func (i *Instance) stage(r clusterstate.Revision) {
	i.gate.note("staging %s", r.ChangeID)
	t, err := i.termsOf(r.Document)
	if err == nil {
		err = i.bears(r.Document)
	}
	if err == nil {
		err = i.node.ValidateConfig(t)
	}
	entry := i.log.WithFields(logrus.Fields{"revision": r.Number, "change": r.ChangeID})
	if err != nil {
		entry.WithError(err).Warn("a change can't be run here")
		i.runner.ReportStaged(r.ChangeID, []string{err.Error()})
		return
	}
	i.mu.Lock()
	i.staged, i.terms = r.ChangeID, t
	i.mu.Unlock()
	entry.Info("ready for a change")
	i.gate.note("staged %s", r.ChangeID)
	i.runner.ReportStaged(r.ChangeID, nil)
}

// bearsLease says why this instance can't keep what the document says of leases.
func (i *Instance) bearsLease(d *clusterstate.Document) error {
	p, _ := rollout.ParsePolicy(d.Sections[rollout.Section])
	if err := p.CheckTick(time.Duration(i.cfg.Peers.Tick)); err != nil {
		return tomlfile.ErrorAt(i.cfg.path, i.cfg.raw, "peers.tick", "%v", err)
	}
	return nil
}

// termsOf fits a document to this instance's own files.
func (i *Instance) termsOf(d *clusterstate.Document) (t RuntimeConfig, err error) {
	if t.Settings, err = d.ApplyTo(i.own); err != nil {
		return t, fmt.Errorf("%s: %w", i.cfg.Front.Platform, err)
	}
	t.Routes, err = i.routes(d)
	return t, err
}

// apply puts a revision in force at the fronts.
func (i *Instance) apply(r clusterstate.Revision, configure func(RuntimeConfig) error) {
	i.mu.Lock()
	t, ready := i.terms, i.staged == r.ChangeID && r.ChangeID != ""
	i.staged, i.terms = "", RuntimeConfig{}
	i.mu.Unlock()
	var err error
	if !ready {
		t, err = i.termsOf(r.Document)
	}
	if err == nil {
		follow := i.read(r.Document, t.Settings)
		t.OnApplied = func() {
			follow()
			if r.Number > i.gate.running {
				i.gate.running = r.Number
				i.gate.note("run %d", r.Number)
				i.gate.opened()
			}
		}
		err = configure(t)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := i.log.WithField("revision", r.Number)
	if err != nil {
		// Only files that differ from what they were when it took hold can bring this about: the
		// fronts admit nothing more, for what they run is not in force.
		i.problem = fmt.Sprintf("revision %d: %v", r.Number, err)
		entry.WithError(err).Error("the agreed configuration can't be run here")
		return
	}
	if r.Number < i.running {
		return
	}
	i.running, i.current, i.problem = r.Number, r, ""
	i.runner.ReportRunningRevision(r.Number)
	entry.Info("the fronts run this configuration")
}

// agreedNow is the revision that the fronts run last.
func (i *Instance) agreedNow() (clusterstate.Revision, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current, i.running > 0
}

// Runner implements control.Host.
func (i *Instance) Runner() *consensus.Runner { return i.runner }

// Operate implements control.Host.
func (i *Instance) Operate(ctx context.Context, op *schema.Operation) (*schema.Operated, error) {
	return i.network.Operate(ctx, op)
}

// RunningRevision implements control.Host.
func (i *Instance) RunningRevision() (uint64, string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running, i.problem
}

// InitialDocument implements control.Host.
func (i *Instance) InitialDocument() (*clusterstate.Document, error) {
	return clusterstate.DocumentFromSettings(i.own), nil
}

// Address implements control.Host.
func (i *Instance) Address() string { return i.cfg.Peers.Advertise }

// Program implements control.Host.
func (i *Instance) Program() string { return i.program }

// TickInterval implements control.Host.
func (i *Instance) TickInterval() time.Duration { return time.Duration(i.cfg.Peers.Tick) }

// Counters implements control.Host.
func (i *Instance) Counters() map[string]uint64 {
	c := i.network.Counters()
	for name, n := range i.runner.Counters() {
		c[name] = n
	}
	c["jobs_refused_by_sessions"] = i.gate.refused.Load()
	c["jobs_refused_by_rates"] = i.rates.refused.Load()
	c["occurrences_begun"] = i.plans.begun.Load()
	c["workers_shunned"] = uint64(i.words.count.Load())
	return c
}
