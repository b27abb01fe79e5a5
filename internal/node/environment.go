package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/transport"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/schema"
)

// environment holds what an instance's drivers share. It is filled while the instance opens, before the loop
// and the runner start, and does not change after that.
type environment struct {
	name    string // the instance's name
	log     logrus.FieldLogger
	audit   *auditLog
	node    *Node
	runner  *consensus.Runner
	network *transport.Network
}

// component returns the log of one component of the instance.
func (e *environment) component(name string) logrus.FieldLogger {
	return e.log.WithField("component", name)
}

// loop returns the node's event loop.
func (e *environment) loop() *eventloop.Loop { return e.node.loop }

// member looks up a member of the group by its id.
func (e *environment) member(id uint64) (clusterstate.Member, bool) {
	for _, m := range e.runner.Status().Members {
		if m.ID == id {
			return m.Member, true
		}
	}
	return clusterstate.Member{}, false
}

// memberName returns a member's name for log lines.
func (e *environment) memberName(id uint64) string {
	if m, ok := e.member(id); ok {
		return m.Name
	}
	return "a removed member"
}

// sendSession sends a message to a member. A message to an unknown member is dropped, and so is one that the
// transport's queue has no room for: senders repeat important messages.
func (e *environment) sendSession(to uint64, m *schema.SessionMessage) {
	if member, ok := e.member(to); ok {
		e.network.SendSession(member, m)
	}
}

// onLoop runs f on the node's loop and waits until f has run or the context has ended. In the second case f
// may still run later.
func (e *environment) onLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	e.loop().Post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
