package schedule

import (
	"container/heap"
	"time"

	"moorstack/internal/cluster/placement"
)

// Limits of one evaluation.
const (
	// maxOccurrencesPerCommand is roughly how many occurrences a command intends: a shard is never split.
	maxOccurrencesPerCommand    = 500
	maxOccurrencesPerEvaluation = 20_000
	// maxCatchUpSeconds bounds the time span that one evaluation catches up on.
	maxCatchUpSeconds = 6 * 60 * 60
	// maxCountedMissed is how many missed occurrences of a trigger are counted; of more, this many are.
	maxCountedMissed = 10_000
)

// inFlightAdvance is an advance of a shard that was proposed and has not been seen to take effect.
type inFlightAdvance struct {
	fromVersion uint64
	watermark   int64
	sentAt      time.Duration
}

// intendFirings proposes the occurrences that are due.
func (sc *Scheduler) intendFirings(s *State, in Input) []Command {
	if sc.advanceLost(s, in) {
		// What was taken off the queue must be on it again.
		sc.rebuildQueue(s, in.Session)
		return nil
	}
	ready, deferred := sc.popDue(in.ClusterTime)
	upTo := sc.evaluationEnd(ready, in.ClusterTime)
	due := map[int][]DueOccurrence{} // by shard
	for _, x := range ready {
		t := &sc.policy.Triggers[x.trigger]
		// Hazard: an advance that was believed lost may have moved the shard since the queue was built.
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

// advanceLost forgets the advances in flight that have taken effect, and reports whether one was lost or
// rejected.
func (sc *Scheduler) advanceLost(s *State, in Input) bool {
	for shard, a := range sc.inFlight {
		switch progress := s.Shards[shard]; {
		// Hazard: an earlier advance that was believed lost may have moved the shard, and less far.
		case progress == ShardProgress{a.fromVersion + 1, a.watermark}:
			delete(sc.inFlight, shard)
		case progress.Version != a.fromVersion || in.Now-a.sentAt > in.LeaseDuration:
			return true
		}
	}
	return false
}

// popDue takes the firings that are due off the queue, except those of shards with an advance in flight:
// they are deferred.
func (sc *Scheduler) popDue(clusterTime int64) (ready, deferred []queuedFiring) {
	for len(sc.queue) > 0 && sc.queue[0].fireAt <= clusterTime {
		// An evaluation ends between two instants, since the watermark is an instant.
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

// evaluationEnd is the watermark to advance to.
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

// dueOccurrences returns the occurrences of a trigger that are due, from the given firing up to an instant of
// firing.
func (sc *Scheduler) dueOccurrences(x queuedFiring, upTo int64, in Input) []DueOccurrence {
	t := &sc.policy.Triggers[x.trigger]
	jitter := t.jitterSeconds()
	// Hazard: if the cluster time jumps forward, what it jumps over could not have been fired earlier, and
	// so is not late.
	onTime := in.ClusterTime
	if sc.lastEvaluated > 0 && in.Now-sc.lastEvaluated < in.LeaseDuration {
		onTime = sc.lastClusterTime
	}
	deadline := min(in.ClusterTime-int64(t.StartingDeadline/time.Second), onTime)
	missed := 0
	var due []DueOccurrence
	next := x.occurrence
	for ok := true; ok && next.At+jitter <= upTo; next, ok = sc.recurrences[x.trigger].Next(next.At) {
		d := DueOccurrence{Trigger: x.trigger, LocalTime: next.LocalTime, At: next.At,
			WallClock: next.WallClock}
		switch {
		case next.At+jitter < deadline:
			missed++
			if missed >= maxCountedMissed {
				next.At = max(next.At, deadline-jitter-1)
			}
		case t.Coalesce && len(due) > 0 && next.At+jitter <= onTime:
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

// proposeAdvances makes commands of the due occurrences, by shard.
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
