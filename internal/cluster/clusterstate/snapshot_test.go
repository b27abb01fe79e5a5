package clusterstate

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
)

func TestSnapshotRestoresTheSameState(t *testing.T) {
	s := newState(t, Rules{}, sampleDocument(5))
	applyAndCommit(s, Change{ID: "a", BaseRevision: 1, Document: sampleDocument(6), Author: "x", Note: "n",
		ProposedAt: time.UnixMilli(17)})
	applyAndCommit(s, proposal("b", 1, 7))
	s.ApplyMembership([]Member{{2, "n2", "127.0.0.1:2"}}, []uint64{1})
	restored := restoreCopy(t, s)
	if !bytes.Equal(restored.Encode(), s.Encode()) || !restored.WasRemoved(1) {
		t.Fatalf("the restored state is %s, want %s, with member 1 removed", restored.Encode(), s.Encode())
	}
	restoredOutcome, outcome := applyAndCommit(restored, proposal("c", 2, 8)),
		applyAndCommit(s, proposal("c", 2, 8))
	if restoredOutcome.Revision != 3 || outcome.Revision != 3 || !bytes.Equal(restored.Encode(), s.Encode()) {
		t.Errorf("after the same change the states differ: the outcomes are %+v and %+v", restoredOutcome,
			outcome)
	}
	for _, invalidSnapshot := range []string{"", "{}", fmt.Sprintf(`{"format":%d}`, LatestFormat+1),
		`{"format":1,"history":[{"revision":1}]}`,
		strings.Replace(string(s.Encode()), `,"cluster":`, `,"new":1,"cluster":`, 1)} {
		if _, err := Restore(Rules{}, []byte(invalidSnapshot)); err == nil {
			t.Errorf("Restore accepts the invalid snapshot %q", invalidSnapshot)
		}
	}
}

// An instance that restores a snapshot at any log entry must reach the same state as an instance that does
// not restore one.
func TestTriggersContinueFromASnapshot(t *testing.T) {
	d := sampleDocument(5)
	d.Sections["schedule"] = map[string]string{"zone": "UTC", "trigger.a": "* * * * * class=trip-quote",
		"trigger.b": "* * * * * class=dialysis-book", "trigger.c": "*/2 * * * * class=trip-quote"}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newState(t, Rules{}, d)
		restored := s
		now := int64(1_800_000_000)
		for range 200 {
			if rng.IntN(5) == 0 {
				restored = restoreCopy(t, restored)
			}
			now += int64(rng.IntN(60))
			session, command := randomTriggerCommand(rng, s, now)
			for _, x := range []*State{s, restored} {
				if session.Kind != rollout.None {
					x.ApplyRollout(session)
				} else {
					_ = x.Schedule().Apply(command)
				}
				x.UpdateOwners()
			}
			if !bytes.Equal(s.Encode(), restored.Encode()) {
				t.Fatalf("seed %d: the states differ after %v %+v:\n%s\n%s", seed, session.Kind, command,
					s.Encode(), restored.Encode())
			}
		}
		if s.Schedule().LastNumber == 0 {
			t.Error("no firing was intended")
		}
	}
}

// randomTriggerCommand returns a random command for the sessions, or, if that is of the kind None, one for
// the triggers.
func randomTriggerCommand(rng *rand.Rand, s *State, now int64) (rollout.Command, schedule.Command) {
	triggers := s.Schedule().Policy()
	member := s.rollout.Sessions[uint64(1+rng.IntN(3))]
	c := schedule.Command{Session: schedule.Session{Member: member.Member, Epoch: member.Epoch},
		PolicyVersion: triggers.Version, ZoneRulesVersion: 1, ClusterTime: now}
	var session rollout.Command
	switch rng.IntN(6) {
	case 0:
		session = rollout.Command{Kind: rollout.OpenSession, Member: uint64(1 + rng.IntN(3)),
			Incarnation: rng.Uint64()}
	case 1:
		session = rollout.Command{Kind: rollout.ExpireSessions,
			Sessions: []rollout.SessionID{{Member: member.Member, Epoch: member.Epoch}}}
	case 2:
		c.Kind = schedule.DeclarePolicy
	case 3:
		c.Kind = schedule.RecordResults
		for _, firing := range s.Schedule().OpenFirings() {
			c.Session = firing.Session
			c.Numbers, c.Results = append(c.Numbers, firing.Number), append(c.Results, schedule.Succeeded)
		}
	default:
		c.Kind = schedule.IntendFirings
		for n, trigger := range triggers.Triggers {
			shard := placement.ShardOf(trigger.Name)
			c.Advances = append(c.Advances, schedule.ShardAdvance{Shard: shard,
				FromVersion: s.Schedule().Shards[shard].Version})
			c.Occurrences = append(c.Occurrences, schedule.DueOccurrence{Trigger: n, LocalTime: 1000,
				At: now - 1, WallClock: now - 1})
		}
	}
	return session, c
}
