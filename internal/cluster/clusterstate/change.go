package clusterstate

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/internal/cluster/rollout"
)

// maxNoteBytes is the maximum size of an author's description of a change.
const maxNoteBytes = 1024

// Change is a proposal to replace the document of the base revision with another one.
type Change struct {
	ID           string // set by the client; the same if it repeats the change
	BaseRevision uint64
	Author       string
	Note         string
	ProposedAt   time.Time // for display only
	Document     *Document
}

// OutcomeOf returns the outcome of the change or command with the given ID, if it is remembered.
func (s *State) OutcomeOf(id string) (Outcome, bool) { return s.outcomes.get(id) }

// CheckChange returns the outcome that a change would have if it were applied now. Instances check a change
// before they propose it, so that a change that would be rejected is not added to the log.
func (s *State) CheckChange(c Change) Outcome {
	if o, ok := s.outcomes.get(c.ID); ok {
		return o
	}
	current := s.CurrentRevision()
	o := Outcome{Revision: current.Number}
	if o.Code, o.Problems = s.checkProposal(c, current); o.Code != Accepted {
		return o
	}
	if o.Code, o.Problems = s.checkDocument(c.Document, current.Document); o.Code != Accepted {
		return o
	}
	return Outcome{Code: Accepted, Revision: current.Number + 1}
}

// checkProposal checks everything of a change except the content of its document.
func (s *State) checkProposal(c Change, current Revision) (OutcomeCode, []string) {
	reject := func(code OutcomeCode, format string, args ...any) (OutcomeCode, []string) {
		return code, []string{fmt.Sprintf(format, args...)}
	}
	switch {
	case c.ID == "" || len(c.ID) > maxNameBytes:
		return reject(Invalid, "the change's id must have 1 to %d bytes", maxNameBytes)
	case len(c.Author) > maxNameBytes || len(c.Note) > maxNoteBytes:
		return reject(TooLarge, "an author may have %d bytes, a note %d", maxNameBytes, maxNoteBytes)
	case s.pending != nil && c.ID != s.pending.ChangeID:
		return reject(Conflict,
			"change %s of %q is taking hold as revision %d; wait for it, or withdraw it",
			s.pending.ChangeID, s.pending.Author, s.pending.Number)
	case c.BaseRevision != current.Number:
		return reject(Conflict, "it was made from revision %d, the newest is %d", c.BaseRevision,
			current.Number)
	case c.Document == nil || !c.Document.isFinite():
		return reject(Invalid, "the document has a number that is none")
	}
	return Accepted, nil
}

// checkDocument checks a document as the successor of the current one.
func (s *State) checkDocument(d, current *Document) (OutcomeCode, []string) {
	for _, section := range slices.Sorted(maps.Keys(d.Sections)) {
		if s.format < s.rules.requiredFormat(section) {
			return Invalid, []string{fmt.Sprintf("section %s: an instance runs a program that knows nothing "+
				"of it; renew it first", section)}
		}
	}
	b := d.Encode()
	if len(b) > MaxDocumentBytes {
		return TooLarge, []string{fmt.Sprintf("the document has %d bytes, %d are allowed", len(b),
			MaxDocumentBytes)}
	}
	if bytes.Equal(b, current.Encode()) {
		return Unchanged, nil
	}
	// Instances that run an older program must find the same problems, word for word, because the problems
	// are part of the state. So the document is validated by the rules of the group's format, and not by
	// those of the latest format that this program supports.
	rules := s.rules
	rules.format = s.format
	if problems := rules.ValidateChange(current, d); len(problems) > 0 {
		return Invalid, problems
	}
	return Accepted, nil
}

// ApplyChange applies a change from the log, and returns its outcome. A change that was applied before has no
// effect, and its earlier outcome is returned. If the change is pending, because its rollout begins now or
// has begun before, it has no outcome yet and ok is false.
func (s *State) ApplyChange(c Change) (o Outcome, ok bool) {
	if o, ok := s.outcomes.get(c.ID); ok {
		return o, true
	}
	if s.pending != nil && s.pending.ChangeID == c.ID {
		return Outcome{}, false
	}
	o = s.CheckChange(c)
	if o.Code == Accepted {
		r := Revision{Number: o.Revision, ChangeID: c.ID, Author: c.Author, Note: c.Note,
			ProposedAtMS: c.ProposedAt.UnixMilli(), Document: c.Document}
		if s.format >= formatRollout {
			s.pending = &r
			s.rollout.Pending = &rollout.PendingChange{Change: c.ID, Revision: r.Number,
				Phase: rollout.Staging, Attempt: 1}
			return Outcome{}, false
		}
		s.addRevision(r)
		s.configureStateMachines()
	}
	// Rejections are remembered too, so that a change that was rejected is not accepted when it is repeated.
	s.outcomes.addIfValid(c.ID, o)
	return o, true
}
