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

func marshalCommand(t testing.TB, c Command) []byte {
	t.Helper()
	b, err := proto.Marshal(EncodeCommand(c))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func unmarshalCommand(t testing.TB, b []byte) Command {
	t.Helper()
	m := &schema.Change{}
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	return decodeCommand(m.Schedule)
}

// Decoding an encoded command returns an equal command.
func TestCommandIsDecodedAsEncoded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := Command{Kind: CommandKind(rapid.IntRange(1, 4).Draw(r, "kind")),
			ClusterTime:   rapid.Int64Range(0, 1<<33).Draw(r, "cluster time"),
			PolicyVersion: rapid.Uint64().Draw(r, "policy version"),
			Session:       Session{Member: rapid.Uint64().Draw(r, "member"), Epoch: 7}}
		for range rapid.IntRange(0, 5).Draw(r, "advances") {
			c.Advances = append(c.Advances, ShardAdvance{
				Shard:       rapid.IntRange(0, placement.ShardCount-1).Draw(r, "shard"),
				FromVersion: rapid.Uint64().Draw(r, "from version")})
		}
		for range rapid.IntRange(0, 5).Draw(r, "occurrences") {
			at := rapid.Int64Range(0, 1<<33).Draw(r, "at")
			c.Occurrences = append(c.Occurrences, DueOccurrence{
				Trigger:   rapid.IntRange(0, 99_999).Draw(r, "trigger"),
				At:        at,
				LocalTime: calendar.LocalTime(rapid.Uint64Range(0, 1<<50).Draw(r, "local time")),
				WallClock: at + rapid.Int64Range(-86400, 86400).Draw(r, "offset"),
				Missed:    rapid.IntRange(0, 10_000).Draw(r, "missed")})
		}
		for range rapid.IntRange(0, 5).Draw(r, "numbers") {
			c.Numbers = append(c.Numbers, rapid.Uint64Range(0, 1<<60).Draw(r, "number"))
			c.Results = append(c.Results, Result(rapid.IntRange(0, 4).Draw(r, "result")))
		}
		if got := unmarshalCommand(t, marshalCommand(t, c)); !reflect.DeepEqual(got, c) {
			r.Fatalf("got  %+v\nwant %+v", got, c)
		}
	})
}

// manyTriggerGroup is a group of instances that fire many triggers, for measurements of the log's size.
type manyTriggerGroup struct {
	t          testing.TB
	members    []placement.Member
	states     []*State
	schedulers []*Scheduler
	now        time.Duration
	logBytes   int
	firings    int
}

func newManyTriggerGroup(t testing.TB, triggers, instances int, clusterTime int64) *manyTriggerGroup {
	t.Helper()
	values := map[string]string{"zone": "Asia/Muscat"}
	for n := range triggers {
		values[fmt.Sprintf("trigger.standing-%06d", n)] = "* * * * * class=c"
	}
	p := mustParsePolicy(t, values, KnownNames{Classes: []string{"c"}})
	c := &manyTriggerGroup{t: t, now: time.Second}
	for n := range uint64(instances) {
		c.members = append(c.members, placement.Member{Session: Session{Member: n + 1, Epoch: n + 1}})
	}
	zones := calendar.NewZoneDB()
	for range instances {
		state, scheduler := NewState(), NewScheduler(zones)
		state.Configure(&p)
		state.SetOwners(c.members)
		scheduler.Configure(&p)
		c.states, c.schedulers = append(c.states, state), append(c.schedulers, scheduler)
	}
	c.appendCommand(Command{Kind: DeclarePolicy, PolicyVersion: p.Version,
		ZoneRulesVersion: c.schedulers[0].ZoneRulesVersion(), ClusterTime: clusterTime})
	c.logBytes = 0
	return c
}

// appendCommand appends a command to the log and applies it at all instances.
func (c *manyTriggerGroup) appendCommand(command Command) {
	b := marshalCommand(c.t, command)
	c.logBytes += len(b)
	for _, s := range c.states {
		_ = s.Apply(unmarshalCommand(c.t, b))
	}
}

// evaluate lets all instances propose and fire what is due and returns the elapsed time.
func (c *manyTriggerGroup) evaluate(clusterTime int64) time.Duration {
	start := time.Now()
	for n, scheduler := range c.schedulers {
		c.now += time.Millisecond
		session := c.members[n].Session
		for _, command := range scheduler.Evaluate(c.states[n], Input{Now: c.now, ClusterTime: clusterTime,
			Session: session, LeaseDuration: time.Second}) {
			c.appendCommand(command)
		}
		for _, f := range c.states[n].PopNewFirings(session, false) {
			c.firings++
			scheduler.RecordResult(f.Number, session, Succeeded)
		}
	}
	return time.Since(start)
}

// The log grows by at most 64 bytes for each firing, intent and result together, also with many triggers.
func TestBytesOfAFiring(t *testing.T) {
	triggers, instances := 3000, 5
	if os.Getenv("CROWD") != "" {
		triggers = 100_000
	}
	start := time.Date(2026, 3, 1, 0, 0, 30, 0, time.UTC).Unix()
	c := newManyTriggerGroup(t, triggers, instances, start)
	var elapsed time.Duration // for the second minute
	for minute := range int64(2) {
		elapsed = c.evaluate(start + 60*minute + 31)
		elapsed += c.evaluate(start + 60*minute + 32)
	}
	if c.firings != 2*triggers || c.states[0].OpenCount() != 0 ||
		c.states[0].ResultCounts[Succeeded] != uint64(c.firings) {
		t.Errorf("%d firings of %d triggers, %d of them open; want two firings of each trigger, none open",
			c.firings, triggers, c.states[0].OpenCount())
	}
	bytes := float64(c.logBytes) / float64(c.firings)
	t.Logf("%d triggers each minute at %d instances: %.1f log bytes per firing, %v per instance",
		triggers, instances, bytes, elapsed/time.Duration(instances))
	if bytes > 64 {
		t.Errorf("%.1f log bytes per firing, want at most 64", bytes)
	}
}
