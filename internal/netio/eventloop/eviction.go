package eventloop

import (
	"slices"
	"time"
)

// evictionReason is the resource for which a connection is evicted.
type evictionReason uint8

const (
	// evictForConnection frees a connection or buffer space within the listener's limits.
	evictForConnection evictionReason = iota
	// evictForDescriptor frees a file descriptor. It spares connections whose first message is unread or may
	// still be on its way.
	evictForDescriptor
)

// newConnGrace is how long a new connection is protected while its first request may be on its way. Without
// it, a client whose connections are all evicted before their request arrives would never be served.
const newConnGrace = 100 * time.Millisecond

// evictionCandidate returns the connection to evict next: among those of the lowest state, the one that has
// been idle longest. It returns nil if none may be evicted.
//
// Without eviction, peers that open connections and send nothing, or stay connected after one request, would
// lock out clients and the call-backs of workers.
func (ln *Listener) evictionCandidate(except *Conn, reason evictionReason) (candidate *Conn) {
	now := ln.loop.Now()
	for _, s := range ln.loop.sources.All {
		c, ok := s.(*Conn)
		if ok && c.listener == ln && c != except && (candidate == nil || c.evictedBefore(candidate)) &&
			c.evictable(now, reason) {
			candidate = c
		}
	}
	if reason == evictForDescriptor && candidate != nil && candidate.state == stateNew &&
		now-candidate.messageStart < newConnGrace {
		// Its first message may be on its way. Connections that have sent a message are not evicted in its
		// place either.
		return nil
	}
	return candidate
}

// evictedBefore reports whether c is evicted before other.
func (c *Conn) evictedBefore(other *Conn) bool {
	if c.state != other.state {
		return c.state < other.state
	}
	return c.lastActivity < other.lastActivity
}

// evictable reports whether c may be evicted for the given reason.
func (c *Conn) evictable(now time.Duration, reason evictionReason) bool {
	if c.UnsentBytes() > 0 && now-c.lastActivity < maxMessageTime {
		return false // a response is being sent
	}
	switch c.state {
	case stateNew:
		return reason == evictForConnection || !c.HasUnreadInput()
	case stateIdle:
		return !c.HasPendingInput() // a request that has arrived must not be lost unread
	case stateProcessing:
		return false
	}
	return true
}

// evictOne evicts one connection other than except, and reports whether there was one to evict.
func (ln *Listener) evictOne(except *Conn, reason evictionReason) bool {
	c := ln.evictionCandidate(except, reason)
	if c != nil {
		c.terminate(errEvicted)
	}
	return c != nil
}

// freeDescriptor evicts one connection of any listener, and reports whether there was one to evict.
func (l *Loop) freeDescriptor(reason evictionReason) bool {
	return slices.ContainsFunc(l.listeners, func(ln *Listener) bool { return ln.evictOne(nil, reason) })
}

// reserveBuffer makes sure that buffers may grow by the given number of bytes, evicting connections other
// than except if needed. It reports whether they may.
func (ln *Listener) reserveBuffer(bytes int, except *Conn) bool {
	for ln.bufferBytes+bytes > ln.limits.MaxBufferBytes {
		if !ln.evictOne(except, evictForConnection) {
			return false
		}
	}
	return true
}
