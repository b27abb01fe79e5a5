package clusterstate

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// What a State remembers at the most.
const (
	// MaxOutcomes is how many changes' ids are known. A client that repeats a change whose id
	// has been forgotten meets a conflict instead: its base is long past.
	MaxOutcomes = 4096
	// MaxRevisions is how many revisions are kept, and maxHistoryBytes bounds their size.
	MaxRevisions    = 100
	maxHistoryBytes = 4 << 20
	// maxRemoved is how many members that are gone are known by their numbers.
	maxRemoved = 256
)

// Change is a proposed document, to take the place of the one of revision Base.
type Change struct {
	ID           string // chosen by the client: the same change again has the same one
	BaseRevision uint64
	Author       string
	Note         string
	ProposedAt   time.Time // told to people, used for nothing
	Document     *Document
}

// OutcomeCode says what became of a change.
type OutcomeCode uint8

// What can become of a change.
const (
	Accepted  OutcomeCode = iota
	Conflict              // Base is not the newest revision
	Invalid               // the document is refused
	TooLarge              // it is over a bound
	Unchanged             // the document is the agreed one already
	Withdrawn             // it did not take hold everywhere, and so nowhere
)

func (c OutcomeCode) String() string {
	return [...]string{"accepted", "conflict", "invalid", "too large", "unchanged", "withdrawn"}[min(int(c),
		5)]
}

// Outcome is what became of a change, at every instance the same.
type Outcome struct {
	Code     OutcomeCode `json:"code"`
	Revision uint64      `json:"revision"` // that it made, or the newest
	Problems []string    `json:"problems,omitempty"`
}

// Revision is a document that was agreed on.
type Revision struct {
	Number       uint64 `json:"revision"`
	ChangeID     string `json:"id"`
	Author       string `json:"author,omitempty"`
	Note         string `json:"note,omitempty"`
	ProposedAtMS int64  `json:"at_ms"`
	// When it came into force, by the clock of the leader that decided; 0: when it was proposed.
	EffectiveAtMS int64     `json:"force_ms,omitempty"`
	Document      *Document `json:"document"`

	size int
}

// Member is an instance of the group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// State is the state machine. Make one with New or Restore.
type State struct {
	rules   Rules
	cluster string
	history []Revision // oldest first; the last one is in force
	bytes   int        // of the history
	ids     map[string]Outcome
	order   []string // of the ids, oldest first
	members map[uint64]Member
	removed []uint64

	format  int
	rollout *rollout.State
	pending *Revision      // that takes hold, or is withdrawn
	policy  rollout.Policy // of the newest revision
	parts   []statePart
	ended   []placement.Session // sessions that have surely ended, since this was asked for last
}

// New makes the state of a new group. The first document has revision 1, or one more
// than the given, so that a group made from a backup goes on counting.
func New(rules Rules, cluster string, first *Document, after uint64, by Member) (*State, error) {
	s := &State{
		rules:   rules,
		cluster: cluster,
		ids:     map[string]Outcome{},
		members: map[uint64]Member{by.ID: by},
		format:  LatestFormat,
		rollout: rollout.NewState(),
		// Hazard: a group made from a backup must not use the numbers of the one that it was made of,
		// which may have used more since.
		parts: rules.parts(after << 32),
	}
	if !first.finite() {
		return nil, fmt.Errorf("the first document has a number that is none")
	}
	if p := rules.Validate(first); len(p) > 0 {
		return nil, fmt.Errorf("the first document is not valid: %v", p)
	}
	s.push(Revision{Number: after + 1, ChangeID: "first", Document: first})
	s.plan()
	s.UpdateOwners()
	return s, nil
}

// ClusterID is the group's own number, in words.
func (s *State) ClusterID() string { return s.cluster }

// Format is the group's: what all its instances can read.
func (s *State) Format() int { return s.format }

// Rollout is how changes take hold. It must not be changed.
func (s *State) Rollout() *rollout.State { return s.rollout }

// EligibleOwners lists the members that may own something by placement: those with open sessions.
func (s *State) EligibleOwners() []placement.Member {
	var list []placement.Member
	w := s.weights()
	for _, x := range s.rollout.List() {
		if x.Open && !x.Unleased {
			seat := placement.Session{Member: x.Member, Epoch: x.Epoch}
			list = append(list, placement.Member{Session: seat, Name: x.Name, Weight: w.Weight(x.Name)})
		}
	}
	return list
}

// TakeExpiredSessions gives the sessions that have surely ended since this was asked for last.
func (s *State) TakeExpiredSessions() []placement.Session {
	list := s.ended
	s.ended = nil
	return list
}

// UpdateOwners has what goes by sessions follow them. It is called after each entry of the log.
func (s *State) UpdateOwners() {
	seated := s.EligibleOwners()
	for _, p := range s.parts {
		p.state.SetOwners(seated)
	}
}

// RolloutPolicy is how changes take hold now.
func (s *State) RolloutPolicy() rollout.Policy { return s.policy }

