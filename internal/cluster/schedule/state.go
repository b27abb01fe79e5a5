package schedule

import (
	"cmp"
	"maps"
	"slices"

	"moorstack/internal/cluster/placement"
)

const (
	// maxFailures is the number of failures that are kept; older ones are dropped.
	maxFailures = 200
	// maxBufferedEvents limits the events buffered for PopEvents.
	maxBufferedEvents = 1 << 16
)

// ShardProgress records how far the triggers of a shard have been processed.
type ShardProgress struct {
	Version uint64 `json:"v"` // the number of advances so far
	// Watermark is a firing time in Unix seconds. All firings up to it have been intended or were missed.
	Watermark int64 `json:"m"`
}

// Snapshot is the replicated state in its stored form.
type Snapshot struct {
	PolicyVersion    uint64                `json:"version"` // of the last declared policy
	ZoneRulesVersion uint64                `json:"zones"`
	ClusterTime      int64                 `json:"now"`              // the latest in the log, in Unix seconds
	ExcludedMembers  map[uint64]string     `json:"off,omitempty"`    // reason by member; they own no shards
	Shards           map[int]ShardProgress `json:"shards,omitempty"` // by shard
	// The following three maps are by trigger name.
	DefinitionHashes map[string]uint64   `json:"texts,omitempty"`
	ActiveSince      map[string]int64    `json:"since,omitempty"` // Unix seconds; earlier ones are not due
	LastWallClock    map[string]int64    `json:"last,omitempty"`  // of the last firing, as in DueOccurrence
	LastNumber       uint64              `json:"number"`          // number of the newest firing
	Firings          []Firing            `json:"items,omitempty"` // those without result, by number
	ResultCounts     [resultCount]uint64 `json:"counts"`          // by Result
	Failures         []Failure           `json:"troubles,omitempty"`
}

// State is the replicated state: the same commands in the same order give the same state at every instance.
// The embedded Snapshot's Firings field is nil; open firings are kept in a map by number instead. A State is
// not safe for concurrent use.
type State struct {
	Snapshot
	open       map[uint64]*Firing
	policy     *Policy
	eligible   []placement.Member // members that may own shards
	ownership  *placement.Table   // nil: not computed yet; computed on demand, since few groups have triggers
	newFirings []uint64           // numbers, intended or adopted since the last PopNewFirings
	events     []Event            // since the last PopEvents
}

// NewState returns the state of a group without triggers.
func NewState() *State { return NewStateFromSnapshot(Snapshot{}) }

// NewStateFromSnapshot restores the state from a snapshot.
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

// TakeSnapshot returns the state in its stored form, or nil if there is nothing to store.
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

// SetOwners sets the members with open sessions. Those that are not excluded may own shards.
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

// ownershipTable returns the owners of the shards among the eligible members.
func (s *State) ownershipTable() *placement.Table {
	if s.ownership == nil {
		s.ownership = placement.NewTable(placement.View{Members: s.eligible})
	}
	return s.ownership
}

// Owner returns the session that owns a shard; false: no member may own shards.
func (s *State) Owner(shard int) (Session, bool) {
	m, ok := s.ownershipTable().Owner(shard)
	return m.Session, ok
}

// ownsTrigger reports whether a session owns a trigger's shard.
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

// OpenFirings returns the firings without result, the oldest first.
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

// PopNewFirings returns the firings that were assigned to a session since the last call. If all is set, as
// after the installation of a snapshot, it returns all open firings of the session.
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

// recordEvent buffers an event for PopEvents.
func (s *State) recordEvent(e Event) {
	if len(s.events) < maxBufferedEvents { // if the buffer is full, nothing calls PopEvents
		s.events = append(s.events, e)
	}
}

// OrphanFirings marks the firings of sessions that have certainly ended as orphaned.
func (s *State) OrphanFirings(ended func(Session) bool) {
	for _, f := range s.open {
		if ended(f.Session) {
			f.Orphaned = true
		}
	}
}

// intendedThrough returns the Unix time up to which a trigger's occurrences have been processed. A shard's
// watermark is a firing time, which for a trigger with jitter is later than the occurrence.
func (s *State) intendedThrough(t *Trigger) int64 {
	return max(s.Shards[placement.ShardOf(t.Name)].Watermark-t.jitterSeconds(), s.ActiveSince[t.Name])
}
