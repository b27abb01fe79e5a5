package node

import (
	"fmt"

	"moorstack/balancer"
	"moorstack/internal/proxy/routing"
)

// RuntimeConfig is what a running node can take over: the classes and tenants of settings, and the rules by
// which jobs are routed.
type RuntimeConfig struct {
	Settings  balancer.Settings
	Routes    *routing.Table // nil: the balancer chooses among all endpoints
	OnApplied func()         // called on the loop, in the turn that takes them over; may be nil
}

// Configure takes a configuration over, in all brokers and fronts as one whole between two events of the
// loop. It may be called from any goroutine but the loop's, and returns when it is done: with an error if a
// broker can't take it over, and then none has.
func (n *Node) Configure(c RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.configure(c) })
	return <-done
}

// ValidateConfig reports why Configure would fail, and changes nothing. It may be called from any goroutine
// but the loop's.
func (n *Node) ValidateConfig(c RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.checkConfig(c) })
	return <-done
}

// checkConfig is ValidateConfig on the loop, or before that runs.
func (n *Node) checkConfig(cfg RuntimeConfig) error {
	for _, c := range n.brokers {
		if err := c.CanConfigure(c.fit(cfg.Settings)); err != nil {
			return fmt.Errorf("the settings can't be taken over: %w", err)
		}
	}
	return nil
}

// configure is called on the loop, or before that runs.
func (n *Node) configure(cfg RuntimeConfig) error {
	if err := n.checkConfig(cfg); err != nil {
		return err
	}
	for i := range n.brokers {
		c := &n.brokers[i]
		set := c.fit(cfg.Settings)
		c.Configure(set)
		if c.configureFront != nil {
			c.configureFront(set)
		}
		c.route(cfg.Routes)
	}
	if cfg.OnApplied != nil {
		cfg.OnApplied()
	}
	return nil
}