// PendingRevision is the change that has been proposed and not decided.
func (s *State) PendingRevision() (Revision, bool) {
	if s.pending == nil {
		return Revision{}, false
	}
	return *s.pending, true
}

// CurrentRevision is the revision in force.
func (s *State) CurrentRevision() Revision { return s.history[len(s.history)-1] }

// Revisions gives the revisions that are kept, oldest first.
func (s *State) Revisions() []Revision { return slices.Clone(s.history) }

// RevisionByNumber gives a revision, if it is kept.
func (s *State) RevisionByNumber(revision uint64) (Revision, bool) {
	i, ok := slices.BinarySearchFunc(s.history, revision, func(r Revision, n uint64) int {
		return int(int64(r.Number) - int64(n))
	})
	if !ok {
		return Revision{}, false
	}
	return s.history[i], true
}

// OutcomeOf says what became of a change, if it is one of the last MaxIDs.
func (s *State) OutcomeOf(id string) (Outcome, bool) {
	o, ok := s.ids[id]
	return o, ok
}

// CheckChange says what would become of a change now. An instance asks before it proposes, so
// that what is refused anyway does not go into the log.
func (s *State) CheckChange(c Change) Outcome {
	if o, ok := s.ids[c.ID]; ok {
		return o
	}
	newest := s.CurrentRevision()
	refuse := func(code OutcomeCode, why ...string) Outcome {
		return Outcome{Code: code, Revision: newest.Number, Problems: why}
	}
	switch {
	case c.ID == "" || len(c.ID) > maxName:
		return refuse(Invalid, fmt.Sprintf("the change's id must have 1 to %d bytes", maxName))
	case len(c.Author) > maxName || len(c.Note) > 1024:
		return refuse(TooLarge, fmt.Sprintf("an author may have %d bytes, a note 1024", maxName))
	case s.pending != nil && c.ID != s.pending.ChangeID:
		return refuse(Conflict,
			fmt.Sprintf("change %s of %q is taking hold as revision %d; wait for it, or withdraw it",
				s.pending.ChangeID, s.pending.Author, s.pending.Number))
	case c.BaseRevision != newest.Number:
		return refuse(
			Conflict,
			fmt.Sprintf("it was made from revision %d, the newest is %d", c.BaseRevision, newest.Number),
		)
	case c.Document == nil || !c.Document.finite():
		return refuse(Invalid, "the document has a number that is none")
	}
	for name := range c.Document.Sections {
		if s.format < s.rules.since(name) {
			return refuse(Invalid, fmt.Sprintf("section %s: an instance runs a program that knows nothing "+
				"of it; renew it first", name))
		}
	}
	b := c.Document.Encode()
	if len(b) > MaxDocumentBytes {
		return refuse(
			TooLarge,
			fmt.Sprintf("the document has %d bytes, %d are allowed", len(b), MaxDocumentBytes),
		)
	}
	if bytes.Equal(b, newest.Document.Encode()) {
		return refuse(Unchanged)
	}
	// Hazard: an older program in the group must find the same wrong, word for word: it is part of what is
	// agreed on. So a document is judged by the group's format, and not by what this program knows.
	rules := s.rules
	rules.format = s.format
	if p := rules.ValidateChange(newest.Document, c.Document); len(p) > 0 {
		return refuse(Invalid, p...)
	}
	return Outcome{Code: Accepted, Revision: newest.Number + 1}
}

// ApplyChange applies a change that is in the log. A change that was applied already has the
// outcome that it had, and does nothing. One that begins to take hold has none yet, and ok is
// false.
func (s *State) ApplyChange(c Change) (o Outcome, ok bool) {
	if o, ok := s.ids[c.ID]; ok {
		return o, true
	}
	if s.pending != nil && s.pending.ChangeID == c.ID {
		return Outcome{}, false
	}
	o = s.CheckChange(c)
	if o.Code == Accepted {
		r := Revision{
			Number:       o.Revision,
			ChangeID:     c.ID,
			Author:       c.Author,
			Note:         c.Note,
			ProposedAtMS: c.ProposedAt.UnixMilli(),
			Document:     c.Document,
		}
		if s.format > 1 {
			s.pending = &r
			s.rollout.Pending = &rollout.PendingChange{
				Change:   c.ID,
				Revision: r.Number,
				Phase:    rollout.Staging,
				Attempt:  1,
			}
			return Outcome{}, false
		}
		s.push(r)
		s.plan()
	}
	// Refused ones are remembered too: the same change must not be refused now and
	// accepted when it comes again.
	if c.ID != "" && len(c.ID) <= maxName {
		s.remember(c.ID, o)
	}
	return o, true
}

