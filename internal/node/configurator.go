package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
)

// configurator applies the revisions that the group agrees on to this instance's fronts and drivers. Once the
// node runs, the goroutine of run does this.
type configurator struct {
	env       *environment
	cfg       *ServeConfig
	local     balancer.Settings // from this instance's platform file
	routes    *routeRules
	drivers   driverSet
	admission *admission
	committed chan clusterstate.Revision // to be applied; only the newest counts
	proposed  chan clusterstate.Revision // to be staged; only the newest counts

	mu      sync.Mutex
	running uint64 // the revision that the fronts run; 0: no agreed revision
	current clusterstate.Revision
	problem string // why the fronts don't run the revision in force
	staged  stagedChange
}

// stagedChange is a change that is ready to be applied.
type stagedChange struct {
	id     string // the change's id; empty: nothing is staged
	config RuntimeConfig
}

func newConfigurator(env *environment, cfg *ServeConfig, local balancer.Settings, routes *routeRules,
	a *admission) *configurator {
	return &configurator{env: env, cfg: cfg, local: local, routes: routes, admission: a,
		committed: make(chan clusterstate.Revision, 1), proposed: make(chan clusterstate.Revision, 1)}
}

// revisionCommitted queues a revision that comes into force, and changeProposed a change to be staged. They
// are called on the runner's goroutine and never block.
func (c *configurator) revisionCommitted(r clusterstate.Revision) { sendNewest(c.committed, r) }
func (c *configurator) changeProposed(r clusterstate.Revision)    { sendNewest(c.proposed, r) }

// clusterChanged passes a new view of the group's sessions to the drivers. It is called on the runner's
// goroutine.
func (c *configurator) clusterChanged(v consensus.ClusterView) { c.drivers.ClusterChanged(v) }

// sendNewest sends a revision without blocking, in place of one that has not been received yet. The
// channel's capacity is 1.
func sendNewest(ch chan clusterstate.Revision, r clusterstate.Revision) {
	for {
		select {
		case ch <- r:
			return
		default:
		}
		select {
		case <-ch: // discard an older revision
		default:
		}
	}
}

// run stages and applies revisions until the context ends.
func (c *configurator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.proposed:
			c.stage(r)
		case r := <-c.committed:
			c.apply(r, c.env.node.Configure)
		}
	}
}

// stage prepares a change, so that applying it takes one turn of the loop, and reports to the group whether
// this instance can run it.
func (c *configurator) stage(r clusterstate.Revision) {
	c.env.audit.write("staging %s", r.ChangeID)
	entry := c.env.log.WithFields(logrus.Fields{"revision": r.Number, "change": r.ChangeID})
	config, err := c.check(r.Document)
	if err != nil {
		entry.WithError(err).Warn("change can't be staged")
		c.env.runner.ReportStaged(r.ChangeID, []string{err.Error()})
		return
	}
	c.mu.Lock()
	c.staged = stagedChange{r.ChangeID, config}
	c.mu.Unlock()
	entry.Info("change staged")
	c.env.audit.write("staged %s", r.ChangeID)
	c.env.runner.ReportStaged(r.ChangeID, nil)
}

// check returns the node's configuration for a document, or why this instance can't run the document.
func (c *configurator) check(d *clusterstate.Document) (RuntimeConfig, error) {
	config, err := c.runtimeConfig(d)
	if err != nil {
		return config, err
	}
	if err := c.checkLeases(d); err != nil {
		return config, err
	}
	if err := c.drivers.Supports(d); err != nil {
		return config, err
	}
	return config, c.env.node.ValidateConfig(config)
}

// checkLeases reports why the leases of a document can't be kept with this instance's tick interval.
func (c *configurator) checkLeases(d *clusterstate.Document) error {
	p, _ := rollout.ParsePolicy(d.Sections[rollout.Section])
	if err := p.CheckTick(time.Duration(c.cfg.Peers.Tick)); err != nil {
		return c.cfg.errorAt("peers.tick", "%v", err)
	}
	return nil
}

// runtimeConfig combines a document with this instance's own settings and routing rules.
func (c *configurator) runtimeConfig(d *clusterstate.Document) (config RuntimeConfig, err error) {
	if config.Settings, err = d.ApplyTo(c.local); err != nil {
		return config, fmt.Errorf("%s: %w", c.cfg.Front.Platform, err)
	}
	config.Routes, err = c.routes.tableFor(d)
	return config, err
}

// apply applies a revision with configure, which is Node.configure before the loop runs and Node.Configure,
// which waits for the loop, afterwards.
func (c *configurator) apply(r clusterstate.Revision, configure func(RuntimeConfig) error) {
	err := c.configure(r, configure)
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.env.log.WithField("revision", r.Number)
	if err != nil {
		// This happens only if local files have changed since the change was staged. The fronts admit
		// nothing more, because what they run is not in force.
		c.problem = fmt.Sprintf("revision %d: %v", r.Number, err)
		entry.WithError(err).Error("configuration can't be applied")
		return
	}
	if r.Number < c.running {
		return
	}
	c.running, c.current, c.problem = r.Number, r, ""
	c.env.runner.ReportRunningRevision(r.Number)
	entry.Info("configuration applied")
}

func (c *configurator) configure(r clusterstate.Revision, configure func(RuntimeConfig) error) error {
	config, ok := c.popStaged(r.ChangeID)
	if !ok {
		var err error
		if config, err = c.runtimeConfig(r.Document); err != nil {
			return err
		}
	}
	change := c.drivers.Prepare(r.Document, config.Settings)
	config.OnApplied = func() {
		change.Apply()
		c.admission.setRunning(r.Number)
	}
	return configure(config)
}

// popStaged returns the configuration staged for a change. It discards the staged change in any case.
func (c *configurator) popStaged(change string) (RuntimeConfig, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	staged := c.staged
	c.staged = stagedChange{}
	return staged.config, change != "" && staged.id == change
}

// status returns the revision that the fronts run, and why they don't run the one in force.
func (c *configurator) status() (running uint64, problem string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.problem
}

// reloadRoutes reloads this instance's own routing rules, unless the group has agreed on rules. It is called
// on the node's loop, or before the loop runs.
func (c *configurator) reloadRoutes() error {
	if c.hasAgreedRoutes() {
		return nil
	}
	t, err := c.routes.localTable()
	if err != nil {
		return err
	}
	for k := range c.env.node.brokers {
		c.env.node.brokers[k].applyRoutes(t)
	}
	c.env.log.Info("routing rules loaded")
	return nil
}

func (c *configurator) hasAgreedRoutes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == 0 {
		return false
	}
	_, ok := c.current.Document.Sections[RoutesSection]
	return ok
}
