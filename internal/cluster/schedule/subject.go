package schedule

import (
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/replicated"
	"moorstack/internal/schema"
)

// Subject has a group agree on its triggers.
type Subject struct{}

var _ replicated.Subject = Subject{}

// Section implements subject.Subject.
func (Subject) Section() string { return Section }

// Since implements subject.Subject.
func (Subject) Since() int { return 5 }

// Check implements subject.Subject.
func (Subject) Check(t replicated.Terms) []string {
	_, wrong := ReadPolicy(t.Values, Names{Classes: t.ClassNames(), Tenants: t.Tenants})
	return wrong
}

// Has implements subject.Subject.
func (Subject) Has(e *schema.Change) bool { return e.Schedule != nil }

// State implements subject.Subject.
func (Subject) State(uint64) replicated.State { return &Agreed{State: NewState()} }

// Part implements subject.Subject.
func (Subject) Part(o replicated.Own) replicated.Part { return &part{own: o} }

// Agreed is the State as a subject's.
type Agreed struct {
	*State
	classes []replicated.Class
}

// Configure implements subject.State.
func (a *Agreed) Configure(t replicated.Terms) {
	p, _ := ReadPolicy(t.Values, Names{Classes: t.ClassNames(), Tenants: t.Tenants})
	a.State.Configure(&p)
	a.classes = t.Classes
}

// Vacated implements subject.State.
func (a *Agreed) Vacated(over func(placement.Seat) bool, _ string, _ int64) { a.State.Vacated(over) }

// Image implements subject.State.
func (a *Agreed) Image() []replicated.Field {
	return []replicated.Field{{Name: "schedule", Value: a.Encoded()}}
}

// Restore implements subject.State.
func (a *Agreed) Restore(read func(string, any) (bool, error)) error {
	var im Image
	ok, err := read("schedule", &im)
	if ok && err == nil {
		a.State = Restore(im)
	}
	return err
}

// Read implements subject.State.
func (a *Agreed) Read(e *schema.Change) (replicated.Word, bool) {
	if e.Schedule == nil {
		return replicated.Word{}, false
	}
	c := decode(e.Schedule)
	return replicated.Word{Term: c.Term, Judged: c.Kind == Declare,
		Apply: func(func(placement.Seat) bool) error { return a.Apply(c) }}, true
}

// repeatable says whether a job of a trigger, intended so long ago, may be sent once more under its key.
func (a *Agreed) repeatable(t *Trigger, ago time.Duration) bool {
	for _, c := range a.classes {
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
			return whole && ago+c.GiveUp < c.Window
		}
	}
	return false
}

// Clock is the fleet's time, in Unix nanoseconds, as an instance's own clock was at a moment.
type Clock struct {
	Fleet int64 // 0: it is not known
	At    time.Duration
}

// Now is the fleet's time at another moment; 0: it is not known.
func (c Clock) Now(at time.Duration) int64 {
	if c.Fleet == 0 {
		return 0
	}
	return c.Fleet + int64(at-c.At)
}

// part is an instance's: what it owns itself, and as leader the fleet's time.
type part struct {
	own    replicated.Own
	owner  *Owner
	leader *Leader
	all    bool          // after a snapshot: what this instance has must be told anew
	clock  Clock         // as it was granted last
	asked  time.Duration // of that grant
	told   Clock
}

// Lead implements subject.Part.
func (p *part) Lead(_ time.Duration, term uint64) {
	if p.leader = nil; term != 0 {
		p.leader = NewLeader(term)
	}
}

// configured has the owner's side go by the policy in force.
func (p *part) configured(s *Agreed) {
	if p.owner == nil {
		zones := p.own.Zones
		if zones == nil {
			zones = calendar.NewZones()
		}
		p.owner = NewOwner(zones)
	}
	p.owner.Configure(s.Policy())
}

// Report says what this instance's clock shows, and which zone rules it has.
func (p *part) Report(v replicated.View, r *schema.SessionReport) {
	if p.own.Wall == nil {
		return
	}
	s := v.State.(*Agreed)
	p.configured(s)
	r.WallNs, r.PlanVersion, r.Zones = p.own.Wall().UnixNano(), s.Policy().Version, p.owner.Rules()
}

