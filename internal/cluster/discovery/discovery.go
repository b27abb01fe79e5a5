// Package discovery holds the rules that keep the endpoint list up to date: how often discovery is polled,
// when a silent watch is restarted, and whether a received list is accepted. It uses no clock and no network,
// and its types are not safe for concurrent use.
//
// The maximum age of a list is determined by the settings. If an agent on the node's machine has the list, a
// poll is answered immediately and at no cost, and the node is expected to act on every list that the agent
// has. The agent is therefore polled, in addition to the watch, several times within the grace period of a
// drain. Without an agent, each poll is work for discovery, and the node is expected to act only on the lists
// that it was sent. It then only watches, and restarts a silent watch.
package discovery

import (
	"fmt"
	"time"
)

// watchHeartbeat is the longest time between two messages of a watch in discovery's protocol.
const watchHeartbeat = 2 * time.Second

// The bounds of the watch timeout without a local agent. By discovery's protocol, a node is expected to know
// an update that a silent watch has missed 6 s after the silence began. The upper bound leaves time for a
// poll within that. The lower bound tolerates a single late heartbeat.
const (
	minWatchTimeout = 3 * time.Second
	maxWatchTimeout = 4500 * time.Millisecond
)

// WatchCurrentTime is how long after its last message a watch may be taken to show the current list. It
// allows for a heartbeat that is late.
const WatchCurrentTime = watchHeartbeat + 500*time.Millisecond

// pollsPerDrainGrace is the number of polls of a local agent within the grace period of a drain. Two polls in
// a row may be lost, and the third still reports the drain in time.
const pollsPerDrainGrace = 4

// The bounds of the interval between two polls of a local agent.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// RefreshPolicy holds the settings that determine how a node refreshes its endpoint list.
type RefreshPolicy struct {
	// LocalAgent is true if an agent on the node's machine has the list, and the node is expected to know
	// every list that the agent has.
	LocalAgent bool
	// DrainGrace is how long new jobs may still be sent to a worker that is known to be draining.
	DrainGrace time.Duration
	NodeIndex  int // index of this node, from 0
	FleetSize  int // number of nodes
}

// WatchTimeout returns how long a watch may be silent before it is restarted.
//
// Without a local agent, the timeout differs by node index. With equal timeouts, all nodes would call
// discovery at the same time after all watches became silent at once.
func (p RefreshPolicy) WatchTimeout() time.Duration {
	if p.LocalAgent {
		return watchHeartbeat + p.PollInterval() // restarting a watch of a local agent costs nothing
	}
	spread := maxWatchTimeout - minWatchTimeout
	return minWatchTimeout + spread*time.Duration(p.NodeIndex)/time.Duration(max(p.FleetSize, 1))
}

// PollInterval returns the time between two polls of the complete list in addition to the watch, or 0 if the
// list is only watched.
func (p RefreshPolicy) PollInterval() time.Duration {
	if !p.LocalAgent {
		return 0
	}
	return min(max(p.DrainGrace/pollsPerDrainGrace, minPollInterval), maxPollInterval)
}

// PollTimeout returns how long a poll may take. Polls may overlap, so that the answer of a slow agent is
// still received.
func (p RefreshPolicy) PollTimeout() time.Duration {
	if p.LocalAgent {
		return pollsPerDrainGrace * p.PollInterval()
	}
	return maxWatchTimeout
}

// StaleListError reports a list with an older generation than the list accepted last.
type StaleListError struct{ Generation, Newest int64 }

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("stale endpoint list: generation %d, the newest is %d", e.Generation, e.Newest)
}

// GenerationTracker decides by their generations which lists are accepted.
type GenerationTracker struct {
	Generation int64 // generation of the list accepted last
	// rejectedOlder is true if an older list was rejected, at rejectedAt, and no list was accepted since.
	rejectedOlder bool
	rejectedAt    time.Duration
}

// Accept decides whether a list of the given generation, returned by a call that started at startedAt, is
// accepted. It returns a *StaleListError if the list must be dropped.
//
// Calls overlap, and a slow one may return a list that shows a worker as serving although it is draining by
// now. Older lists are therefore rejected. However, discovery may have been restored, for example from a
// backup, and then counts from a lower generation. So an older list is accepted if its call started after
// another older list was rejected.
func (t *GenerationTracker) Accept(now, startedAt time.Duration, generation int64) error {
	if generation >= t.Generation || t.rejectedOlder && startedAt > t.rejectedAt {
		t.Generation, t.rejectedOlder = generation, false
		return nil
	}
	if !t.rejectedOlder {
		t.rejectedOlder, t.rejectedAt = true, now
	}
	return &StaleListError{Generation: generation, Newest: t.Generation}
}

// AcceptRelayed decides whether a list that another node relays is accepted. It returns a *StaleListError if
// the list must be dropped.
//
// The relaying node may have a list that is older than the one that this node got from discovery itself. A
// lower generation never counts as that of a restored discovery here: only a call to discovery can show that.
func (t *GenerationTracker) AcceptRelayed(generation int64) error {
	if generation < t.Generation {
		return &StaleListError{Generation: generation, Newest: t.Generation}
	}
	t.Generation, t.rejectedOlder = generation, false
	return nil
}

// Reset makes the next list acceptable regardless of its generation, if its call starts at or after now. It
// must be called when the address of discovery changes, because each discovery service counts its own
// generations.
func (t *GenerationTracker) Reset(now time.Duration) { t.rejectedOlder, t.rejectedAt = true, now-1 }
