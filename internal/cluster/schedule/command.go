package schedule

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// CommandKind is the kind of a command. The log stores its numeric value.
type CommandKind uint8

// The kinds of command, with the proposer of each.
const (
	NoCommand      CommandKind = iota
	DeclarePolicy              // by the leader: the policy in force takes effect at ClusterTime
	IntendFirings              // by a shard owner: advances its shards and intends what is due in them
	RecordResults              // by a session: records the results of its firings
	ResolveOrphans             // by a shard owner: adopts or finishes orphaned firings of its shards
)

// ShardAdvance is a shard that an IntendFirings command advances.
type ShardAdvance struct {
	Shard       int
	FromVersion uint64 // the version that the shard must have
}

// DueOccurrence is an occurrence that an IntendFirings command intends.
type DueOccurrence struct {
	Trigger   int // index in the policy
	LocalTime calendar.LocalTime
	At        int64 // Unix seconds
	WallClock int64 // the local time at that instant, as seconds since 1970 in local time
	// Missed is how many occurrences of the trigger before this one were missed. If LocalTime is 0, only
	// Missed is recorded and nothing is fired.
	Missed int
}

// Command is an entry of the replicated log. Its kind determines which fields are used.
type Command struct {
	Kind             CommandKind
	Term             uint64 // of the leader, for DeclarePolicy
	Session          Session
	PolicyVersion    uint64
	ClusterTime      int64 // Unix seconds
	ZoneRulesVersion uint64
	ExcludedMembers  map[uint64]string // reason by member: these members may not own shards
	ExpiredSessions  []Session         // whose leases have run out
	Advances         []ShardAdvance
	Occurrences      []DueOccurrence
	Numbers          []uint64 // of firings, for RecordResults and ResolveOrphans
	// Results has one result for each of Numbers. In ResolveOrphans, Succeeded means that the firing is
	// adopted.
	Results []Result
}

// Apply applies a command. If it returns an error, the state is unchanged.
//
// The error texts, like those of ParsePolicy, are part of what a group replicates. They must be the same in
// all versions of the program.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case DeclarePolicy:
		return s.applyDeclarePolicy(c)
	case IntendFirings:
		return s.applyIntendFirings(c)
	case RecordResults:
		s.applyRecordResults(c)
		return nil
	case ResolveOrphans:
		s.applyResolveOrphans(c)
		return nil
	}
	return fmt.Errorf("a command of the kind %d is not known", c.Kind)
}

func (s *State) applyDeclarePolicy(c Command) error {
	if c.PolicyVersion != s.policy.Version {
		return errors.New("another configuration is in force")
	}
	now := max(c.ClusterTime, s.ClusterTime)
	if c.PolicyVersion != s.PolicyVersion {
		s.activateTriggers(now)
	}
	s.PolicyVersion, s.ZoneRulesVersion = c.PolicyVersion, c.ZoneRulesVersion
	s.ClusterTime, s.ExcludedMembers = now, c.ExcludedMembers
	s.OrphanFirings(func(session Session) bool { return slices.Contains(c.ExpiredSessions, session) })
	return nil
}

// activateTriggers activates new and changed triggers as of now and discards the state of removed ones.
// Firings that were intended before are not affected.
func (s *State) activateTriggers(now int64) {
	hashes := map[string]uint64{}
	for i := range s.policy.Triggers {
		t := &s.policy.Triggers[i]
		if hashes[t.Name] = t.definitionHash; s.DefinitionHashes[t.Name] != t.definitionHash {
			s.ActiveSince[t.Name] = now
			delete(s.LastWallClock, t.Name)
		}
	}
	for _, m := range []map[string]int64{s.ActiveSince, s.LastWallClock} {
		maps.DeleteFunc(m, func(name string, _ int64) bool { return hashes[name] == 0 })
	}
	s.DefinitionHashes = hashes
}

