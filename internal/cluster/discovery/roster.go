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
	// beat is how often a watch says at least that nothing has changed.
	beat = 2 * time.Second
	// soonest and latest are when an asked watch that is silent is begun anew. What it missed counts as
	// told 6 s after the silence began, and asking takes its time too; a beat that comes late is none.
	soonest = 3 * time.Second
	latest  = 4500 * time.Millisecond
	// asks is how many times within the grace of a drain the agent is asked: a call may be lost, and
	// the next one too, and the third still tells of the drain in time.
	asks = 4
	// least and most bound the time between two calls of the agent.
	least = 50 * time.Millisecond
	most  = time.Second
)

// Rules say how lists come, as the settings have it.
type Rules struct {
	Pushed    bool          // an agent beside the node has the list, and what it has counts as told
	Grace     time.Duration // how long new work may go to a worker that is told as draining
	Me, Fleet int           // this node's number among so many
}

// Silence is how long a watch may say nothing before it is begun anew.
//
// Hazard: all watches fall silent in one moment, and all nodes call in one moment. Each has its own
// time, by its number.
func (r Rules) Silence() time.Duration {
	if r.Pushed {
		return beat + r.Every() // to begin anew costs nobody anything
	}
	return soonest + (latest-soonest)*time.Duration(r.Me)/time.Duration(max(r.Fleet, 1))
}

// Every is the time between two calls for the whole list, beside the watch; 0: there are none.
func (r Rules) Every() time.Duration {
	if !r.Pushed {
		return 0
	}
	return min(max(r.Grace/asks, least), most)
}

// Patience is how long a call may take. An agent that is slow is still heard: the next calls do not wait
// for the ones before.
func (r Rules) Patience() time.Duration {
	if r.Pushed {
		return asks * r.Every()
	}
	return latest
}

// Older says that a list is of an older generation than the one that was told before it.
type Older struct{ Generation, Told int64 }

// Error implements error.
func (o *Older) Error() string {
	return fmt.Sprintf("discovery's list is of generation %d, and %d was told before", o.Generation, o.Told)
}

// Told is what has been told so far.
type Told struct {
	Generation int64
	refused    bool          // an older list was, and none as new as ours has come since
	at         time.Duration // when that was
}

// Take says whether a list of that generation, in a call that began then, is taken.
//
// Hazard: several calls are out, and one that was slow tells of a worker that drains that it serves. So
// an older list changes nothing. But discovery may have been set back itself, to a backup say: a call
// that began after an older list was refused, and tells one too, is believed.
func (t *Told) Take(now, began time.Duration, generation int64) error {
	if generation >= t.Generation {
		t.Generation, t.refused = generation, false
		return nil
	}
	if t.refused && began > t.at {
		t.Generation, t.refused = generation, false
		return nil
	}
	if !t.refused {
		t.refused, t.at = true, now
	}
	return &Older{Generation: generation, Told: t.Generation}
}

// Moved says that discovery is at another place from now on, whose generations are its own.
func (t *Told) Moved(now time.Duration) { t.refused, t.at = true, now-1 }
