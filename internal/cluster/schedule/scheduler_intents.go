package schedule

import (
	"container/heap"
	"time"

	"moorstack/internal/cluster/placement"
)

// Limits of one evaluation.
const (
	// maxOccurrencesPerCommand is the number of occurrences at which a command counts as full. A command may
	// exceed it, since a shard is never split between commands.
	maxOccurrencesPerCommand    = 500
	maxOccurrencesPerEvaluation = 20_000
	// maxCatchUpSeconds limits the time span that one evaluation catches up on.
	maxCatchUpSeconds = 6 * 60 * 60
	// maxCountedMissed limits the count of missed occurrences of a trigger; the rest is not counted.
	maxCountedMissed = 10_000
)

// inFlightAdvance is a proposed advance of a shard that is not known to have taken effect.
type inFlightAdvance struct {
	fromVersion uint64
	watermark   int64
	sentAt      time.Duration
}

// intendFirings proposes intents for the occurrences that are due.
func (sc *Scheduler) intendFirings(s *State, in Input) []Command {
	if sc.advanceLost(s, in) {
		// The firings of the lost advance were removed from the queue and must be queued again.
		sc.rebuildQueue(s, in.Session)
		return nil
	}
	ready, deferred := sc.popDue(in.ClusterTime)
	upTo := sc.evaluationEnd(ready, in.ClusterTime)
	due := map[int][]DueOccurrence{} // by shard
	for _, x := range ready {
		t := &sc.policy.Triggers[x.trigger]
		// An advance that was believed lost may have advanced the shard after the queue was built.
		if through := s.intendedThrough(t); x.occurrence.At <= through {
			var ok bool
			if x, ok = sc.nextFiring(x.trigger, through); !ok {
				continue
			}
		}
		if x.fireAt > upTo {
			deferred = append(deferred, x)
			continue
		}
		shard := placement.ShardOf(t.Name)
		due[shard] = append(due[shard], sc.dueOccurrences(x, upTo, in)...)
		if next, ok := sc.nextFiring(x.trigger, max(x.occurrence.At, upTo-t.jitterSeconds())); ok {
			deferred = append(deferred, next)
		}
	}
	for _, x := range deferred {
		heap.Push(&sc.queue, x)
	}
	return sc.proposeAdvances(s, in, due, upTo)
}

// advanceLost removes the advances in flight that have taken effect and reports whether any was lost or
// rejected.
func (sc *Scheduler) advanceLost(s *State, in Input) bool {
	for shard, a := range sc.inFlight {
		switch progress := s.Shards[shard]; {
		// Both fields are compared: an earlier advance that was believed lost may have advanced the shard to
		// the same version but to a lower watermark.
		case progress == ShardProgress{a.fromVersion + 1, a.watermark}:
			delete(sc.inFlight, shard)
		case progress.Version != a.fromVersion || in.Now-a.sentAt > in.LeaseDuration:
			return true
		}
	}
	return false
}

// popDue removes the due firings from the queue. Firings of shards with an advance in flight are returned as
// deferred, the others as ready.
func (sc *Scheduler) popDue(clusterTime int64) (ready, deferred []queuedFiring) {
	for len(sc.queue) > 0 && sc.queue[0].fireAt <= clusterTime {
		// The watermark is an instant, so firings at the same instant must not be split between evaluations.
		if n := len(ready); n >= maxOccurrencesPerEvaluation && sc.queue[0].fireAt > ready[n-1].fireAt {
			break
		}
		x := heap.Pop(&sc.queue).(queuedFiring)
		shard := placement.ShardOf(sc.policy.Triggers[x.trigger].Name)
		if _, inFlight := sc.inFlight[shard]; inFlight {
			deferred = append(deferred, x)
			continue
		}
		ready = append(ready, x)
	}
	return ready, deferred
}

// evaluationEnd returns the watermark to which this evaluation advances the shards.
func (sc *Scheduler) evaluationEnd(ready []queuedFiring, clusterTime int64) int64 {
	upTo, n := clusterTime, len(ready)
	if n >= maxOccurrencesPerEvaluation && len(sc.queue) > 0 && sc.queue[0].fireAt <= clusterTime {
		upTo = ready[n-1].fireAt
	}
	if n > 0 {
		upTo = min(upTo, ready[0].fireAt+maxCatchUpSeconds)
	}
	return upTo
}

// dueOccurrences returns a trigger's due occurrences, from the given firing up to the firing time upTo.
// Missed occurrences are only counted.
func (sc *Scheduler) dueOccurrences(x queuedFiring, upTo int64, in Input) []DueOccurrence {
	t := &sc.policy.Triggers[x.trigger]
	jitter := t.jitterSeconds()
	// If the cluster time jumps forward, the occurrences in between could not have been fired earlier, and
	// so are not late.
	lateThrough := in.ClusterTime
	if sc.lastEvaluated > 0 && in.Now-sc.lastEvaluated < in.LeaseDuration {
		lateThrough = sc.lastClusterTime
	}
	cutoff := min(in.ClusterTime-int64(t.StartingDeadline/time.Second), lateThrough)
	missed := 0
	var due []DueOccurrence
	next := x.occurrence
	for ok := true; ok && next.At+jitter <= upTo; next, ok = sc.recurrences[x.trigger].Next(next.At) {
		d := DueOccurrence{Trigger: x.trigger, LocalTime: next.LocalTime, At: next.At,
			WallClock: next.WallClock}
		switch {
		case next.At+jitter < cutoff:
			missed++
			if missed >= maxCountedMissed {
				next.At = max(next.At, cutoff-jitter-1)
			}
		case t.Coalesce && len(due) > 0 && next.At+jitter <= lateThrough:
			missed++
			due[0] = d
		default:
			due = append(due, d)
		}
	}
	if missed > 0 && len(due) == 0 {
		return []DueOccurrence{{Trigger: x.trigger, Missed: missed}}
	}
	if len(due) > 0 {
		due[0].Missed = missed
	}
	return due
}

// proposeAdvances groups the due occurrences, which are given by shard, into commands.
func (sc *Scheduler) proposeAdvances(s *State, in Input, due map[int][]DueOccurrence,
	upTo int64) (out []Command) {
	empty := Command{Kind: IntendFirings, Session: in.Session, PolicyVersion: sc.policy.Version,
		ZoneRulesVersion: s.ZoneRulesVersion, ClusterTime: upTo}
	c := empty
	for shard, occurrences := range due {
		version := s.Shards[shard].Version
		c.Advances = append(c.Advances, ShardAdvance{shard, version})
		c.Occurrences = append(c.Occurrences, occurrences...)
		sc.inFlight[shard] = inFlightAdvance{version, upTo, in.Now}
		if len(c.Occurrences) >= maxOccurrencesPerCommand {
			out, c = append(out, c), empty
		}
	}
	if len(c.Advances) > 0 {
		out = append(out, c)
	}
	return out
}
