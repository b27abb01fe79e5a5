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

// Session is an instance's session.
type Session = placement.Session

// ShardProgress is how far the triggers of a shard have come.
type ShardProgress struct {
	Version   uint64 `json:"v"` // how often it was moved on
	Watermark int64  `json:"m"` // Unix seconds: what is due up to here has been intended, or passed over
}

// Firing is an occurrence that is intended and has no outcome yet.
type Firing struct {
	Number     uint64             `json:"n"`
	Trigger    string             `json:"t"`
	LocalTime  calendar.LocalTime `json:"name"`
	At         int64              `json:"at"`    // Unix seconds
	IntendedAt int64              `json:"since"` // the fleet's time when it was intended first
	Session    Session            `json:"seat"`
	// whose session has surely ended, or has given it back
	Orphaned bool `json:"o,omitempty"`
	// of an orphan: its holder has said that it surely never ran
	NeverStarted bool `json:"u,omitempty"`
	Redelivered  bool `json:"r,omitempty"` // another may have begun it
}

// IdempotencyKey is the job's: the occurrence's identity.
func (i *Firing) IdempotencyKey() string { return i.Trigger + "@" + i.LocalTime.String() }

// Result is what became of an occurrence.
type Result uint8

// The results.
const (
	Succeeded Result = iota // its job was served
	Failed                  // its job failed: it may have run
	Rejected                // it was turned away until it was too late
	Unknown                 // whoever had it ended, and it may not be repeated: it may have run
	Missed                  // it was too late when somebody could fire it
	// Released is no end: who has it gives it back, and it surely never ran.
	Released
)

func (r Result) String() string {
	return [...]string{"done", "failed", "refused", "may have run", "passed over",
		"given back"}[min(int(r), 5)]
}

// resultCount is how many there are.
const resultCount = 5

// FiringResult is what became of an item that a session had.
type FiringResult struct {
	Number  uint64
	Session Session
	Result  Result
}

// Failure is an occurrence that operators should look at: it was not served for sure.
type Failure struct {
	Key    string `json:"key"`
	At     int64  `json:"at"`
	Result Result `json:"result"`
}

// maxFailures is how many are kept.
const maxFailures = 200

// Snapshot is the agreed state as it is written.
type Snapshot struct {
	PolicyVersion    uint64                `json:"version"` // of the policy that is declared
	ZoneRulesVersion uint64                `json:"zones"`   // of the zone rules
	ClusterTime      int64                 `json:"now"`     // the newest fleet time in the log, Unix seconds
	ExcludedMembers  map[uint64]string     `json:"off,omitempty"`
	Shards           map[int]ShardProgress `json:"shards,omitempty"`
	DefinitionHashes map[string]uint64     `json:"texts,omitempty"`
	ActiveSince      map[string]int64      `json:"since,omitempty"`
	LastWallClock    map[string]int64      `json:"last,omitempty"`
	LastNumber       uint64                `json:"number"`
	Firings          []Firing              `json:"items,omitempty"`
	ResultCounts     [resultCount]uint64   `json:"counts"`
	Failures         []Failure             `json:"troubles,omitempty"`
}

// State is the agreed part.
type State struct {
	Snapshot
	open       map[uint64]*Firing
	policy     *Policy
	eligible   []placement.Member // who may own shards
	ownership  *placement.Table   // nil: it is made when it is asked for; few groups have triggers
	newFirings []uint64           // given to somebody since they were asked for last
	events     []Event            // since they were asked for last
}

// Event is a line of what was agreed on, for audits.
type Event struct {
	Kind    string // intend, pass, settle, adopt
	Number  uint64
	Key     string
	At      int64
	Session Session
	Result  Result
}

// NewState is that of a group without triggers.
func NewState() *State { return NewStateFromSnapshot(Snapshot{}) }