// ApplyRollout applies a command of the rollout that is in the log. The outcome is the operator's
// whose word it was; ok says that the pending change has been decided, too.
func (s *State) ApplyRollout(c rollout.Command) (o Outcome, decided string) {
	o = Outcome{Code: Accepted, Revision: s.CurrentRevision().Number}
	if s.format < 2 {
		return Outcome{Code: Invalid, Revision: o.Revision,
			Problems: []string{"the group has instances that know nothing of this"}}, ""
	}
	if known, ok := s.ids[c.ID]; ok && c.ID != "" {
		return known, ""
	}
	p, was := s.pending, s.rollout.Sessions[c.Member]
	err := s.rollout.Apply(c)
	if err == nil {
		s.vacate(c, was)
	}
	if err != nil {
		o.Code, o.Problems = Invalid, []string{err.Error()}
	} else if s.rollout.Pending == nil && p != nil {
		s.pending, decided = nil, p.ChangeID
		if c.Kind == rollout.Commit {
			p.EffectiveAtMS = c.AtMS
			s.push(*p)
			s.plan()
			s.remember(p.ChangeID, Outcome{Code: Accepted, Revision: p.Number})
		} else {
			s.remember(p.ChangeID, Outcome{Code: Withdrawn, Revision: o.Revision,
				Problems: []string{c.Reason}})
		}
	}
	if c.ID != "" && len(c.ID) <= maxName {
		s.remember(c.ID, o)
	}
	return o, decided
}

// vacate ends the holdings of sessions that have surely ended: their lease has run out, or the
// process that they were for is no more. Hazard: one that an operator has set aside may act until
// its lease ends; its duties wait for that.
func (s *State) vacate(c rollout.Command, was rollout.Session) {
	over, why := (func(placement.Session) bool)(nil), ""
	switch c.Kind {
	case rollout.ExpireSessions:
		why = "its session ended"
		for _, h := range c.Sessions {
			s.ended = append(s.ended, placement.Session(h))
		}
		over = func(h placement.Session) bool { return slices.Contains(c.Sessions, rollout.SessionID(h)) }
	case rollout.OpenSession:
		why = "it was started anew"
		// Hazard: one that was set aside and comes back is the same process.
		if was.Open && was.Incarnation != c.Incarnation {
			s.ended = append(s.ended, placement.Session{Member: was.Member, Epoch: was.Epoch})
		}
		over = func(h placement.Session) bool {
			return h.Member == c.Member && h.Epoch != s.rollout.Sessions[c.Member].Epoch
		}
	default:
		return
	}
	for _, p := range s.parts {
		p.state.SessionsExpired(over, why, c.AtMS)
	}
}

// UpgradeFormat takes the group to the newest format. Its instances, which have served without
// sessions so far, have one each from here on.
func (s *State) UpgradeFormat() {
	if s.format >= LatestFormat {
		return
	}
	was := s.format
	s.format = LatestFormat
	s.plan()
	if was > 1 {
		return
	}
	names := map[uint64]string{}
	for _, m := range s.members {
		names[m.ID] = m.Name
	}
	s.rollout.AddUnleasedSessions(names)
}

func (s *State) remember(id string, o Outcome) {
	if len(s.order) >= MaxOutcomes {
		delete(s.ids, s.order[0])
		s.order = append(s.order[:0], s.order[1:]...)
	}
	s.ids[id] = o
	s.order = append(s.order, id)
}

// plan has the subjects go by the newest revision. It has been validated.
//
// Hazard: a section of a subject that the group does not know yet may hold anything, and older programs do
// not go by it.
func (s *State) plan() {
	d := s.CurrentRevision().Document
	for _, p := range s.parts {
		if s.format >= p.SinceFormat() {
			p.state.Configure(s.rules.termsOf(d, p.Section()))
		}
	}
}

func (s *State) push(r Revision) {
	r.size = len(r.Document.Encode())
	s.history = append(s.history, r)
	s.bytes += r.size
	s.policy, _ = rollout.ParsePolicy(r.Document.Sections[rollout.Section]) // it has been validated
	for len(s.history) > 1 && (len(s.history) > MaxRevisions || s.bytes > maxHistoryBytes) {
		s.bytes -= s.history[0].size
		s.history = append(s.history[:0], s.history[1:]...)
	}
}

// Members lists the instances, by number.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Size is how many instances there are.
func (s *State) Size() int { return len(s.members) }

// Member gives the instance of that number.
func (s *State) Member(id uint64) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// MemberByName gives the instance of that name.
func (s *State) MemberByName(name string) (Member, bool) {
	for _, m := range s.members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// WasRemoved says whether an instance of that number belonged to the group and does no more.
func (s *State) WasRemoved(id uint64) bool { return slices.Contains(s.removed, id) }

// ApplyMembership applies a change of the members that is in the log.
func (s *State) ApplyMembership(put []Member, drop []uint64) {
	for _, m := range put {
		s.members[m.ID] = m
	}
	for _, id := range drop {
		if _, ok := s.members[id]; ok {
			delete(s.members, id)
			s.removed = append(s.removed, id)
		}
	}
	if n := len(s.removed) - maxRemoved; n > 0 {
		s.removed = append(s.removed[:0], s.removed[n:]...)
	}
	// Hazard: one that has been removed may admit jobs until its lease ends. Its session stays
	// until then, and a change waits for it.
	s.rollout.PruneSessions(func(id uint64) bool { _, ok := s.members[id]; return ok })
}
