package eventloop

import (
	"slices"
	"time"
)

// evictionReason is what a connection is evicted for.
type evictionReason uint8

const (
	// evictForConnection: another connection, or a buffer, takes its room.
	evictForConnection evictionReason = iota
	// evictForDescriptor: descriptors have run out. A first message that is unread, or on its way, is spared.
	evictForDescriptor
)

// newConnGrace is how long a connection counts as just opened. Hazard: a client whose every connection is
// evicted before its request comes is never served.
const newConnGrace = 100 * time.Millisecond

// evictionCandidate returns the connection to evict first: of the lowest state, the one that has been quiet
// longest. It is nil if all are being processed, or spared.
//
// Hazard: those who open connections and send nothing, or send one request and stay, keep out clients and
// the call-backs of workers.
func (ln *Listener) evictionCandidate(except *Conn, reason evictionReason) (first *Conn) {
	now := ln.loop.Now()
	for _, s := range ln.loop.sources.All {
		c, ok := s.(*Conn)
		if ok && c.listener == ln && c != except && (first == nil || c.evictedBefore(first)) &&
			c.evictable(now, reason) {
			first = c
		}
	}
	if reason == evictForDescriptor && first != nil && first.state == stateNew &&
		now-first.messageStart < newConnGrace {
		return nil // its first message is on its way; nor is one evicted for it that has sent a message
	}
	return first
}

// evictedBefore reports whether a connection is evicted before another.
func (c *Conn) evictedBefore(other *Conn) bool {
	if c.state != other.state {
		return c.state < other.state
	}
	return c.lastActivity < other.lastActivity
}

// evictable reports whether a connection may be evicted.
func (c *Conn) evictable(now time.Duration, reason evictionReason) bool {
	if c.UnsentBytes() > 0 && now-c.lastActivity < maxMessageTime {
		return false // a response is on its way
	}
	switch c.state {
	case stateNew:
		return reason == evictForConnection || !c.HasUnreadInput()
	case stateIdle:
		return !c.HasPendingInput() // hazard: a request that has come, and would be lost unread
	case stateProcessing:
		return false
	}
	return true
}

// evictOne evicts one connection and reports whether there was one to evict.
func (ln *Listener) evictOne(except *Conn, reason evictionReason) bool {
	c := ln.evictionCandidate(except, reason)
	if c != nil {
		c.terminate(errEvicted)
	}
	return c != nil
}

// freeDescriptor evicts a connection of any listener, and reports whether there was one to evict.
func (l *Loop) freeDescriptor(reason evictionReason) bool {
	return slices.ContainsFunc(l.listeners, func(ln *Listener) bool { return ln.evictOne(nil, reason) })
}

// reserveBuffer makes room for that many more bytes of buffers, by evicting connections if need be.
func (ln *Listener) reserveBuffer(bytes int, except *Conn) bool {
	for ln.bufferBytes+bytes > ln.limits.MaxBufferBytes {
		if !ln.evictOne(except, evictForConnection) {
			return false
		}
	}
	return true
}
