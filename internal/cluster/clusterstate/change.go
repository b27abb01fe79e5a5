package clusterstate

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/internal/cluster/rollout"
)

// maxNoteBytes bounds what an author writes about a change.
const maxNoteBytes = 1024

// Change is a proposed document that is to replace the one of its base revision.
type Change struct {
	ID           string // chosen by the client; the same change has the same one when it is repeated
	BaseRevision uint64
	Author       string
	Note         string
	ProposedAt   time.Time // shown to people, used for nothing
	Document     *Document
}

// OutcomeOf returns what became of a change or command, if that is remembered.
func (s *State) OutcomeOf(id string) (Outcome, bool) { return s.outcomes.get(id) }

// CheckChange returns what would become of a change now. An instance checks before it proposes, so
// that a change that would be rejected is not put into the log.
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

// checkProposal checks all of a change but the content of its document.
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

// checkDocument checks a document as the one after the current.
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
	// Hazard: an older program in the group must find the same problems, word for word: they are part of
	// the state. So a document is validated by the group's format, and not by what this program knows.
	rules := s.rules
	rules.format = s.format
	if problems := rules.ValidateChange(current, d); len(problems) > 0 {
		return Invalid, problems
	}
	return Accepted, nil
}

// ApplyChange applies a change that is in the log. A change that was applied already has the outcome
// that it had, and changes nothing. One whose rollout begins has no outcome yet, and ok is false.
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
		s.configureMachines()
	}
	// Rejections are remembered too: the same change must not be rejected now and accepted when it is
	// repeated.
	s.outcomes.addIfValid(c.ID, o)
	return o, true
}
