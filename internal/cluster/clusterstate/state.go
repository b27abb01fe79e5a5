package clusterstate

import (
	"errors"
	"fmt"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// State is the replicated state. Make one with New or Restore.
type State struct {
	rules     Rules
	clusterID string
	format    int
	revisions revisionLog
	pending   *Revision // that is being rolled out
	outcomes  outcomeLog
	members   map[uint64]Member
	removed   []uint64 // members by number, oldest first

	rollout         *rollout.State
	rolloutPolicy   rollout.Policy // of the revision in force
	machines        []machine
	expiredSessions []placement.Session // since they were taken last
}

// New makes the state of a new group with one member. The first document has the revision after
// the given one, so that a group made from a backup continues its numbers; 0 for one made from
// nothing. It fails if the document is not valid.
func New(rules Rules, clusterID string, first *Document, after uint64, founder Member) (*State, error) {
	s := &State{
		rules:     rules,
		clusterID: clusterID,
		format:    LatestFormat,
		outcomes:  newOutcomeLog(),
		members:   map[uint64]Member{founder.ID: founder},
		rollout:   rollout.NewState(),
		// Hazard: a group made from a backup must not use the numbers of the group that the backup was made
		// of, which may have used more since.
		machines: rules.newMachines(after << 32),
	}
	if !first.isFinite() {
		return nil, errors.New("the first document has a number that is none")
	}
	if problems := rules.Validate(first); len(problems) > 0 {
		return nil, fmt.Errorf("the first document is not valid: %v", problems)
	}
	s.addRevision(Revision{Number: after + 1, ChangeID: "first", Document: first})
	s.configureMachines()
	s.UpdateOwners()
	return s, nil
}

// addRevision puts a validated revision into force.
func (s *State) addRevision(r Revision) {
	s.revisions.add(r)
	s.rolloutPolicy, _ = rollout.ParsePolicy(r.Document.Sections[rollout.Section])
}

// ClusterID returns the group's identity, drawn when the group was made.
func (s *State) ClusterID() string { return s.clusterID }

// Format returns the group's format, which all its instances can read.
func (s *State) Format() int { return s.format }

// UpgradeFormat takes the group to LatestFormat. In a group without sessions so far, each instance
// gets one.
func (s *State) UpgradeFormat() {
	if s.format >= LatestFormat {
		return
	}
	before := s.format
	s.format = LatestFormat
	s.configureMachines()
	if before >= formatRollout {
		return
	}
	names := map[uint64]string{}
	for _, m := range s.members {
		names[m.ID] = m.Name
	}
	s.rollout.AddUnleasedSessions(names)
}
