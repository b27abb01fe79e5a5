package schedule

import (
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// EncodeCommand writes a command as it stands in the log: what is many is packed.
func EncodeCommand(c Command) *schema.Change {
	m := &schema.ScheduleCommand{Kind: uint32(c.Kind), Term: c.Term, Member: c.Session.Member,
		Epoch:   c.Session.Epoch,
		Version: c.PolicyVersion, Now: c.ClusterTime, Zones: c.ZoneRulesVersion, Off: c.ExcludedMembers}
	for _, s := range c.ExpiredSessions {
		m.Over = append(m.Over, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	for _, s := range c.Advances {
		m.Shards, m.Versions = append(m.Shards, uint32(s.Shard)), append(m.Versions, s.FromVersion)
	}
	last := int64(0)
	for _, d := range c.Occurrences {
		m.Triggers, m.Passed = append(m.Triggers, uint32(d.Trigger)), append(m.Passed, uint32(d.Missed))
		m.Names, last = append(m.Names, int64(d.LocalTime)-last), int64(d.LocalTime)
		m.Ats = append(m.Ats, d.At-c.ClusterTime)
		m.Offsets = append(m.Offsets, int32(d.WallClock-d.At))
	}
	last = 0
	for k, n := range c.Numbers {
		m.Numbers, last = append(m.Numbers, int64(n)-last), int64(n)
		m.Results = append(m.Results, byte(c.Results[k]))
	}
	return &schema.Change{Format: 5, Schedule: m}
}

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
	last := int64(0)
	for k := range n {
		last += m.Names[k]
		at := c.ClusterTime + m.Ats[k]
		c.Occurrences = append(
			c.Occurrences,
			DueOccurrence{Trigger: int(m.Triggers[k]), LocalTime: calendar.LocalTime(last), At: at,
				WallClock: at + int64(m.Offsets[k]), Missed: int(m.Passed[k])},
		)
	}
	last = 0
	for k := range min(len(m.Numbers), len(m.Results)) {
		last += m.Numbers[k]
		c.Numbers = append(c.Numbers, uint64(last))
		c.Results = append(c.Results, Result(m.Results[k]))
	}
	return c
}
