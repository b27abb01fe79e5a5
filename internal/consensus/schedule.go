package consensus

import (
	"time"

	"moorstack/internal/calendar"
	"moorstack/internal/placement"
	"moorstack/internal/schedule"
	"moorstack/internal/schema"
)

// plans are an instance's part in the triggers: what it owns itself, and as leader the fleet's time.
type plans struct {
	owner  *schedule.Owner
	leader *schedule.Leader // of the same term as the sessions'
	all    bool             // after a snapshot: what this instance has must be told anew

	fleet   int64 // the fleet's time, as it was granted last, Unix nanoseconds
	fleetAt time.Duration
	asked   time.Duration // of that grant
}

// reading is what this instance says of its clock and its zone rules.
func (i *Instance) reading() schedule.Reading {
	if i.cfg.Wall == nil {
		return schedule.Reading{}
	}
	i.configured()
	return schedule.Reading{Wall: i.cfg.Wall().UnixNano(), Version: i.state.Schedule().Policy().Version,
		Zones: i.ses.plans.owner.Rules()}
}

// configured has the owner's side go by the policy in force.
func (i *Instance) configured() {
	x := &i.ses.plans
	if x.owner == nil {
		zones := i.cfg.Zones
		if zones == nil {
			zones = calendar.NewZones()
		}
		x.owner = schedule.NewOwner(zones)
	}
	x.owner.Configure(i.state.Schedule().Policy())
}

// read takes a member's reading, as leader.
func (i *Instance) read(member uint64, r schedule.Reading) {
	if i.ses.leader != nil {
		i.ses.plans.leader.Heard(i.ses.now, member, r)
	}
}

// group is whom the leader's side judges.
func (i *Instance) group() schedule.Group {
	g := schedule.Group{Members: i.state.Seated(), Size: len(i.state.Members()), Lease: i.policy().Lease,
		Away: func(m uint64) bool { return i.ses.duties.words[m].away }}
	p := i.policy()
	for _, x := range i.state.Rollout().List() {
		if !x.Open && i.ses.leader.Out(i.ses.now, x.Member, p) {
			g.Over = append(g.Over, schedule.Seat{Member: x.Member, Epoch: x.Epoch})
		}
	}
	return g
}

// fleet is the fleet's time as this leader has it; 0: it is not known, or not needed.
func (i *Instance) fleet() int64 {
	s := i.state.Schedule()
	if s.Policy().Version == 0 || i.ses.plans.leader == nil {
		return 0
	}
	return i.ses.plans.leader.Fleet(i.ses.now, s, i.group())
}

// dated takes the fleet's time from the answer to a report. Hazard: an answer that was long on its way
// would put the fleet's time back, and a later one must not be taken for an earlier.
func (i *Instance) dated(asked time.Duration, fleet int64) {
	x := &i.ses.plans
	if fleet != 0 && asked > x.asked {
		x.fleet, x.fleetAt, x.asked = fleet, i.ses.now, asked
	}
}

// judgeSchedule has the leader's side decide who may own shards.
func (i *Instance) judgeSchedule() {
	if s := i.state.Schedule(); i.state.Format() < 5 || s.Policy().Version == 0 && s.Version == 0 {
		return
	}
	if c, ok := i.ses.plans.leader.Look(i.ses.now, i.state.Schedule(), i.group()); ok {
		_ = i.rn.Propose(encodeSchedule(c)) // dropped, it is asked for again
	}
}

// scheduled does what is due in the shards that this instance owns, and tells what it is to fire.
func (i *Instance) scheduled() {
	s := i.state.Schedule()
	if s.Policy().Version == 0 && s.Version == 0 {
		return
	}
	x := &i.ses.plans
	i.configured()
	own := schedule.Seat{}
	if epoch := i.ses.holder.Epoch(); epoch != 0 && !i.gone() {
		own = schedule.Seat{Member: i.identity.Id, Epoch: epoch}
	}
	i.out.Events = append(i.out.Events, s.Events()...)
	if fire := s.Fresh(own, x.all); own != (schedule.Seat{}) {
		i.out.Fire = append(i.out.Fire, fire...)
		x.all = false
	}
	p := i.policy()
	v := schedule.View{Mono: i.ses.now, Lease: p.Lease, Repeatable: i.repeatable}
	// Hazard: one that was cut off has the log of some time ago, and owns by it what is another's.
	right := i.ses.now < i.ses.seats.right.Until(own.Epoch, p.Lease)
	if own.Epoch != 0 && !i.ses.duties.away && right && x.fleet != 0 {
		v.Seat, v.Fleet = own, (x.fleet+int64(i.ses.now-x.fleetAt))/int64(time.Second)
	}
	for _, c := range x.owner.Look(s, v) {
		_ = i.rn.Propose(encodeSchedule(c)) // dropped, it is asked for again
	}
}

