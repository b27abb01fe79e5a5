package clusterstate

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/cluster/schedule"
)

// At whatever entry an instance goes on from a snapshot, it comes to the same state as one that never
// did.
func TestTriggersGoOnFromASnapshot(t *testing.T) {
	d := sample(5)
	d.Sections["schedule"] = map[string]string{"zone": "UTC", "trigger.a": "* * * * * class=trip-quote",
		"trigger.b": "* * * * * class=dialysis-book", "trigger.c": "*/2 * * * * class=trip-quote"}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, err := New(Rules{}, "g", d, 0, Member{1, "n1", "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		r := s
		now, version := int64(1_800_000_000), s.Schedule().Policy().Version
		seat := func() schedule.Session {
			x := s.rollout.Sessions[uint64(1+rng.IntN(3))]
			return schedule.Session{Member: x.Member, Epoch: x.Epoch}
		}
		for range 200 {
			if rng.IntN(5) == 0 {
				if r, err = Restore(Rules{}, r.Encode()); err != nil {
					t.Fatal(err)
				}
			}
			now += int64(rng.IntN(60))
			var session rollout.Command
			c := schedule.Command{
				Session:          seat(),
				PolicyVersion:    version,
				ZoneRulesVersion: 1,
				ClusterTime:      now,
			}
			switch rng.IntN(6) {
			case 0:
				session = rollout.Command{Kind: rollout.OpenSession, Member: uint64(1 + rng.IntN(3)),
					Incarnation: rng.Uint64()}
			case 1:
				session = rollout.Command{
					Kind: rollout.ExpireSessions,
					Sessions: []rollout.SessionID{{Member: c.Session.Member,
						Epoch: c.Session.Epoch}},
				}
			case 2:
				c.Kind = schedule.DeclarePolicy
			case 3:
				c.Kind = schedule.RecordResults
				for _, i := range s.Schedule().OpenFirings() {
					c.Session = i.Session
					c.Numbers, c.Results = append(c.Numbers, i.Number), append(c.Results, schedule.Succeeded)
				}
			default:
				c.Kind = schedule.IntendFirings
				for n, trigger := range s.Schedule().Policy().Triggers {
					shard := placement.ShardOf(trigger.Name)
					c.Advances = append(c.Advances, schedule.ShardAdvance{Shard: shard,
						FromVersion: s.Schedule().Shards[shard].Version})
					c.Occurrences = append(
						c.Occurrences,
						schedule.DueOccurrence{Trigger: n, LocalTime: 1000, At: now - 1, WallClock: now - 1},
					)
				}
			}
			for _, x := range []*State{s, r} {
				if session.Kind != rollout.None {
					x.ApplyRollout(session)
				} else {
					_ = x.ApplySchedule(c)
				}
				x.UpdateOwners()
			}
			if !bytes.Equal(s.Encode(), r.Encode()) {
				t.Fatalf("seed %d, after %v %+v:\n%s\n%s", seed, session.Kind, c, s.Encode(), r.Encode())
			}
		}
		if s.Schedule().LastNumber == 0 {
			t.Error("nothing was intended")
		}
	}
}