func (s *State) applyIntendFirings(c Command) error {
	if c.PolicyVersion != s.policy.Version || c.PolicyVersion != s.PolicyVersion {
		return errors.New("it goes by another configuration")
	}
	// With other zone rules, an occurrence that was fired under one local time could be fired again under
	// another.
	if c.ZoneRulesVersion != s.ZoneRulesVersion {
		return errors.New("it goes by other zone rules")
	}
	watermarks := s.advanceShards(c)
	if len(watermarks) == 0 {
		return errors.New("the shards are another's, or were moved on by another")
	}
	s.ClusterTime = max(s.ClusterTime, c.ClusterTime)
	for _, d := range c.Occurrences {
		if d.Trigger < 0 || d.Trigger >= len(s.policy.Triggers) {
			continue
		}
		t := &s.policy.Triggers[d.Trigger]
		watermark, advanced := watermarks[placement.ShardOf(t.Name)]
		if !advanced {
			continue
		}
		if d.Missed > 0 {
			s.ResultCounts[Missed] += uint64(d.Missed)
			s.recordEvent(Event{Kind: EventMissed, Key: t.Name, At: int64(d.Missed), Session: c.Session})
		}
		s.intendFiring(c, t, d, watermark)
	}
	return nil
}

// advanceShards advances those of the command's shards that its sender owns and whose version is still the
// expected one. It returns their previous watermarks by shard.
func (s *State) advanceShards(c Command) map[int]int64 {
	watermarks := map[int]int64{}
	for _, a := range c.Advances {
		owner, ok := s.Owner(a.Shard)
		x := s.Shards[a.Shard]
		if ok && owner == c.Session && x.Version == a.FromVersion && c.ClusterTime >= x.Watermark {
			s.Shards[a.Shard] = ShardProgress{x.Version + 1, c.ClusterTime}
			watermarks[a.Shard] = x.Watermark
		}
	}
	return watermarks
}

// intendFiring adds a firing for an occurrence of a trigger. It ignores an occurrence whose firing time is
// not between the shard's former watermark, which is given, and the new one, and one that may have been fired
// before.
func (s *State) intendFiring(c Command, t *Trigger, d DueOccurrence, watermark int64) {
	// An earlier command may have intended the occurrence, or it may precede the trigger's activation.
	fireAt := d.At + t.jitterSeconds()
	if d.LocalTime == 0 || fireAt <= watermark || fireAt > c.ClusterTime || d.At <= s.ActiveSince[t.Name] {
		return
	}
	// With new zone rules, an occurrence that was already fired could be fired again an hour later. A local
	// time at or before that of the last firing is therefore ignored, unless it is the second of two.
	if !d.LocalTime.InSecondFold() {
		if last, ok := s.LastWallClock[t.Name]; ok && d.WallClock <= last {
			return
		}
		s.LastWallClock[t.Name] = d.WallClock
	}
	s.LastNumber++
	f := &Firing{Number: s.LastNumber, Trigger: t.Name, LocalTime: d.LocalTime, At: d.At,
		IntendedAt: c.ClusterTime, Session: c.Session}
	s.open[f.Number] = f
	s.newFirings = append(s.newFirings, f.Number)
	s.recordEvent(Event{Kind: EventIntended, Number: f.Number, Key: f.IdempotencyKey(), At: f.At,
		Session: c.Session})
}

func (s *State) applyRecordResults(c Command) {
	for k, n := range c.Numbers {
		// A session that has ended may still report results of firings that another session has adopted.
		f := s.open[n]
		switch {
		case f == nil || f.Session != c.Session:
		case c.Results[k] == Released:
			f.Orphaned, f.NeverStarted = true, true
		default:
			s.finishFiring(f, c.Results[k])
		}
	}
}

func (s *State) applyResolveOrphans(c Command) {
	for k, n := range c.Numbers {
		f := s.open[n]
		if f == nil || !f.Orphaned || !s.ownsTrigger(c.Session, f.Trigger) {
			continue
		}
		if c.Results[k] != Succeeded {
			s.finishFiring(f, c.Results[k])
			continue
		}
		f.Session, f.Orphaned = c.Session, false
		f.Redelivered, f.NeverStarted = f.Redelivered || !f.NeverStarted, false
		s.newFirings = append(s.newFirings, n)
		s.recordEvent(Event{Kind: EventAdopted, Number: n, Key: f.IdempotencyKey(), At: f.At,
			Session: c.Session})
	}
}

func (s *State) finishFiring(f *Firing, r Result) {
	delete(s.open, f.Number)
	s.ResultCounts[min(int(r), resultCount-1)]++
	if r != Succeeded {
		s.Failures = append(s.Failures, Failure{f.IdempotencyKey(), f.At, r})
		s.Failures = s.Failures[max(0, len(s.Failures)-maxFailures):]
	}
	s.recordEvent(Event{Kind: EventFinished, Number: f.Number, Key: f.IdempotencyKey(), At: f.At,
		Session: f.Session, Result: r})
}
