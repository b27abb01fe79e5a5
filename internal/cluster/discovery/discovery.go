// Package roster decides how the list of workers is kept fresh: how often discovery is asked, when a
// watch is taken for dead, and whether a list that has come is taken. It is values in, values out: no
// clock, no socket.
//
// How old a list may get follows from the settings alone. Where lists are asked for, a call costs
// discovery work, and a node is held to what it was told: it watches, and begins anew when the watch
// has been silent. Where they are pushed, an agent on the node's own machine has the list, answers at
// once and at no cost, and what it has counts as told: so it is asked, beside the watch, several times
// within the grace that a drain has.
package discovery

import (
	"fmt"
	"time"
)

const (
	// watchHeartbeat is how often a watch says at least that nothing has changed.
	watchHeartbeat = 2 * time.Second
	// minWatchTimeout and latest are when an asked watch that is silent is begun anew. What it missed counts
	// as told 6 s after the silence began, and asking takes its time too; a beat that comes late is none.
	minWatchTimeout = 3 * time.Second
	maxWatchTimeout = 4500 * time.Millisecond
	// pollsPerGrace is how many times within the grace of a drain the agent is asked: a call may be lost, and
	// the next one too, and the third still tells of the drain in time.
	pollsPerGrace = 4
	// minPollInterval and most bound the time between two calls of the agent.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// RefreshPolicy say how lists come, as the settings have it.
type RefreshPolicy struct {
	// an agent beside the node has the list, and what it has counts as told
	LocalAgent           bool
	DrainGrace           time.Duration // how long new work may go to a worker that is told as draining
	NodeIndex, FleetSize int           // this node's number among so many
}

// WatchTimeout is how long a watch may say nothing before it is begun anew.
//
// Hazard: all watches fall silent in one moment, and all nodes call in one moment. Each has its own
// time, by its number.
func (r RefreshPolicy) WatchTimeout() time.Duration {
	if r.LocalAgent {
		return watchHeartbeat + r.PollInterval() // to begin anew costs nobody anything
	}
	return minWatchTimeout + (maxWatchTimeout-minWatchTimeout)*time.Duration(
		r.NodeIndex,
	)/time.Duration(
		max(r.FleetSize, 1),
	)
}

// PollInterval is the time between two calls for the whole list, beside the watch; 0: there are none.
func (r RefreshPolicy) PollInterval() time.Duration {
	if !r.LocalAgent {
		return 0
	}
	return min(max(r.DrainGrace/pollsPerGrace, minPollInterval), maxPollInterval)
}

// PollTimeout is how long a call may take. An agent that is slow is still heard: the next calls do not wait
// for the ones before.
func (r RefreshPolicy) PollTimeout() time.Duration {
	if r.LocalAgent {
		return pollsPerGrace * r.PollInterval()
	}
	return maxWatchTimeout
}

// StaleListError says that a list is of an older generation than the one that was told before it.
type StaleListError struct{ Generation, Newest int64 }

// Error implements error.
func (o *StaleListError) Error() string {
	return fmt.Sprintf("discovery's list is of generation %d, and %d was told before", o.Generation, o.Newest)
}

// GenerationTracker is what has been told so far.
type GenerationTracker struct {
	Generation    int64
	rejectedOlder bool          // an older list was, and none as new as ours has come since
	rejectedAt    time.Duration // when that was
}

// Accept says whether a list of that generation, in a call that began then, is taken.
//
// Hazard: several calls are out, and one that was slow tells of a worker that drains that it serves. So
// an older list changes nothing. But discovery may have been set back itself, to a backup say: a call
// that began after an older list was refused, and tells one too, is believed.
func (t *GenerationTracker) Accept(now, began time.Duration, generation int64) error {
	if generation >= t.Generation {
		t.Generation, t.rejectedOlder = generation, false
		return nil
	}
	if t.rejectedOlder && began > t.rejectedAt {
		t.Generation, t.rejectedOlder = generation, false
		return nil
	}
	if !t.rejectedOlder {
		t.rejectedOlder, t.rejectedAt = true, now
	}
	return &StaleListError{Generation: generation, Newest: t.Generation}
}

// Reset says that discovery is at another place from now on, whose generations are its own.
func (t *GenerationTracker) Reset(now time.Duration) { t.rejectedOlder, t.rejectedAt = true, now-1 }
