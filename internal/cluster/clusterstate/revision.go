package clusterstate

import (
	"cmp"
	"slices"
)

// Bounds on the revisions that are kept.
const (
	maxRevisions     = 100
	maxRevisionBytes = 4 << 20 // of their documents together
)

// Revision is a document that was agreed on.
type Revision struct {
	Number       uint64 `json:"revision"`
	ChangeID     string `json:"id"`
	Author       string `json:"author,omitempty"`
	Note         string `json:"note,omitempty"`
	ProposedAtMS int64  `json:"at_ms"` // since 1970, by the proposer's clock
	// EffectiveAtMS is when it came into force, since 1970, by the clock of the leader that committed it;
	// 0: when it was proposed.
	EffectiveAtMS int64     `json:"force_ms,omitempty"`
	Document      *Document `json:"document"`

	bytes int // of the encoded document
}

// revisionLog keeps the latest revisions. It is never empty once the State is made.
type revisionLog struct {
	list  []Revision // oldest first; the last one is in force
	bytes int
}

// add appends a revision and drops the oldest ones that are over a bound.
func (l *revisionLog) add(r Revision) {
	r.bytes = len(r.Document.Encode())
	l.list = append(l.list, r)
	l.bytes += r.bytes
	for len(l.list) > 1 && (len(l.list) > maxRevisions || l.bytes > maxRevisionBytes) {
		l.bytes -= l.list[0].bytes
		l.list = append(l.list[:0], l.list[1:]...)
	}
}

func (l *revisionLog) current() Revision { return l.list[len(l.list)-1] }

func (l *revisionLog) byNumber(number uint64) (Revision, bool) {
	i, ok := slices.BinarySearchFunc(l.list, number, func(r Revision, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
	if !ok {
		return Revision{}, false
	}
	return l.list[i], true
}

// CurrentRevision returns the revision in force.
func (s *State) CurrentRevision() Revision { return s.revisions.current() }

// Revisions returns the revisions that are kept, oldest first.
func (s *State) Revisions() []Revision { return slices.Clone(s.revisions.list) }

// RevisionByNumber returns a revision, if it is kept.
func (s *State) RevisionByNumber(number uint64) (Revision, bool) { return s.revisions.byNumber(number) }

// PendingRevision returns the revision that has been proposed and neither committed nor withdrawn.
func (s *State) PendingRevision() (Revision, bool) {
	if s.pending == nil {
		return Revision{}, false
	}
	return *s.pending, true
}
