package node

import (
	"fmt"
	"net"
	"path/filepath"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/transport"
	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/operate/keys"
	"moorstack/internal/proxy/routing"
)

// open builds the parts of an instance in the order of their dependencies. Nothing runs before startServices.
func (i *Instance) open() error {
	certificates, err := i.openKeys()
	if err != nil {
		return err
	}
	platformConfig, faktoryConfig, err := i.cfg.fronts()
	if err != nil {
		return err
	}
	if err := i.readLocalConfig(platformConfig); err != nil {
		return err
	}
	i.env.network = transport.New(certificates, i.cfg.Name, i.cfg.Peers.Advertise, i.cfg.Peers.From,
		i.program, i.env.component("transport"))
	i.onStop("the transport", func() error { i.env.network.Close(); return nil })
	if err := i.openRunner(); err != nil {
		return err
	}
	if err := i.openAudit(); err != nil {
		return err
	}
	if err := i.openNode(platformConfig, faktoryConfig); err != nil {
		return err
	}
	i.createDrivers()
	if err := i.applyCommitted(); err != nil {
		return err
	}
	i.connectTransport()
	i.connectNode()
	return i.startServices(certificates)
}

// openKeys opens the certificate files and checks that the certificate was issued to this instance.
func (i *Instance) openKeys() (*keys.Reloader, error) {
	certificates, err := keys.NewReloader(i.cfg.Keys, i.log)
	if err != nil {
		return nil, err
	}
	if name, role := certificates.Identity(); name != i.cfg.Name || role != keys.RoleInstance {
		return nil, fmt.Errorf("%s is a certificate for %s %q, expected one for instance %q",
			i.cfg.Keys.Cert, role, name, i.cfg.Name)
	}
	return certificates, nil
}

