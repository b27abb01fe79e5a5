// Package schedule has triggers fire exactly once over a group of instances: the agreed State, an
// instance's Owner side, and the Leader's. No I/O, no clock, no goroutine.
//
// A trigger belongs to a shard, and a shard to the instance that placement gives it to, of those with
// open sessions whose clock and zone rules are as the others'. The owner puts its intent into the agreed
// log before it fires: from where the shard has come to, up to when, and what is due between. An intent
// counts only if its sender owns the shard by the log, and if nobody else has moved the shard on since:
// so of two that take themselves for the owner one is void, and an occurrence is intended once.
//
// What is intended belongs to the session that intended it until its outcome is agreed on, also where the
// shard has gone to another. Only when that session has surely ended, and with it the right to act, is it
// an orphan: then the shard's owner goes on under the same key, where the class of the job allows; where
// not, it is written down as "may have run", and nobody sends it again.
package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// Seat is an instance's session.
type Seat = placement.Seat

// Shard is how far the triggers of a shard have come.
type Shard struct {
	Version uint64 `json:"v"` // how often it was moved on
	Mark    int64  `json:"m"` // Unix seconds: what is due up to here has been intended, or passed over
}

// Item is an occurrence that is intended and has no outcome yet.
type Item struct {
	Number  uint64        `json:"n"`
	Trigger string        `json:"t"`
	Name    calendar.Name `json:"name"`
	At      int64         `json:"at"`    // Unix seconds
	Since   int64         `json:"since"` // the fleet's time when it was intended first
	Seat    Seat          `json:"seat"`
	Orphan  bool          `json:"o,omitempty"` // whose session has surely ended, or has given it back
	Unrun   bool          `json:"u,omitempty"` // of an orphan: its holder has said that it surely never ran
	Repeat  bool          `json:"r,omitempty"` // another may have begun it
}

// Key is the job's: the occurrence's identity.
func (i *Item) Key() string { return i.Trigger + "@" + i.Name.String() }

// Result is what became of an occurrence.
type Result uint8

// The results.
const (
	Done    Result = iota // its job was served
	Failed                // its job failed: it may have run
	Refused               // it was turned away until it was too late
	MayHave               // whoever had it ended, and it may not be repeated: it may have run
	Passed                // it was too late when somebody could fire it
	// Unrun is no end: who has it gives it back, and it surely never ran.
	Unrun
)

func (r Result) String() string {
	return [...]string{"done", "failed", "refused", "may have run", "passed over",
		"given back"}[min(int(r), 5)]
}

// results is how many there are.
const results = 5

// Outcome is what became of an item that a session had.
type Outcome struct {
	Number uint64
	Seat   Seat
	Result Result
}

// Trouble is an occurrence that operators should look at: it was not served for sure.
type Trouble struct {
	Key    string `json:"key"`
	At     int64  `json:"at"`
	Result Result `json:"result"`
}

// maxTroubles is how many are kept.
const maxTroubles = 200

// Image is the agreed state as it is written.
type Image struct {
	Version  uint64            `json:"version"` // of the policy that is declared
	Zones    uint64            `json:"zones"`   // of the zone rules
	Now      int64             `json:"now"`     // the newest fleet time in the log, Unix seconds
	Off      map[uint64]string `json:"off,omitempty"`
	Shards   map[int]Shard     `json:"shards,omitempty"`
	Texts    map[string]uint64 `json:"texts,omitempty"`
	Since    map[string]int64  `json:"since,omitempty"`
	Last     map[string]int64  `json:"last,omitempty"`
	Number   uint64            `json:"number"`
	Items    []Item            `json:"items,omitempty"`
	Counts   [results]uint64   `json:"counts"`
	Troubles []Trouble         `json:"troubles,omitempty"`
}

// State is the agreed part.
type State struct {
	Image
	open   map[uint64]*Item
	policy *Policy
	seated []placement.Member // who may own shards
	table  *placement.Table   // nil: it is made when it is asked for; few groups have triggers
	fresh  []uint64           // given to somebody since they were asked for last
	told   []Event            // since they were asked for last
}

// Event is a line of what was agreed on, for audits.
type Event struct {
	What   string // intend, pass, settle, adopt
	Number uint64
	Key    string
	At     int64
	Seat   Seat
	Result Result
}

// NewState is that of a group without triggers.
func NewState() *State { return Restore(Image{}) }

// Restore takes over an image.
func Restore(im Image) *State {
	s := &State{Image: im, open: map[uint64]*Item{}, policy: &Policy{}}
	for _, m := range []*map[string]int64{&s.Since, &s.Last} {
		if *m == nil {
			*m = map[string]int64{}
		}
	}
	if s.Shards == nil {
		s.Shards = map[int]Shard{}
	}
	for i := range im.Items {
		item := im.Items[i]
		s.open[item.Number] = &item
	}
	s.Items = nil
	return s
}

