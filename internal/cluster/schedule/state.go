package schedule

import (
	"cmp"
	"maps"
	"slices"

	"moorstack/internal/cluster/placement"
)

const (
	// maxFailures is how many of the newest failures are kept.
	maxFailures = 200
	// maxBufferedEvents bounds the events that nobody has taken.
	maxBufferedEvents = 1 << 16
)

// ShardProgress is how far the triggers of a shard have been processed.
type ShardProgress struct {
	Version uint64 `json:"v"` // the number of advances so far
	// Watermark is the instant of firing, in Unix seconds, up to which everything due has been intended or
	// missed.
	Watermark int64 `json:"m"`
}

// Snapshot is the replicated state in its stored form.
type Snapshot struct {
	PolicyVersion    uint64                `json:"version"` // of the policy that was declared last
	ZoneRulesVersion uint64                `json:"zones"`
	ClusterTime      int64                 `json:"now"`              // the latest in the log, Unix seconds
	ExcludedMembers  map[uint64]string     `json:"off,omitempty"`    // that may own no shard, with the reason
	Shards           map[int]ShardProgress `json:"shards,omitempty"` // by shard
	// The following three are by trigger name.
	DefinitionHashes map[string]uint64   `json:"texts,omitempty"`
	ActiveSince      map[string]int64    `json:"since,omitempty"` // Unix seconds: nothing earlier is due
	LastWallClock    map[string]int64    `json:"last,omitempty"`  // of the last occurrence
	LastNumber       uint64              `json:"number"`          // of the newest firing
	Firings          []Firing            `json:"items,omitempty"` // without result, by number
	ResultCounts     [resultCount]uint64 `json:"counts"`          // by Result
	Failures         []Failure           `json:"troubles,omitempty"`
}

// State is the replicated state: the same commands in the same order make the same state at every instance.
// Its Snapshot's Firings are nil; the open firings are kept by number instead. One goroutine may use it at a
// time.
type State struct {
	Snapshot
	open       map[uint64]*Firing
	policy     *Policy
	eligible   []placement.Member // members that may own shards
	ownership  *placement.Table   // nil: to be computed on demand, since few groups have triggers
	newFirings []uint64           // intended or adopted since PopNewFirings
	events     []Event            // since PopEvents
}

// NewState returns the state of a group without triggers.
func NewState() *State { return NewStateFromSnapshot(Snapshot{}) }

// NewStateFromSnapshot returns the state that a snapshot was taken of.
func NewStateFromSnapshot(snapshot Snapshot) *State {
	s := &State{Snapshot: snapshot, open: map[uint64]*Firing{}, policy: &Policy{}}
	for _, m := range []*map[string]int64{&s.ActiveSince, &s.LastWallClock} {
		if *m == nil {
			*m = map[string]int64{}
		}
	}
	if s.Shards == nil {
		s.Shards = map[int]ShardProgress{}
	}
	for i := range snapshot.Firings {
		f := snapshot.Firings[i]
		s.open[f.Number] = &f
	}
	s.Firings = nil
	return s
}

// TakeSnapshot returns the state in its stored form; nil if there is nothing to store.
func (s *State) TakeSnapshot() *Snapshot {
	if s.PolicyVersion == 0 && s.LastNumber == 0 {
		return nil
	}
	snapshot := s.Snapshot
	for _, n := range slices.Sorted(maps.Keys(s.open)) {
		snapshot.Firings = append(snapshot.Firings, *s.open[n])
	}
	return &snapshot
}

// Configure sets the policy in force. It takes effect once the leader has declared it.
func (s *State) Configure(p *Policy) { s.policy = p }

// Policy returns the policy in force. It must not be changed.
func (s *State) Policy() *Policy { return s.policy }

// SetOwners sets the members with open sessions; those of them that are not excluded may own shards.
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

// Owner returns the session that owns a shard; false: none may.
func (s *State) Owner(shard int) (Session, bool) {
	m, ok := s.ownershipTable().Owner(shard)
	return m.Session, ok
}

// ownsTrigger reports whether a session owns the shard of a trigger.
func (s *State) ownsTrigger(session Session, trigger string) bool {
	owner, ok := s.Owner(placement.ShardOf(trigger))
	return ok && owner == session
}

// OpenFiring returns a firing without result.
func (s *State) OpenFiring(number uint64) (Firing, bool) {
	f := s.open[number]
	if f == nil {
		return Firing{}, false
	}
	return *f, true
}

// OpenCount returns the number of firings without result.
func (s *State) OpenCount() int { return len(s.open) }

// OpenFirings lists the firings without result, the oldest first.
func (s *State) OpenFirings() []Firing {
	list := make([]Firing, 0, len(s.open))
	for _, f := range s.open {
		list = append(list, *f)
	}
	slices.SortFunc(list, func(a, b Firing) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// ResultTotals counts the finished firings by the name of their result.
func (s *State) ResultTotals() map[string]uint64 {
	totals := map[string]uint64{}
	for r, n := range s.ResultCounts {
		if n > 0 {
			totals[Result(r).String()] = n
		}
	}
	return totals
}

// PopNewFirings returns the firings that were assigned to a session since the last call; with all set, as
// after a snapshot, every open firing of the session.
func (s *State) PopNewFirings(session Session, all bool) (list []Firing) {
	if all {
		for _, f := range s.OpenFirings() {
			if f.Session == session && !f.Orphaned {
				list = append(list, f)
			}
		}
	} else {
		for _, n := range s.newFirings {
			if f := s.open[n]; f != nil && f.Session == session && !f.Orphaned {
				list = append(list, *f)
			}
		}
	}
	s.newFirings = nil
	return list
}

// PopEvents returns the events since the last call.
func (s *State) PopEvents() []Event {
	list := s.events
	s.events = nil
	return list
}

func (s *State) recordEvent(e Event) {
	if len(s.events) < maxBufferedEvents { // nobody takes them if there are so many
		s.events = append(s.events, e)
	}
}

// OrphanFirings marks the firings of sessions that have certainly ended.
func (s *State) OrphanFirings(ended func(Session) bool) {
	for _, f := range s.open {
		if ended(f.Session) {
			f.Orphaned = true
		}
	}
}

// intendedThrough returns the instant after which occurrences of a trigger are still to be intended, in Unix
// seconds. A shard's watermark is an instant of firing, which for a trigger with jitter is later than the
// occurrence.
func (s *State) intendedThrough(t *Trigger) int64 {
	return max(s.Shards[placement.ShardOf(t.Name)].Watermark-t.jitterSeconds(), s.ActiveSince[t.Name])
}
