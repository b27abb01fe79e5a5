package clusterstate

import (
	"cmp"
	"slices"
)

// Limits of the revisions that are kept.
const (
	maxRevisions     = 100
	maxRevisionBytes = 4 << 20 // total size of their encoded documents
)

// Revision is a version of the document that is pending, in force, or was in force before.
type Revision struct {
	Number       uint64 `json:"revision"`
	ChangeID     string `json:"id"`
	Author       string `json:"author,omitempty"`
	Note         string `json:"note,omitempty"`
	ProposedAtMS int64  `json:"at_ms"` // Unix time in milliseconds on the proposer's clock
	// EffectiveAtMS is the Unix time in milliseconds when the revision came into force, on the clock of the
	// leader that committed it; 0: it came into force when it was proposed.
	EffectiveAtMS int64     `json:"force_ms,omitempty"`
	Document      *Document `json:"document"`

	bytes int // size of the encoded document
}

// revisionLog has the latest revisions. It is never empty after the State has been created.
type revisionLog struct {
	list  []Revision // oldest first; the last one is in force
	bytes int
}

// add appends a revision, and removes the oldest ones while a limit is exceeded.
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

// RevisionByNumber returns the revision with the given number, if it is still kept.
func (s *State) RevisionByNumber(number uint64) (Revision, bool) { return s.revisions.byNumber(number) }

// PendingRevision returns the pending revision, which is neither committed nor withdrawn yet.
func (s *State) PendingRevision() (Revision, bool) {
	if s.pending == nil {
		return Revision{}, false
	}
	return *s.pending, true
}