// repeatable says whether a job of a trigger, intended so long ago, may be sent once more under its key.
func (i *Instance) repeatable(t *schedule.Trigger, ago time.Duration) bool {
	for _, c := range i.state.Newest().Document.Classes {
		if c.Name != t.Class {
			continue
		}
		switch c.Effect {
		case "retryable":
			return true
		case "dedup":
			// Hazard: workers know a key for a time only, and for some classes only where the first
			// attempt went, which nobody knows any more.
			whole := c.KeyScope == "" || c.KeyScope == "all"
			return whole && ago+time.Duration(c.GiveUp) < time.Duration(c.Window)
		}
	}
	return false
}

// Fired notes what became of occurrences that this instance was to fire.
func (i *Instance) Fired(results []schedule.Outcome) {
	if i.state == nil || i.halted != nil {
		return
	}
	i.configured()
	for _, r := range results {
		i.ses.plans.owner.Result(r.Number, r.Seat, r.Result)
	}
	i.sessions()
}

func (i *Instance) applySchedule(m *schema.ScheduleCommand) {
	c := decodeSchedule(m)
	// Hazard: as with sessions, a deposed leader's judgement is void.
	if c.Kind == schedule.Declare && c.Term != i.appliedTerm {
		return
	}
	if err := i.state.Scheduled(c); err != nil {
		i.cfg.Log.WithError(err).Debug("a word on triggers is void")
	}
}

func encodeSchedule(c schedule.Command) []byte {
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
	return encode(&schema.Change{Format: 5, Schedule: m})
}

func decodeSchedule(m *schema.ScheduleCommand) schedule.Command {
	c := schedule.Command{Kind: schedule.Kind(m.Kind), Term: m.Term, Version: m.Version, Now: m.Now,
		Seat: schedule.Seat{Member: m.Member, Epoch: m.Epoch}, Zones: m.Zones, Off: m.Off}
	for _, s := range m.Over {
		c.Over = append(c.Over, schedule.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	for k := range min(len(m.Shards), len(m.Versions)) {
		if m.Shards[k] < placement.Shards {
			c.Steps = append(c.Steps, schedule.Step{Shard: int(m.Shards[k]), Version: m.Versions[k]})
		}
	}
	n := min(len(m.Triggers), len(m.Names), len(m.Ats), len(m.Offsets), len(m.Passed))
	last := int64(0)
	for k := range n {
		last += m.Names[k]
		at := c.Now + m.Ats[k]
		c.Dues = append(c.Dues, schedule.Due{Trigger: int(m.Triggers[k]), Name: calendar.Name(last), At: at,
			Wall: at + int64(m.Offsets[k]), Passed: int(m.Passed[k])})
	}
	last = 0
	for k := range min(len(m.Numbers), len(m.Results)) {
		last += m.Numbers[k]
		c.Numbers = append(c.Numbers, uint64(last))
		c.Results = append(c.Results, schedule.Result(m.Results[k]))
	}
	return c
}

// Schedule is how the triggers stand, as far as this instance knows.
type Schedule struct {
	Triggers, Owned, Open int
	Zones                 uint64
	Fleet                 int64 // Unix nanoseconds; 0: not known
	Off                   map[uint64]string
	Counts                map[string]uint64
	Troubles              []schedule.Trouble
}

func (i *Instance) schedule() *Schedule {
	if i.state == nil {
		return nil
	}
	s := i.state.Schedule()
	if s.Policy().Version == 0 && s.Number == 0 {
		return nil
	}
	out := &Schedule{Triggers: len(s.Policy().Triggers), Open: s.OpenCount(), Zones: s.Zones, Off: s.Off,
		Counts: s.Counted(), Troubles: s.Troubles}
	if x := &i.ses.plans; x.owner != nil {
		out.Owned = x.owner.Owned()
		if x.fleet != 0 {
			out.Fleet = x.fleet + int64(i.ses.now-x.fleetAt)
		}
	}
	return out
}