// readLocalConfig reads this instance's own settings and checks its routing rules. The fronts run them until
// the group has agreed on a configuration.
func (i *Instance) readLocalConfig(cfg *platform.Config) error {
	local, err := cfg.Settings.Balancer()
	if err != nil {
		return err
	}
	i.names = routing.KnownNames{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
	for _, c := range local.Classes {
		i.names.Classes = append(i.names.Classes, c.Name)
	}
	for _, t := range local.Tenants {
		i.names.Tenants = append(i.names.Tenants, t.Name)
	}
	routes := &routeRules{names: i.names, file: i.cfg.Front.Routes, log: i.log}
	if _, err := routes.localTable(); err != nil {
		return err
	}
	i.admission = newAdmission(i.env)
	i.configurator = newConfigurator(i.env, i.cfg, local, routes, i.admission)
	return nil
}

// openRunner opens the consensus module and its data directory.
func (i *Instance) openRunner() error {
	wall, err := i.cfg.wallClock()
	if err != nil {
		return i.cfg.errorAt("test.clock", "%v", err)
	}
	if i.zones, err = i.cfg.zoneRules(); err != nil {
		return i.cfg.errorAt("test.zones", "%v", err)
	}
	i.env.runner, err = consensus.Open(consensus.RunnerConfig{
		Config: consensus.Config{Rules: DocumentRules(), Logger: i.env.component("consensus"),
			WallClock: wall, Zones: i.zones, Labels: i.cfg.labels(i.zone()),
			TickInterval: time.Duration(i.cfg.Peers.Tick)},
		Name:           i.cfg.Name,
		Dir:            filepath.Join(i.cfg.Data, "agreement"),
		Transport:      i.env.network,
		OnRevision:     i.configurator.revisionCommitted,
		OnStage:        i.configurator.changeProposed,
		OnPermit:       i.admission.permitChanged,
		OnClusterView:  i.configurator.clusterChanged,
		OnNotification: i.dispatchNotification})
	if err != nil {
		return err
	}
	i.onStop("the consensus module", i.env.runner.Stop)
	i.env.network.AttachRunner(i.env.runner)
	return nil
}

func (i *Instance) openAudit() error {
	if i.cfg.AuditLog == "" {
		return nil
	}
	audit, err := openAuditLog(i.cfg.AuditLog)
	if err != nil {
		return i.cfg.errorAt("audit", "%v", err)
	}
	i.env.audit = audit
	i.onStop("the audit log", audit.close)
	audit.write("start %s", i.cfg.Name)
	return nil
}

// instanceProcs is an instance's GOMAXPROCS: one for the loop, one for all other goroutines.
const instanceProcs = 2

func (i *Instance) openNode(platformConfig *platform.Config, faktoryConfig *faktory.Config) (err error) {
	i.env.node, err = New(Options{Platform: platformConfig, Faktory: faktoryConfig, Log: i.log,
		MaxProcs: instanceProcs, Admission: i.admission})
	return err
}

// createDrivers creates the drivers, which need the node and the runner.
func (i *Instance) createDrivers() {
	i.rateLimit = newRateLimitDriver(i.env, i.names)
	i.schedule = newScheduleDriver(i.env, i.names, i.zones)
	i.membership = newMembershipDriver(i.env)
	i.outliers = newOutlierDriver(i.env)
	slowStart, subset := newSlowStartDriver(i.env), newSubsetDriver(i.env)
	i.configurator.drivers = driverSet{i.rateLimit, i.schedule, slowStart, subset, i.outliers, i.membership}
	i.admission.rateLimit, i.admission.slowStart = i.rateLimit, slowStart
	for k := range i.env.node.brokers {
		i.env.node.brokers[k].OnListUpdate(subset.choose)
	}
	i.restart = newSelfRestart(i.env, i.cfg.LeasedTasks.Restart)
	i.listServer, i.listFollower = newListServer(i.env), newListFollower(i.env)
	i.tasks = newTaskDriver(i.env, map[string]taskFunc{
		leasedtask.BackupTask:         newBackupTask(i.env, i.cfg.LeasedTasks.Backups).run,
		leasedtask.RollingRestartTask: newRestartTask(i.env).run,
		leasedtask.EndpointListTask:   i.listServer.runTask,
	})
}

// applyCommitted configures the fronts with the last committed revision, or with this instance's own routing
// rules. They admit nothing under it until the group has confirmed that it is still in force.
func (i *Instance) applyCommitted() error {
	if r, ok := i.env.runner.CommittedRevision(); ok {
		i.configurator.apply(r, i.env.node.configure)
		return nil
	}
	return i.configurator.reloadRoutes()
}

// connectTransport registers the drivers' handlers for messages from other instances.
func (i *Instance) connectTransport() {
	i.env.network.HandleDescribe(i.describeFronts)
	i.env.network.HandleWatchEndpointLists(i.listServer.serve)
	i.env.network.HandleRateMessages(i.rateLimit.receive)
	i.env.network.HandleOutlierReports(i.outliers.receive)
	i.env.network.HandleMembershipMessages(i.membership.receive)
}

// connectNode registers the drivers' handlers for the node's events.
func (i *Instance) connectNode() {
	n := i.env.node
	n.OnShutdown = func() {
		i.schedule.drain()
		go i.tasks.drain()
	}
	n.OnStandby = i.tasks.setStandby
	// The outcomes of the last occurrences are known once the platform's front has drained.
	n.shutdown.after(routing.FrontHTTP, i.schedule.awaitDrained)
	n.OnReload = func() {
		if err := i.configurator.reloadRoutes(); err != nil {
			i.log.WithError(err).Error("routing rules not reloaded")
		}
	}
}

// startServices opens the listeners for other instances and operators, and starts the goroutines.
func (i *Instance) startServices(certificates *keys.Reloader) error {
	l, err := net.Listen("tcp", i.cfg.Peers.Listen)
	if err != nil {
		return fmt.Errorf("listening on peers.listen: %w", err)
	}
	server := i.env.network.Server()
	i.onStop("the peer service", func() error { server.Stop(); _ = l.Close(); return nil })
	i.control = controlapi.New(i, i.env.component("controlapi"))
	i.onStop("the control service", func() error { i.control.Stop(); return nil })
	if err := i.control.ServeSocket(i.cfg.Control.Socket); err != nil {
		return err
	}
	if i.cfg.Control.Listen != "" {
		if err := i.control.ServeTLS(i.cfg.Control.Listen, certificates); err != nil {
			return err
		}
	}
	i.env.runner.Start()
	go server.Serve(l)
	i.onStop("the leased tasks", i.tasks.close)
	go i.tasks.run()
	i.onStop("the endpoint list follower", i.listFollower.close)
	i.listFollower.start()
	return nil
}

// zone returns this instance's zone, or an empty string if its settings name no zones.
func (i *Instance) zone() string {
	zones, own := i.names.Zones, i.configurator.local.Zone
	if own >= len(zones) {
		return ""
	}
	return zones[own]
}
