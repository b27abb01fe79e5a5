package clusterstate

import (
	"errors"
	"fmt"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
)

// State is the replicated state. It is created by New or Restore.
type State struct {
	rules     Rules
	clusterID string
	format    int
	revisions revisionLog
	pending   *Revision // nil if none is being rolled out
	outcomes  outcomeLog
	members   map[uint64]Member
	removed   []uint64 // numbers of removed members, oldest first

	rollout         *rollout.State
	rolloutPolicy   rollout.Policy // of the revision in force
	stateMachines   []stateMachine
	expiredSessions []placement.Session // since the last call of PopExpiredSessions
}

// New returns the state of a new group with one member, or an error if the first document is invalid. The
// document gets the revision after lastRevision: a group that is created from a backup continues the backup's
// numbers, and any other group starts after 0.
func New(
	rules Rules, clusterID string, first *Document, lastRevision uint64, firstMember Member,
) (*State, error) {
	s := &State{
		rules:     rules,
		clusterID: clusterID,
		format:    LatestFormat,
		outcomes:  newOutcomeLog(),
		members:   map[uint64]Member{firstMember.ID: firstMember},
		rollout:   rollout.NewState(),
		// A group that is created from a backup must not reuse fencing tokens and sequence numbers of the
		// original group, which may have used more of them since the backup. So they start at a value that
		// the revision determines.
		stateMachines: rules.newStateMachines(lastRevision << 32),
	}
	if !first.isFinite() {
		return nil, errors.New("the first document has a number that is not finite")
	}
	if problems := rules.Validate(first); len(problems) > 0 {
		return nil, fmt.Errorf("the first document is invalid: %v", problems)
	}
	s.addRevision(Revision{Number: lastRevision + 1, ChangeID: "first", Document: first})
	s.configureStateMachines()
	s.UpdateOwners()
	return s, nil
}

// addRevision puts a validated revision into force.
func (s *State) addRevision(r Revision) {
	s.revisions.add(r)
	s.rolloutPolicy, _ = rollout.ParsePolicy(r.Document.Sections[rollout.Section])
}

// ClusterID returns the group's ID, which was generated when the group was created.
func (s *State) ClusterID() string { return s.clusterID }

// Format returns the group's format, which all its instances support.
func (s *State) Format() int { return s.format }

// UpgradeFormat switches the group to LatestFormat. If the group had no sessions before, each instance gets
// an unleased session.
func (s *State) UpgradeFormat() {
	if s.format >= LatestFormat {
		return
	}
	before := s.format
	s.format = LatestFormat
	s.configureStateMachines()
	if before >= formatRollout {
		return
	}
	names := map[uint64]string{}
	for _, m := range s.members {
		names[m.ID] = m.Name
	}
	s.rollout.AddUnleasedSessions(names)
}