// Heard implements subject.Part.
func (p *part) Heard(now time.Duration, member uint64, r *schema.SessionReport) {
	if p.leader != nil {
		p.leader.Heard(now, member, Reading{Wall: r.WallNs, Version: r.PlanVersion, Zones: r.Zones})
	}
}

// group is whom the leader's side judges.
func (p *part) group(v replicated.View) Group {
	return Group{Members: v.Group.Seated(), Size: v.Group.Size(), Lease: v.Lease, Over: v.Group.Over(),
		Away: v.Group.Away}
}

// Grant says the fleet's time, where it is needed and known.
func (p *part) Grant(v replicated.View, _ uint64, g *schema.SessionGrant) {
	if s := v.State.(*Agreed); p.leader != nil && s.Policy().Version != 0 {
		g.FleetNs = p.leader.Fleet(v.Now, s.State, p.group(v))
	}
}

// Granted takes the fleet's time. Hazard: an answer that was long on its way would put the fleet's time
// back, and a later one must not be taken for an earlier.
func (p *part) Granted(now time.Duration, g *schema.SessionGrant, _ uint64) {
	if asked := time.Duration(g.AskedNs); g.FleetNs != 0 && asked > p.asked {
		p.clock, p.asked = Clock{g.FleetNs, now}, asked
	}
}

// Judge decides who may own shards.
func (p *part) Judge(v replicated.View) []*schema.Change {
	s := v.State.(*Agreed)
	if s.Policy().Version == 0 && s.Version == 0 {
		return nil
	}
	if c, ok := p.leader.Look(v.Now, s.State, p.group(v)); ok {
		return []*schema.Change{Encode(c)}
	}
	return nil
}

// Act does what is due in the shards that this instance owns, and tells what it is to fire.
func (p *part) Act(v replicated.View) (told []any, words []*schema.Change) {
	s := v.State.(*Agreed)
	if s.Policy().Version == 0 && s.Version == 0 {
		return nil, nil
	}
	p.configured(s)
	if p.clock != p.told {
		p.told = p.clock
		told = append(told, p.clock)
	}
	if events := s.Events(); len(events) > 0 {
		told = append(told, events)
	}
	own := v.Own
	if own.Epoch == 0 {
		own = Seat{}
	}
	if fire := s.Fresh(own, p.all); own != (Seat{}) {
		if p.all = false; len(fire) > 0 {
			told = append(told, fire)
		}
	}
	look := View{Mono: v.Now, Lease: v.Lease, Repeatable: s.repeatable}
	// Hazard: one that was cut off has the log of some time ago, and owns by it what is another's.
	if own.Epoch != 0 && !v.Away && v.Now < v.Until && p.clock.Fleet != 0 {
		look.Seat, look.Fleet = own, p.clock.Now(v.Now)/int64(time.Second)
	}
	for _, c := range p.owner.Look(s.State, look) {
		words = append(words, Encode(c))
	}
	return told, words
}

// Skipped implements subject.Part.
func (p *part) Skipped() { p.all = true }

// Take notes what became of occurrences that this instance was to fire.
func (p *part) Take(v replicated.View, word any) {
	results, _ := word.([]Outcome)
	p.configured(v.State.(*Agreed))
	for _, r := range results {
		p.owner.Result(r.Number, r.Seat, r.Result)
	}
}

// Status is how the triggers stand, as far as an instance knows.
type Status struct {
	Triggers, Owned, Open int
	Zones                 uint64
	Fleet                 int64 // Unix nanoseconds; 0: not known
	Off                   map[uint64]string
	Counts                map[string]uint64
	Troubles              []Trouble
}

// Status implements subject.Part.
func (p *part) Status(v replicated.View) any {
	s := v.State.(*Agreed)
	if s.Policy().Version == 0 && s.Number == 0 {
		return nil
	}
	out := &Status{Triggers: len(s.Policy().Triggers), Open: s.OpenCount(), Zones: s.Zones, Off: s.Off,
		Counts: s.Counted(), Troubles: s.Troubles, Fleet: p.clock.Now(v.Now)}
	if p.owner != nil {
		out.Owned = p.owner.Owned()
	}
	return out
}
