package agreement

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// What a State remembers at the most.
const (
	// MaxIDs is how many changes' ids are known. A client that repeats a change whose id
	// has been forgotten meets a conflict instead: its base is long past.
	MaxIDs = 4096
	// MaxHistory is how many revisions are kept, and maxHistoryBytes bounds their size.
	MaxHistory      = 100
	maxHistoryBytes = 4 << 20
	// maxRemoved is how many members that are gone are known by their numbers.
	maxRemoved = 256
)

// Change is a proposed document, to take the place of the one of revision Base.
type Change struct {
	ID       string // chosen by the client: the same change again has the same one
	Base     uint64
	Author   string
	Note     string
	At       time.Time // told to people, used for nothing
	Document *Document
}

// Code says what became of a change.
type Code uint8

// What can become of a change.
const (
	Accepted  Code = iota
	Conflict       // Base is not the newest revision
	Invalid        // the document is refused
	TooLarge       // it is over a bound
	Unchanged      // the document is the agreed one already
)

func (c Code) String() string {
	return [...]string{"accepted", "conflict", "invalid", "too large", "unchanged"}[min(int(c), 4)]
}

// Outcome is what became of a change, at every instance the same.
type Outcome struct {
	Code     Code     `json:"code"`
	Revision uint64   `json:"revision"` // that it made, or the newest
	Problems []string `json:"problems,omitempty"`
}

// Revision is a document that was agreed on.
type Revision struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	AtMS     int64     `json:"at_ms"`
	Document *Document `json:"document"`

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
}

// New makes the state of a new group. The first document has revision 1, or one more
// than the given, so that a group made from a backup goes on counting.
func New(rules Rules, cluster string, first *Document, after uint64, by Member) (*State, error) {
	s := &State{
		rules:   rules,
		cluster: cluster,
		ids:     map[string]Outcome{},
		members: map[uint64]Member{by.ID: by},
	}
	if !first.finite() {
		return nil, fmt.Errorf("the first document has a number that is none")
	}
	if p := rules.Validate(first); len(p) > 0 {
		return nil, fmt.Errorf("the first document is not valid: %v", p)
	}
	s.push(Revision{Revision: after + 1, ID: "first", Document: first})
	return s, nil
}

// Cluster is the group's own number, in words.
func (s *State) Cluster() string { return s.cluster }

// Newest is the revision in force.
func (s *State) Newest() Revision { return s.history[len(s.history)-1] }

// History gives the revisions that are kept, oldest first.
func (s *State) History() []Revision { return slices.Clone(s.history) }

// At gives a revision, if it is kept.
func (s *State) At(revision uint64) (Revision, bool) {
	i, ok := slices.BinarySearchFunc(s.history, revision, func(r Revision, n uint64) int {
		return int(int64(r.Revision) - int64(n))
	})
	if !ok {
		return Revision{}, false
	}
	return s.history[i], true
}

// Known says what became of a change, if it is one of the last MaxIDs.
func (s *State) Known(id string) (Outcome, bool) {
	o, ok := s.ids[id]
	return o, ok
}

// Check says what would become of a change now. An instance asks before it proposes, so
// that what is refused anyway does not go into the log.
func (s *State) Check(c Change) Outcome {
	if o, ok := s.ids[c.ID]; ok {
		return o
	}
	newest := s.Newest()
	refuse := func(code Code, why ...string) Outcome {
		return Outcome{Code: code, Revision: newest.Revision, Problems: why}
	}
	switch {
	case c.ID == "" || len(c.ID) > maxName:
		return refuse(Invalid, fmt.Sprintf("the change's id must have 1 to %d bytes", maxName))
	case len(c.Author) > maxName || len(c.Note) > 1024:
		return refuse(TooLarge, fmt.Sprintf("an author may have %d bytes, a note 1024", maxName))
	case c.Base != newest.Revision:
		return refuse(
			Conflict,
			fmt.Sprintf("it was made from revision %d, the newest is %d", c.Base, newest.Revision),
		)
	case c.Document == nil || !c.Document.finite():
		return refuse(Invalid, "the document has a number that is none")
	}
	b := c.Document.Encode()
	if len(b) > MaxDocument {
		return refuse(TooLarge, fmt.Sprintf("the document has %d bytes, %d are allowed", len(b), MaxDocument))
	}
	if bytes.Equal(b, newest.Document.Encode()) {
		return refuse(Unchanged)
	}
	if p := s.rules.ValidateChange(newest.Document, c.Document); len(p) > 0 {
		return refuse(Invalid, p...)
	}
	return Outcome{Code: Accepted, Revision: newest.Revision + 1}
}