// NewStateFromSnapshot takes over an image.
func NewStateFromSnapshot(im Snapshot) *State {
	s := &State{Snapshot: im, open: map[uint64]*Firing{}, policy: &Policy{}}
	for _, m := range []*map[string]int64{&s.ActiveSince, &s.LastWallClock} {
		if *m == nil {
			*m = map[string]int64{}
		}
	}
	if s.Shards == nil {
		s.Shards = map[int]ShardProgress{}
	}
	for i := range im.Firings {
		item := im.Firings[i]
		s.open[item.Number] = &item
	}
	s.Firings = nil
	return s
}

// TakeSnapshot gives the image; nil, where there is nothing to keep.
func (s *State) TakeSnapshot() *Snapshot {
	if s.PolicyVersion == 0 && s.LastNumber == 0 {
		return nil
	}
	im := s.Snapshot
	for _, n := range slices.Sorted(maps.Keys(s.open)) {
		im.Firings = append(im.Firings, *s.open[n])
	}
	return &im
}

// Configure takes over the policy in force. It counts once it is declared.
func (s *State) Configure(p *Policy) { s.policy = p }

// Policy is the one in force. It must not be changed.
func (s *State) Policy() *Policy { return s.policy }

// SetOwners takes over who may own shards: members with open sessions.
func (s *State) SetOwners(members []placement.Member) {
	var list []placement.Member
	for _, m := range members {
		if s.ExcludedMembers[m.Member] == "" {
			list = append(list, m)
		}
	}
	if !slices.Equal(s.eligible, list) {
		s.eligible, s.ownership = list, nil
	}
}

func (s *State) ownershipTable() *placement.Table {
	if s.ownership == nil {
		s.ownership = placement.NewTable(placement.View{Members: s.eligible})
	}
	return s.ownership
}

// Owner is whose a shard is.
func (s *State) Owner(shard int) (Session, bool) {
	m, ok := s.ownershipTable().Owner(shard)
	return m.Session, ok
}

// OpenFiring gives an item without outcome.
func (s *State) OpenFiring(number uint64) (Firing, bool) {
	i := s.open[number]
	if i == nil {
		return Firing{}, false
	}
	return *i, true
}

// OpenCount is how many are without outcome.
func (s *State) OpenCount() int { return len(s.open) }

// ResultTotals is how many occurrences have ended in each way.
func (s *State) ResultTotals() map[string]uint64 {
	m := map[string]uint64{}
	for r, n := range s.ResultCounts {
		if n > 0 {
			m[Result(r).String()] = n
		}
	}
	return m
}

