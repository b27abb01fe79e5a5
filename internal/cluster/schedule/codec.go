package schedule

import (
	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

// Encode writes a command as it stands in the log: what is many is packed.
func Encode(c Command) *schema.Change {
	m := &schema.ScheduleCommand{Kind: uint32(c.Kind), Term: c.Term, Member: c.Seat.Member,
		Epoch:   c.Seat.Epoch,
		Version: c.Version, Now: c.Now, Zones: c.Zones, Off: c.Off}
	for _, s := range c.Over {
		m.Over = append(m.Over, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	for _, s := range c.Steps {
		m.Shards, m.Versions = append(m.Shards, uint32(s.Shard)), append(m.Versions, s.Version)
	}
	last := int64(0)
	for _, d := range c.Dues {
		m.Triggers, m.Passed = append(m.Triggers, uint32(d.Trigger)), append(m.Passed, uint32(d.Passed))
		m.Names, last = append(m.Names, int64(d.Name)-last), int64(d.Name)
		m.Ats = append(m.Ats, d.At-c.Now)
		m.Offsets = append(m.Offsets, int32(d.Wall-d.At))
	}
	last = 0
	for k, n := range c.Numbers {
		m.Numbers, last = append(m.Numbers, int64(n)-last), int64(n)
		m.Results = append(m.Results, byte(c.Results[k]))
	}
	return &schema.Change{Format: 5, Schedule: m}
}

func decode(m *schema.ScheduleCommand) Command {
	c := Command{Kind: Kind(m.Kind), Term: m.Term, Version: m.Version, Now: m.Now,
		Seat: Seat{Member: m.Member, Epoch: m.Epoch}, Zones: m.Zones, Off: m.Off}
	for _, s := range m.Over {
		c.Over = append(c.Over, Seat{Member: s.Member, Epoch: s.Epoch})
	}
	for k := range min(len(m.Shards), len(m.Versions)) {
		if m.Shards[k] < placement.Shards {
			c.Steps = append(c.Steps, Step{Shard: int(m.Shards[k]), Version: m.Versions[k]})
		}
	}
	n := min(len(m.Triggers), len(m.Names), len(m.Ats), len(m.Offsets), len(m.Passed))
	last := int64(0)
	for k := range n {
		last += m.Names[k]
		at := c.Now + m.Ats[k]
		c.Dues = append(c.Dues, Due{Trigger: int(m.Triggers[k]), Name: calendar.Name(last), At: at,
			Wall: at + int64(m.Offsets[k]), Passed: int(m.Passed[k])})
	}
	last = 0
	for k := range min(len(m.Numbers), len(m.Results)) {
		last += m.Numbers[k]
		c.Numbers = append(c.Numbers, uint64(last))
		c.Results = append(c.Results, Result(m.Results[k]))
	}
	return c
}
