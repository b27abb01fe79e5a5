package schedule

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/schema"
)

func bytesOf(c Command) []byte {
	b, _ := proto.Marshal(EncodeCommand(c))
	return b
}

func commandOf(t testing.TB, b []byte) Command {
	m := &schema.Change{}
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	return decodeCommand(m.Schedule)
}

// What is packed comes out as it was.
func TestScheduleCommandsArePacked(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := Command{Kind: CommandKind(rapid.IntRange(1, 4).Draw(r, "kind")),
			ClusterTime: rapid.Int64Range(
				0,
				1<<33,
			).Draw(
				r,
				"now",
			), PolicyVersion: rapid.Uint64().Draw(r, "version"),
			Session: Session{Member: rapid.Uint64().Draw(r, "member"), Epoch: 7}}
		for range rapid.IntRange(0, 5).Draw(r, "steps") {
			c.Advances = append(
				c.Advances,
				ShardAdvance{Shard: rapid.IntRange(0, placement.ShardCount-1).Draw(r,
					"shard"),
					FromVersion: rapid.Uint64().Draw(r, "of")},
			)
		}
		for range rapid.IntRange(0, 5).Draw(r, "dues") {
			at := rapid.Int64Range(0, 1<<33).Draw(r, "at")
			c.Occurrences = append(
				c.Occurrences,
				DueOccurrence{Trigger: rapid.IntRange(0, 99_999).Draw(r, "trigger"),
					At:        at,
					LocalTime: calendar.LocalTime(rapid.Uint64Range(0, 1<<50).Draw(r, "name")),
					WallClock: at + rapid.Int64Range(-86400, 86400).Draw(r, "offset"),
					Missed:    rapid.IntRange(0, 10_000).Draw(r, "passed")},
			)
		}
		for range rapid.IntRange(0, 5).Draw(r, "numbers") {
			c.Numbers = append(c.Numbers, rapid.Uint64Range(0, 1<<60).Draw(r, "number"))
			c.Results = append(c.Results, Result(rapid.IntRange(0, 4).Draw(r, "result")))
		}
		if got := commandOf(t, bytesOf(c)); !reflect.DeepEqual(got, c) {
			r.Fatalf("%+v\n%+v", got, c)
		}
	})
}

// crowd has owners go through two minutes of triggers that come each minute, and gives the bytes in the
// log for each firing, and how long the deciding and applying at one of them took in the second one.
func crowd(t testing.TB, triggers, instances int) (bytes float64, took time.Duration) {
	words := map[string]string{"zone": "Asia/Muscat"}
	for n := range triggers {
		words[fmt.Sprintf("trigger.standing-%06d", n)] = "* * * * * class=c"
	}
	p, wrong := ParsePolicy(words, KnownNames{Classes: []string{"c"}})
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	zones := calendar.NewZoneDB()
	var members []placement.Member
	var states []*State
	var owners []*Scheduler
	for n := range instances {
		members = append(members, placement.Member{Session: placement.Session{Member: uint64(n + 1),
			Epoch: uint64(n + 1)}})
		states, owners = append(states, NewState()), append(owners, NewScheduler(zones))
	}
	begin := time.Date(2026, 3, 1, 0, 0, 30, 0, time.UTC).Unix()
	log, firings := 0, 0
	agree := func(c Command) {
		b := bytesOf(c)
		log += len(b)
		for _, s := range states {
			_ = s.Apply(commandOf(t, b))
		}
	}
	for n := range states {
		states[n].Configure(&p)
		states[n].SetOwners(members)
		owners[n].Configure(&p)
	}
	agree(
		Command{
			Kind:             DeclarePolicy,
			PolicyVersion:    p.Version,
			ZoneRulesVersion: owners[0].ZoneRulesVersion(),
			ClusterTime:      begin,
		},
	)
	log = 0
	mono := time.Second
	turn := func(now int64) {
		began := time.Now()
		for n, o := range owners {
			mono += time.Millisecond
			seat := members[n].Session
			for _, c := range o.Evaluate(states[n], Input{Now: mono, ClusterTime: now, Session: seat,
				LeaseDuration: time.Second}) {
				agree(c)
			}
			for _, i := range states[n].TakeNewFirings(seat, false) {
				firings++
				o.RecordResult(i.Number, seat, Succeeded)
			}
		}
		took = time.Since(began)
	}
	for minute := range int64(2) {
		turn(begin + 60*minute + 31)
		last := took
		turn(begin + 60*minute + 32)
		took += last
	}
	if firings != 2*triggers || states[0].OpenCount() != 0 ||
		states[0].ResultCounts[Succeeded] != uint64(firings) {
		t.Errorf("%d firings of %d triggers, %d open", firings, triggers, states[0].OpenCount())
	}
	return float64(log) / float64(firings), took / time.Duration(instances)
}

// A firing, its intent and its outcome together, costs few bytes of the log however many there are.
func TestBytesOfAFiring(t *testing.T) {
	triggers := 3000
	if os.Getenv("CROWD") != "" {
		triggers = 100_000
	}
	bytes, took := crowd(t, triggers, 5)
	t.Logf("%d triggers of a minute at 5 instances: %.1f bytes of the log a firing, %v of a processor each",
		triggers, bytes, took)
	if bytes > 64 {
		t.Errorf("%.1f bytes of the log a firing", bytes)
	}
}