// OpenFirings lists those without outcome, the oldest first.
func (s *State) OpenFirings() []Firing {
	list := make([]Firing, 0, len(s.open))
	for _, i := range s.open {
		list = append(list, *i)
	}
	slices.SortFunc(list, func(a, b Firing) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// TakeNewFirings gives what was given to a seat since this was asked for last; all that it has, after a
// snapshot.
func (s *State) TakeNewFirings(seat Session, all bool) (list []Firing) {
	if all {
		for _, i := range s.OpenFirings() {
			if i.Session == seat && !i.Orphaned {
				list = append(list, i)
			}
		}
	} else {
		for _, n := range s.newFirings {
			if i := s.open[n]; i != nil && i.Session == seat && !i.Orphaned {
				list = append(list, *i)
			}
		}
	}
	s.newFirings = nil
	return list
}

// TakeEvents gives what was agreed on since this was asked for last.
func (s *State) TakeEvents() []Event {
	list := s.events
	s.events = nil
	return list
}

func (s *State) recordEvent(e Event) {
	if len(s.events) < 1<<16 { // nobody listens, where there are so many
		s.events = append(s.events, e)
	}
}

// OrphanFirings notes that sessions have surely ended: what they had is an orphan.
func (s *State) OrphanFirings(gone func(Session) bool) {
	for _, i := range s.open {
		if gone(i.Session) {
			i.Orphaned = true
		}
	}
}

// CommandKind is what a command does.
type CommandKind uint8

// The kinds of command.
const (
	NoCommand      CommandKind = iota
	DeclarePolicy              // the leader's: the policy in force counts from Now on; who may own nothing
	IntendFirings              // an owner's: what is due in its shards
	RecordResults              // a holder's: what became of what it had
	ResolveOrphans             // an owner's: orphans of its shards are taken over, or given up
)

// ShardAdvance is a shard that is moved on.
type ShardAdvance struct {
	Shard       int
	FromVersion uint64 // that it has before
}

// DueOccurrence is an occurrence in an Intend, or how many of a trigger's were passed over.
type DueOccurrence struct {
	Trigger   int // its place in the policy
	LocalTime calendar.LocalTime
	At        int64
	WallClock int64
	Missed    int // so many occurrences before this one were passed over; with no Name: and it is not fired
}

// Command is a step in the agreed log.
type Command struct {
	Kind             CommandKind
	Term             uint64 // of a leader's judgement
	Session          Session
	PolicyVersion    uint64 // of the policy
	ClusterTime      int64  // the fleet's time, Unix seconds
	ZoneRulesVersion uint64
	ExcludedMembers  map[uint64]string
	ExpiredSessions  []Session // set aside, and their leases have run out
	Advances         []ShardAdvance
	Occurrences      []DueOccurrence
	Numbers          []uint64
	Results          []Result // to Numbers; of a Resolve: MayHave, or Done where it is taken over
}

// Apply applies a command, or says why it does nothing.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case DeclarePolicy:
		return s.applyDeclarePolicy(c)
	case IntendFirings:
		return s.applyIntendFirings(c)
	case RecordResults:
		for k, n := range c.Numbers {
			// Hazard: a session that has ended says what became of what has been taken over since.
			i := s.open[n]
			switch {
			case i == nil || i.Session != c.Session:
			case c.Results[k] == Released:
				i.Orphaned, i.NeverStarted = true, true
			default:
				s.finishFiring(i, c.Results[k])
			}
		}
		return nil
	case ResolveOrphans:
		return s.applyResolveOrphans(c)
	}
	return fmt.Errorf("a command of the kind %d is not known", c.Kind)
}

func (s *State) applyDeclarePolicy(c Command) error {
	if c.PolicyVersion != s.policy.Version {
		return fmt.Errorf("another configuration is in force")
	}
	now := max(c.ClusterTime, s.ClusterTime)
	if c.PolicyVersion != s.PolicyVersion {
		texts := map[string]uint64{}
		for i := range s.policy.Triggers {
			t := &s.policy.Triggers[i]
			// A trigger that is new, or was changed, begins now. What was intended before goes on as it
			// was.
			if texts[t.Name] = t.definitionHash; s.DefinitionHashes[t.Name] != t.definitionHash {
				s.ActiveSince[t.Name] = now
				delete(s.LastWallClock, t.Name)
			}
		}
		for _, m := range []map[string]int64{s.ActiveSince, s.LastWallClock} {
			maps.DeleteFunc(m, func(name string, _ int64) bool { return texts[name] == 0 })
		}
		s.DefinitionHashes = texts
	}
	s.PolicyVersion, s.ZoneRulesVersion, s.ClusterTime, s.ExcludedMembers = c.PolicyVersion,
		c.ZoneRulesVersion, now, c.ExcludedMembers
	s.OrphanFirings(func(seat Session) bool { return slices.Contains(c.ExpiredSessions, seat) })
	return nil
}