// Encoded gives the image; nil, where there is nothing to keep.
func (s *State) Encoded() *Image {
	if s.Version == 0 && s.Number == 0 {
		return nil
	}
	im := s.Image
	for _, n := range slices.Sorted(maps.Keys(s.open)) {
		im.Items = append(im.Items, *s.open[n])
	}
	return &im
}

// Configure takes over the policy in force. It counts once it is declared.
func (s *State) Configure(p *Policy) { s.policy = p }

// Policy is the one in force. It must not be changed.
func (s *State) Policy() *Policy { return s.policy }

// Seated takes over who may own shards: members with open sessions.
func (s *State) Seated(members []placement.Member) {
	var list []placement.Member
	for _, m := range members {
		if s.Off[m.Member] == "" {
			list = append(list, m)
		}
	}
	if !slices.Equal(s.seated, list) {
		s.seated, s.table = list, nil
	}
}

func (s *State) owners() *placement.Table {
	if s.table == nil {
		s.table = placement.Of(placement.View{Members: s.seated})
	}
	return s.table
}

// Owner is whose a shard is.
func (s *State) Owner(shard int) (Seat, bool) {
	m, ok := s.owners().Owner(shard)
	return m.Seat, ok
}

// Open gives an item without outcome.
func (s *State) Open(number uint64) (Item, bool) {
	i := s.open[number]
	if i == nil {
		return Item{}, false
	}
	return *i, true
}

// OpenCount is how many are without outcome.
func (s *State) OpenCount() int { return len(s.open) }

// Counted is how many occurrences have ended in each way.
func (s *State) Counted() map[string]uint64 {
	m := map[string]uint64{}
	for r, n := range s.Counts {
		if n > 0 {
			m[Result(r).String()] = n
		}
	}
	return m
}

// OpenItems lists those without outcome, the oldest first.
func (s *State) OpenItems() []Item {
	list := make([]Item, 0, len(s.open))
	for _, i := range s.open {
		list = append(list, *i)
	}
	slices.SortFunc(list, func(a, b Item) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Fresh gives what was given to a seat since this was asked for last; all that it has, after a snapshot.
func (s *State) Fresh(seat Seat, all bool) (list []Item) {
	if all {
		for _, i := range s.OpenItems() {
			if i.Seat == seat && !i.Orphan {
				list = append(list, i)
			}
		}
	} else {
		for _, n := range s.fresh {
			if i := s.open[n]; i != nil && i.Seat == seat && !i.Orphan {
				list = append(list, *i)
			}
		}
	}
	s.fresh = nil
	return list
}

// Events gives what was agreed on since this was asked for last.
func (s *State) Events() []Event {
	list := s.told
	s.told = nil
	return list
}

func (s *State) tell(e Event) {
	if len(s.told) < 1<<16 { // nobody listens, where there are so many
		s.told = append(s.told, e)
	}
}

// Vacated notes that sessions have surely ended: what they had is an orphan.
func (s *State) Vacated(gone func(Seat) bool) {
	for _, i := range s.open {
		if gone(i.Seat) {
			i.Orphan = true
		}
	}
}

// Kind is what a command does.
type Kind uint8

// The kinds of command.
const (
	None    Kind = iota
	Declare      // the leader's: the policy in force counts from Now on; who may own nothing
	Intend       // an owner's: what is due in its shards
	Settle       // a holder's: what became of what it had
	Resolve      // an owner's: orphans of its shards are taken over, or given up
)

// Step is a shard that is moved on.
type Step struct {
	Shard   int
	Version uint64 // that it has before
}

// Due is an occurrence in an Intend, or how many of a trigger's were passed over.
type Due struct {
	Trigger int // its place in the policy
	Name    calendar.Name
	At      int64
	Wall    int64
	Passed  int // so many occurrences before this one were passed over; with no Name: and it is not fired
}

// Command is a step in the agreed log.
type Command struct {
	Kind    Kind
	Term    uint64 // of a leader's judgement
	Seat    Seat
	Version uint64 // of the policy
	Now     int64  // the fleet's time, Unix seconds
	Zones   uint64
	Off     map[uint64]string
	Over    []Seat // set aside, and their leases have run out
	Steps   []Step
	Dues    []Due
	Numbers []uint64
	Results []Result // to Numbers; of a Resolve: MayHave, or Done where it is taken over
}

// Apply applies a command, or says why it does nothing.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case Declare:
		return s.declare(c)
	case Intend:
		return s.intend(c)
	case Settle:
		for k, n := range c.Numbers {
			// Hazard: a session that has ended says what became of what has been taken over since.
			i := s.open[n]
			switch {
			case i == nil || i.Seat != c.Seat:
			case c.Results[k] == Unrun:
				i.Orphan, i.Unrun = true, true
			default:
				s.settle(i, c.Results[k])
			}
		}
		return nil
	case Resolve:
		return s.resolve(c)
	}
	return fmt.Errorf("a command of the kind %d is not known", c.Kind)
}

