// Package discovery decides how the list of workers is kept fresh: how often discovery is polled, when a
// silent watch is restarted, and whether a list that arrives is accepted. It has no clock and no socket; its
// values belong to the caller's goroutine.
//
// How old a list may get follows from the settings alone. Where an agent on the node's own machine has the
// list, it answers at once and at no cost, and the node is held to what the agent has: so it is polled,
// beside the watch, several times within the grace period of a drain. Elsewhere each poll costs discovery
// work, and the node is held to what it was sent: it watches, and restarts a silent watch.
package discovery

import (
	"fmt"
	"time"
)

// watchHeartbeat is how often a watch sends something at least, by discovery's protocol.
const watchHeartbeat = 2 * time.Second

// A silent watch is restarted between these times, without a local agent. What it has missed counts as known
// 6 s after the silence began, by discovery's protocol, and a poll takes its time too; a single heartbeat
// that is late is no silence.
const (
	minWatchTimeout = 3 * time.Second
	maxWatchTimeout = 4500 * time.Millisecond
)

// pollsPerGrace is how often a local agent is polled within the grace period of a drain: two polls in a row
// may be lost, and the third still brings the drain in time.
const pollsPerGrace = 4

// The bounds of the time between two polls of a local agent.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// RefreshPolicy is how lists arrive, by the settings.
type RefreshPolicy struct {
	// LocalAgent is that an agent on the node's machine has the list, and what it has counts as known.
	LocalAgent bool
	// DrainGrace is how long new jobs may go to a worker that is known to be draining.
	DrainGrace time.Duration
	NodeIndex  int // of this node, from 0
	FleetSize  int // nodes
}

// WatchTimeout is how long a watch may be silent before it is restarted.
//
// Hazard: if all watches became silent at one moment, all nodes would call at one moment. Each node has its
// own timeout, by its index.
func (p RefreshPolicy) WatchTimeout() time.Duration {
	if p.LocalAgent {
		return watchHeartbeat + p.PollInterval() // a restart costs nothing
	}
	spread := maxWatchTimeout - minWatchTimeout
	return minWatchTimeout + spread*time.Duration(p.NodeIndex)/time.Duration(max(p.FleetSize, 1))
}

// PollInterval is the time between two polls of the complete list, beside the watch; 0: there are none.
func (p RefreshPolicy) PollInterval() time.Duration {
	if !p.LocalAgent {
		return 0
	}
	return min(max(p.DrainGrace/pollsPerGrace, minPollInterval), maxPollInterval)
}

// PollTimeout is how long a poll may take. Polls do not wait for each other, so that the answer of a slow
// agent is still received.
func (p RefreshPolicy) PollTimeout() time.Duration {
	if p.LocalAgent {
		return pollsPerGrace * p.PollInterval()
	}
	return maxWatchTimeout
}

// StaleListError is that a list is of an older generation than one that was accepted before.
type StaleListError struct{ Generation, Newest int64 }

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("stale endpoint list: generation %d, the newest is %d", e.Generation, e.Newest)
}

// GenerationTracker decides which lists are accepted, by their generations.
type GenerationTracker struct {
	Generation int64 // of the list that was accepted last
	// rejectedOlder is that an older list was rejected, at rejectedAt, and none as new has arrived since.
	rejectedOlder bool
	rejectedAt    time.Duration
}

// Accept takes a list's generation, and when its call began. It returns a *StaleListError if the list must be
// dropped.
//
// Hazard: several calls are open, and a slow one may answer that a worker serves which is draining by now. So
// an older list is rejected. But discovery itself may have been restored, from a backup for instance: a call
// that began after an older list was rejected, and returns an older one too, is accepted.
func (t *GenerationTracker) Accept(now, began time.Duration, generation int64) error {
	if generation >= t.Generation || t.rejectedOlder && began > t.rejectedAt {
		t.Generation, t.rejectedOlder = generation, false
		return nil
	}
	if !t.rejectedOlder {
		t.rejectedOlder, t.rejectedAt = true, now
	}
	return &StaleListError{Generation: generation, Newest: t.Generation}
}

// Reset is that discovery is at another address from now on, which counts its own generations.
func (t *GenerationTracker) Reset(now time.Duration) { t.rejectedOlder, t.rejectedAt = true, now-1 }
