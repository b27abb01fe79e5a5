package node

import (
	"fmt"

	"moorstack/balancer"
	"moorstack/internal/proxy/routing"
)

// RuntimeConfig is the configuration that a running node can apply: the classes and tenants of settings, and
// the routing rules.
type RuntimeConfig struct {
	Settings  balancer.Settings
	Routes    *routing.Table // nil: the balancer chooses among all endpoints
	OnApplied func()         // called on the loop, in the turn in which they are applied; may be nil
}

// Configure applies a configuration to all brokers and fronts in one turn of the loop, and waits until that
// is done. If a broker can't apply it, Configure returns an error and changes nothing. It may be called from
// any goroutine but the loop's.
func (n *Node) Configure(c RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.configure(c) })
	return <-done
}

// ValidateConfig reports why Configure would fail, and changes nothing. It may be called from any goroutine
// but the loop's.
func (n *Node) ValidateConfig(c RuntimeConfig) error {
	done := make(chan error, 1)
	n.loop.Post(func() { done <- n.validateConfig(c) })
	return <-done
}

// validateConfig is ValidateConfig for callers on the loop, or before the loop runs.
func (n *Node) validateConfig(cfg RuntimeConfig) error {
	for _, b := range n.brokers {
		if err := b.CanConfigure(b.adaptSettings(cfg.Settings)); err != nil {
			return fmt.Errorf("the settings can't be taken over: %w", err)
		}
	}
	return nil
}

// configure is Configure for callers on the loop, or before the loop runs.
func (n *Node) configure(cfg RuntimeConfig) error {
	if err := n.validateConfig(cfg); err != nil {
		return err
	}
	for i := range n.brokers {
		b := &n.brokers[i]
		settings := b.adaptSettings(cfg.Settings)
		b.Configure(settings)
		if b.configureFront != nil {
			b.configureFront(settings)
		}
		b.applyRoutes(cfg.Routes)
	}
	if cfg.OnApplied != nil {
		cfg.OnApplied()
	}
	return nil
}