func (s *State) declare(c Command) error {
	if c.Version != s.policy.Version {
		return fmt.Errorf("another configuration is in force")
	}
	now := max(c.Now, s.Now)
	if c.Version != s.Version {
		texts := map[string]uint64{}
		for i := range s.policy.Triggers {
			t := &s.policy.Triggers[i]
			// A trigger that is new, or was changed, begins now. What was intended before goes on as it
			// was.
			if texts[t.Name] = t.text; s.Texts[t.Name] != t.text {
				s.Since[t.Name] = now
				delete(s.Last, t.Name)
			}
		}
		for _, m := range []map[string]int64{s.Since, s.Last} {
			maps.DeleteFunc(m, func(name string, _ int64) bool { return texts[name] == 0 })
		}
		s.Texts = texts
	}
	s.Version, s.Zones, s.Now, s.Off = c.Version, c.Zones, now, c.Off
	s.Vacated(func(seat Seat) bool { return slices.Contains(c.Over, seat) })
	return nil
}

func (s *State) intend(c Command) error {
	if c.Version != s.policy.Version || c.Version != s.Version {
		return fmt.Errorf("it goes by another configuration")
	}
	// Hazard: by other rules, what was fired under one name comes under another.
	if c.Zones != s.Zones {
		return fmt.Errorf("it goes by other zone rules")
	}
	moved, marks := map[int]bool{}, map[int]int64{}
	for _, step := range c.Steps {
		owner, ok := s.Owner(step.Shard)
		if x := s.Shards[step.Shard]; ok && owner == c.Seat && x.Version == step.Version && c.Now >= x.Mark {
			s.Shards[step.Shard] = Shard{x.Version + 1, c.Now}
			moved[step.Shard], marks[step.Shard] = true, x.Mark
		}
	}
	if len(moved) == 0 {
		return fmt.Errorf("the shards are another's, or were moved on by another")
	}
	s.Now = max(s.Now, c.Now)
	for _, d := range c.Dues {
		if d.Trigger < 0 || d.Trigger >= len(s.policy.Triggers) {
			continue
		}
		t := &s.policy.Triggers[d.Trigger]
		shard := placement.ShardOf(t.Name)
		if !moved[shard] {
			continue
		}
		if d.Passed > 0 {
			s.Counts[Passed] += uint64(d.Passed)
			s.tell(Event{What: "pass", Key: t.Name, At: int64(d.Passed), Seat: c.Seat})
		}
		// Hazard: what an earlier command has intended already, or what was before the trigger's time.
		fires := d.At + t.offset()
		if d.Name == 0 || fires <= marks[shard] || fires > c.Now || d.At <= s.Since[t.Name] {
			continue
		}
		// Hazard: new zone rules may have what was fired come again, an hour later. What local clocks
		// have shown at an earlier firing is over, unless the clocks were set back by the rules.
		if !d.Name.Fold() {
			if last, ok := s.Last[t.Name]; ok && d.Wall <= last {
				continue
			}
			s.Last[t.Name] = d.Wall
		}
		s.Number++
		i := &Item{Number: s.Number, Trigger: t.Name, Name: d.Name, At: d.At, Since: c.Now, Seat: c.Seat}
		s.open[i.Number] = i
		s.fresh = append(s.fresh, i.Number)
		s.tell(Event{What: "intend", Number: i.Number, Key: i.Key(), At: i.At, Seat: c.Seat})
	}
	return nil
}

func (s *State) resolve(c Command) error {
	for k, n := range c.Numbers {
		i := s.open[n]
		if i == nil || !i.Orphan {
			continue
		}
		if owner, ok := s.Owner(placement.ShardOf(i.Trigger)); !ok || owner != c.Seat {
			continue
		}
		if c.Results[k] != Done {
			s.settle(i, c.Results[k])
			continue
		}
		i.Seat, i.Orphan, i.Repeat, i.Unrun = c.Seat, false, i.Repeat || !i.Unrun, false
		s.fresh = append(s.fresh, n)
		s.tell(Event{What: "adopt", Number: n, Key: i.Key(), At: i.At, Seat: c.Seat})
	}
	return nil
}

func (s *State) settle(i *Item, r Result) {
	delete(s.open, i.Number)
	s.Counts[min(int(r), results-1)]++
	if r != Done {
		s.Troubles = append(s.Troubles, Trouble{i.Key(), i.At, r})
		s.Troubles = s.Troubles[max(0, len(s.Troubles)-maxTroubles):]
	}
	s.tell(Event{What: "settle", Number: i.Number, Key: i.Key(), At: i.At, Seat: i.Seat, Result: r})
}

// from is from where on a trigger's occurrences are to be intended: after this instant. A shard's mark is
// one of firing, which for a spread trigger is later than its occurrence.
func (s *State) from(t *Trigger) int64 {
	return max(s.Shards[placement.ShardOf(t.Name)].Mark-t.offset(), s.Since[t.Name])
}