// Apply applies a change that is in the log. A change that was applied already has the
// outcome that it had, and does nothing.
func (s *State) Apply(c Change) Outcome {
	if o, ok := s.ids[c.ID]; ok {
		return o
	}
	o := s.Check(c)
	if o.Code == Accepted {
		s.push(
			Revision{Revision: o.Revision, ID: c.ID, Author: c.Author, Note: c.Note, AtMS: c.At.UnixMilli(),
				Document: c.Document},
		)
	}
	// Refused ones are remembered too: the same change must not be refused now and
	// accepted when it comes again.
	if c.ID != "" && len(c.ID) <= maxName {
		s.remember(c.ID, o)
	}
	return o
}

func (s *State) remember(id string, o Outcome) {
	if len(s.order) >= MaxIDs {
		delete(s.ids, s.order[0])
		s.order = append(s.order[:0], s.order[1:]...)
	}
	s.ids[id] = o
	s.order = append(s.order, id)
}

func (s *State) push(r Revision) {
	r.size = len(r.Document.Encode())
	s.history = append(s.history, r)
	s.bytes += r.size
	for len(s.history) > 1 && (len(s.history) > MaxHistory || s.bytes > maxHistoryBytes) {
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

// Member gives the instance of that number.
func (s *State) Member(id uint64) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// MemberNamed gives the instance of that name.
func (s *State) MemberNamed(name string) (Member, bool) {
	for _, m := range s.members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Removed says whether an instance of that number belonged to the group and does no more.
func (s *State) Removed(id uint64) bool { return slices.Contains(s.removed, id) }

// ApplyMembers applies a change of the members that is in the log.
func (s *State) ApplyMembers(put []Member, drop []uint64) {
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
}

// image is a State as it is written.
type image struct {
	Format  int        `json:"format"`
	Cluster string     `json:"cluster"`
	History []Revision `json:"history"`
	IDs     []idImage  `json:"ids"`
	Members []Member   `json:"members"`
	Removed []uint64   `json:"removed,omitempty"`
}

type idImage struct {
	ID string `json:"id"`
	Outcome
}

// Encode writes the state: equal states have equal bytes.
func (s *State) Encode() []byte {
	im := image{
		Format:  Format,
		Cluster: s.cluster,
		History: s.history,
		Members: s.Members(),
		Removed: s.removed,
	}
	for _, id := range s.order {
		im.IDs = append(im.IDs, idImage{id, s.ids[id]})
	}
	b, err := json.Marshal(im)
	if err != nil {
		panic(
			fmt.Sprintf("agreement: the state can't be written: %v", err),
		) // Check has refused all that can't
	}
	return b
}

// Restore reads what Encode wrote.
func Restore(rules Rules, b []byte) (*State, error) {
	var im image
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&im); err != nil {
		return nil, fmt.Errorf("reading an agreed state: %w", err)
	}
	if im.Format != Format {
		return nil, fmt.Errorf("an agreed state of format %d; this program reads %d", im.Format, Format)
	}
	if len(im.History) == 0 || len(im.IDs) > MaxIDs {
		return nil, fmt.Errorf("reading an agreed state: %d revisions, %d ids", len(im.History), len(im.IDs))
	}
	s := &State{rules: rules, cluster: im.Cluster, ids: map[string]Outcome{}, members: map[uint64]Member{},
		removed: im.Removed}
	last := uint64(0)
	for _, r := range im.History {
		if r.Document == nil || r.Revision <= last {
			return nil, fmt.Errorf("reading an agreed state: revision %d after %d", r.Revision, last)
		}
		last = r.Revision
		s.push(r)
	}
	for _, id := range im.IDs {
		s.remember(id.ID, id.Outcome)
	}
	for _, m := range im.Members {
		s.members[m.ID] = m
	}
	return s, nil
}
