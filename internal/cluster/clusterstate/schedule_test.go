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
		seat := func() schedule.Seat {
			x := s.rollout.Sessions[uint64(1+rng.IntN(3))]
			return schedule.Seat{Member: x.Member, Epoch: x.Epoch}
		}
		for range 200 {
			if rng.IntN(5) == 0 {
				if r, err = Restore(Rules{}, r.Encode()); err != nil {
					t.Fatal(err)
				}
			}
			now += int64(rng.IntN(60))
			var session rollout.Command
			c := schedule.Command{Seat: seat(), Version: version, Zones: 1, Now: now}
			switch rng.IntN(6) {
			case 0:
				session = rollout.Command{Kind: rollout.Open, Member: uint64(1 + rng.IntN(3)),
					Nonce: rng.Uint64()}
			case 1:
				session = rollout.Command{Kind: rollout.Lapse, Seats: []rollout.Seat{{Member: c.Seat.Member,
					Epoch: c.Seat.Epoch}}}
			case 2:
				c.Kind = schedule.Declare
			case 3:
				c.Kind = schedule.Settle
				for _, i := range s.Schedule().OpenItems() {
					c.Seat = i.Seat
					c.Numbers, c.Results = append(c.Numbers, i.Number), append(c.Results, schedule.Done)
				}
			default:
				c.Kind = schedule.Intend
				for n, trigger := range s.Schedule().Policy().Triggers {
					shard := placement.ShardOf(trigger.Name)
					c.Steps = append(c.Steps, schedule.Step{Shard: shard,
						Version: s.Schedule().Shards[shard].Version})
					c.Dues = append(c.Dues, schedule.Due{Trigger: n, Name: 1000, At: now - 1, Wall: now - 1})
				}
			}
			for _, x := range []*State{s, r} {
				if session.Kind != rollout.None {
					x.Command(session)
				} else {
					_ = x.Scheduled(c)
				}
				x.Settled()
			}
			if !bytes.Equal(s.Encode(), r.Encode()) {
				t.Fatalf("seed %d, after %v %+v:\n%s\n%s", seed, session.Kind, c, s.Encode(), r.Encode())
			}
		}
		if s.Schedule().Number == 0 {
			t.Error("nothing was intended")
		}
	}
}