func (s *State) applyIntendFirings(c Command) error {
	if c.PolicyVersion != s.policy.Version || c.PolicyVersion != s.PolicyVersion {
		return fmt.Errorf("it goes by another configuration")
	}
	// Hazard: by other rules, what was fired under one name comes under another.
	if c.ZoneRulesVersion != s.ZoneRulesVersion {
		return fmt.Errorf("it goes by other zone rules")
	}
	moved, marks := map[int]bool{}, map[int]int64{}
	for _, step := range c.Advances {
		owner, ok := s.Owner(step.Shard)
		if x := s.Shards[step.Shard]; ok && owner == c.Session && x.Version == step.FromVersion &&
			c.ClusterTime >= x.Watermark {
			s.Shards[step.Shard] = ShardProgress{x.Version + 1, c.ClusterTime}
			moved[step.Shard], marks[step.Shard] = true, x.Watermark
		}
	}
	if len(moved) == 0 {
		return fmt.Errorf("the shards are another's, or were moved on by another")
	}
	s.ClusterTime = max(s.ClusterTime, c.ClusterTime)
	for _, d := range c.Occurrences {
		if d.Trigger < 0 || d.Trigger >= len(s.policy.Triggers) {
			continue
		}
		t := &s.policy.Triggers[d.Trigger]
		shard := placement.ShardOf(t.Name)
		if !moved[shard] {
			continue
		}
		if d.Missed > 0 {
			s.ResultCounts[Missed] += uint64(d.Missed)
			s.recordEvent(Event{Kind: "pass", Key: t.Name, At: int64(d.Missed), Session: c.Session})
		}
		// Hazard: what an earlier command has intended already, or what was before the trigger's time.
		fires := d.At + t.jitterSeconds()
		if d.LocalTime == 0 || fires <= marks[shard] || fires > c.ClusterTime ||
			d.At <= s.ActiveSince[t.Name] {
			continue
		}
		// Hazard: new zone rules may have what was fired come again, an hour later. What local clocks
		// have shown at an earlier firing is over, unless the clocks were set back by the rules.
		if !d.LocalTime.InSecondFold() {
			if last, ok := s.LastWallClock[t.Name]; ok && d.WallClock <= last {
				continue
			}
			s.LastWallClock[t.Name] = d.WallClock
		}
		s.LastNumber++
		i := &Firing{
			Number:     s.LastNumber,
			Trigger:    t.Name,
			LocalTime:  d.LocalTime,
			At:         d.At,
			IntendedAt: c.ClusterTime,
			Session:    c.Session,
		}
		s.open[i.Number] = i
		s.newFirings = append(s.newFirings, i.Number)
		s.recordEvent(
			Event{Kind: "intend", Number: i.Number, Key: i.IdempotencyKey(), At: i.At, Session: c.Session},
		)
	}
	return nil
}

func (s *State) applyResolveOrphans(c Command) error {
	for k, n := range c.Numbers {
		i := s.open[n]
		if i == nil || !i.Orphaned {
			continue
		}
		if owner, ok := s.Owner(placement.ShardOf(i.Trigger)); !ok || owner != c.Session {
			continue
		}
		if c.Results[k] != Succeeded {
			s.finishFiring(i, c.Results[k])
			continue
		}
		i.Session, i.Orphaned, i.Redelivered, i.NeverStarted = c.Session, false, i.Redelivered ||
			!i.NeverStarted, false
		s.newFirings = append(s.newFirings, n)
		s.recordEvent(Event{Kind: "adopt", Number: n, Key: i.IdempotencyKey(), At: i.At, Session: c.Session})
	}
	return nil
}

func (s *State) finishFiring(i *Firing, r Result) {
	delete(s.open, i.Number)
	s.ResultCounts[min(int(r), resultCount-1)]++
	if r != Succeeded {
		s.Failures = append(s.Failures, Failure{i.IdempotencyKey(), i.At, r})
		s.Failures = s.Failures[max(0, len(s.Failures)-maxFailures):]
	}
	s.recordEvent(
		Event{
			Kind:    "settle",
			Number:  i.Number,
			Key:     i.IdempotencyKey(),
			At:      i.At,
			Session: i.Session,
			Result:  r,
		},
	)
}

// intendedThrough is from where on a trigger's occurrences are to be intended: after this instant. A shard's
// mark is one of firing, which for a spread trigger is later than its occurrence.
func (s *State) intendedThrough(t *Trigger) int64 {
	return max(s.Shards[placement.ShardOf(t.Name)].Watermark-t.jitterSeconds(), s.ActiveSince[t.Name])
}
