package schedule

import (
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// commandFormat is the log format that introduced schedule commands.
const commandFormat = 5

// EncodeCommand encodes a command as a log entry. To keep long lists short, numbers are encoded as
// differences from the previous one and instants as differences from the cluster time.
func EncodeCommand(c Command) *schema.Change {
	m := &schema.ScheduleCommand{Kind: uint32(c.Kind), Term: c.Term, Member: c.Session.Member,
		Epoch: c.Session.Epoch, Version: c.PolicyVersion, Now: c.ClusterTime, Zones: c.ZoneRulesVersion,
		Off: c.ExcludedMembers}
	for _, s := range c.ExpiredSessions {
		m.Over = append(m.Over, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	for _, a := range c.Advances {
		m.Shards, m.Versions = append(m.Shards, uint32(a.Shard)), append(m.Versions, a.FromVersion)
	}
	previous := int64(0)
	for _, d := range c.Occurrences {
		m.Triggers, m.Passed = append(m.Triggers, uint32(d.Trigger)), append(m.Passed, uint32(d.Missed))
		m.Names, previous = append(m.Names, int64(d.LocalTime)-previous), int64(d.LocalTime)
		m.Ats = append(m.Ats, d.At-c.ClusterTime)
		m.Offsets = append(m.Offsets, int32(d.WallClock-d.At))
	}
	previous = 0
	for k, n := range c.Numbers {
		m.Numbers, previous = append(m.Numbers, int64(n)-previous), int64(n)
		m.Results = append(m.Results, byte(c.Results[k]))
	}
	return &schema.Change{Format: commandFormat, Schedule: m}
}

// decodeCommand decodes a log entry. If parallel lists differ in length, surplus elements are ignored.
func decodeCommand(m *schema.ScheduleCommand) Command {
	c := Command{Kind: CommandKind(m.Kind), Term: m.Term, PolicyVersion: m.Version, ClusterTime: m.Now,
		Session: Session{Member: m.Member, Epoch: m.Epoch}, ZoneRulesVersion: m.Zones, ExcludedMembers: m.Off}
	for _, s := range m.Over {
		c.ExpiredSessions = append(c.ExpiredSessions, Session{Member: s.Member, Epoch: s.Epoch})
	}
	for k := range min(len(m.Shards), len(m.Versions)) {
		if m.Shards[k] < placement.ShardCount {
			c.Advances = append(c.Advances, ShardAdvance{Shard: int(m.Shards[k]), FromVersion: m.Versions[k]})
		}
	}
	n := min(len(m.Triggers), len(m.Names), len(m.Ats), len(m.Offsets), len(m.Passed))
	previous := int64(0)
	for k := range n {
		previous += m.Names[k]
		at := c.ClusterTime + m.Ats[k]
		c.Occurrences = append(c.Occurrences, DueOccurrence{Trigger: int(m.Triggers[k]),
			LocalTime: calendar.LocalTime(previous), At: at, WallClock: at + int64(m.Offsets[k]),
			Missed: int(m.Passed[k])})
	}
	previous = 0
	for k := range min(len(m.Numbers), len(m.Results)) {
		previous += m.Numbers[k]
		c.Numbers = append(c.Numbers, uint64(previous))
		c.Results = append(c.Results, Result(m.Results[k]))
	}
	return c
}
