package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

var names = KnownNames{Classes: []string{"trip-book", "once"}, Tenants: []string{"muscat"}}

// What makes no sense is refused with its key, and what to do.
func TestWordsThatMakeNoSense(t *testing.T) {
	for text, want := range map[string]string{
		"30 6 * * MON class=trip-book":                          "its zone is not given",
		"30 6 * * MON zone=Asia/Muscat":                         "its class is not given: class=trip-book",
		"30 6 * * MON zone=Asia/Muscat class=x":                 "there is no such class; trip-book, once",
		"30 6 * * MON zone=Asia/Muscat class=once tenant=y":     "there is no such tenant",
		"30 26 * * MON zone=Asia/Muscat class=once":             "above maximum",
		"30 6 31 4 * zone=Asia/Muscat class=once":               "never comes",
		"30 6 * * * zone=Asia/Muscat class=once gap=no":         "after, shift, skip are possible",
		"30 6 * * * zone=Asia/Muscat class=once late=1000h":     "is not a time from 1s to 168h",
		"30 6 * * * zone=Asia/Muscat class=once path=x":         "does not begin with /",
		"30 6 * * * zone=Asia/Muscat class=once colour=red":     "colour= is no word of a trigger",
		"30 6 * * * zone=Asia/Muscat class=once interval=solar": "elapsed, wall are possible",
	} {
		_, wrong := ParsePolicy(map[string]string{"trigger.a": text}, names)
		if len(wrong) != 1 || !strings.HasPrefix(wrong[0], "trigger.a: ") ||
			!strings.Contains(wrong[0], want) {
			t.Errorf("%q: %v; wanted %q", text, wrong, want)
		}
	}
	for _, v := range []map[string]string{{"zones": "x"}, {"bound": "1ms"}, {"tigger.a": "x"},
		{"trigger.a@b": "0 0 * * * zone=UTC class=once"}} {
		if _, wrong := ParsePolicy(v, names); len(wrong) != 1 {
			t.Errorf("%v: %v", v, wrong)
		}
	}
	p, wrong := ParsePolicy(map[string]string{"zone": "UTC",
		"trigger.a": "0 6 * * * class=once body={\"to\": 1 }"}, names)
	if len(wrong) > 0 || p.Triggers[0].Body != "{\"to\": 1 }" || p.Triggers[0].Expression != "0 6 * * *" {
		t.Errorf("%+v %v", p, wrong)
	}
}

// world is one instance that owns all shards.
type world struct {
	*State
	owner *Scheduler
	seat  Session
	mono  time.Duration
}

func newWorld(t *testing.T, zones *calendar.ZoneDB, words map[string]string, from int64) *world {
	w := &world{State: NewState(), owner: NewScheduler(zones), seat: Session{Member: 1, Epoch: 1}}
	w.SetOwners([]placement.Member{{Session: w.seat, Name: "n1"}})
	w.words(t, words, from)
	return w
}

func (w *world) words(t *testing.T, words map[string]string, now int64) {
	t.Helper()
	p, wrong := ParsePolicy(words, names)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	w.Configure(&p)
	w.owner.Configure(&p)
	err := w.Apply(
		Command{
			Kind:             DeclarePolicy,
			PolicyVersion:    p.Version,
			ZoneRulesVersion: w.owner.ZoneRulesVersion(),
			ClusterTime:      now,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
}

// look has the owner look at a time, and the group agree on what it says.
func (w *world) look(now int64) (keys []string) {
	w.mono += time.Second / 2
	v := Input{Now: w.mono, ClusterTime: now, Session: w.seat, LeaseDuration: time.Second,
		Retryable: func(*Trigger, time.Duration) bool { return true }}
	for _, c := range w.owner.Evaluate(w.State, v) {
		_ = w.Apply(c)
	}
	for _, i := range w.TakeNewFirings(w.seat, false) {
		keys = append(keys, i.IdempotencyKey())
	}
	return keys
}

func unix(text string) int64 {
	t, err := time.Parse("2006-01-02T15:04Z", text)
	if err != nil {
		panic(err)
	}
	return t.Unix()
}

// A place moves its clocks for good: what is not yet due moves, and what was fired does not come again an
// hour later.
func TestNewZoneRulesRepeatNothing(t *testing.T) {
	words := map[string]string{"zone": "Asia/Muscat", "trigger.a": "30 6 * * * class=once late=1h",
		"trigger.b": "0 7 * * * class=once", "trigger.c": "30 7 * * * class=once"}
	before := calendar.NewZoneDBWithLoader(func(string) (*time.Location, error) {
		return time.FixedZone("Asia/Muscat", 4*3600), nil
	})
	after := calendar.NewZoneDBWithLoader(func(string) (*time.Location, error) {
		return time.FixedZone("Asia/Muscat", 3*3600), nil
	})
	w := newWorld(t, before, words, unix("2026-06-01T00:00Z"))
	got := fmt.Sprint(w.look(unix("2026-06-01T03:10Z"))) // it is 07:10 there
	if !strings.Contains(got, "a@2026-06-01T06:30") || !strings.Contains(got, "b@2026-06-01T07:00") {
		t.Fatal(got)
	}
	// The program is renewed, with rules by which it is 06:10.
	w.owner = NewScheduler(after)
	w.words(t, words, unix("2026-06-01T03:10Z"))
	for _, c := range [][2]string{{"03:35", "[]"}, {"04:05", "[]"}, {"04:35", "[c@2026-06-01T07:30]"}} {
		if got := fmt.Sprint(w.look(unix("2026-06-01T" + c[0] + "Z"))); got != c[1] {
			t.Errorf("by the new rules, at %s: %s; wanted %s", c[0], got, c[1])
		}
	}
	if w.LastNumber != 3 {
		t.Errorf("%d were intended, the day has three", w.LastNumber)
	}
}

// A trigger that is changed begins anew with the change; one that is paused leaves out what comes
// meanwhile; one that is added, or comes back, makes nothing up for.
func TestChangesOfTriggers(t *testing.T) {
	words := map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once"}
	w := newWorld(t, calendar.NewZoneDB(), words, unix("2026-06-01T00:30Z"))
	if got := fmt.Sprint(w.look(unix("2026-06-01T01:00Z"))); got != "[a@2026-06-01T01:00]" {
		t.Fatal(got)
	}
	w.words(t, map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once paused=yes",
		"trigger.b": "0 * * * * class=once"}, unix("2026-06-01T01:30Z"))
	if got := fmt.Sprint(w.look(unix("2026-06-01T02:00Z"))); got != "[b@2026-06-01T02:00]" {
		t.Fatal(got)
	}
	w.words(t, words, unix("2026-06-01T02:30Z"))
	if got := fmt.Sprint(w.look(unix("2026-06-01T03:00Z"))); got != "[a@2026-06-01T03:00]" {
		t.Fatal(got)
	}
	if len(w.OpenFirings()) != 3 {
		t.Error("what was intended goes on, whatever becomes of its trigger")
	}
}

// What was missed comes late within its trigger's bound, or the last of it only; a fleet's clock that
// leaps forward makes nothing late.
func TestWhatWasMissed(t *testing.T) {
	words := map[string]string{"zone": "UTC", "trigger.a": "*/10 * * * * class=once late=30m",
		"trigger.b": "*/10 * * * * class=once late=1h missed=last",
		"trigger.c": "*/10 * * * * class=once late=1s"}
	w := newWorld(t, calendar.NewZoneDB(), words, unix("2026-06-01T00:05Z"))
	got := fmt.Sprint(w.look(unix("2026-06-01T01:05Z")))
	want := "a@2026-06-01T00:40 a@2026-06-01T00:50 a@2026-06-01T01:00"
	if !strings.Contains(got, want) || !strings.Contains(got, "b@2026-06-01T01:00") || len(got) != 4*19+2-1 {
		t.Errorf("after a night: %s; wanted %s and b's last", got, want)
	}
	if w.ResultCounts[Missed] != 3+5+6 {
		t.Errorf("%d were passed over", w.ResultCounts[Missed])
	}
	if got := w.look(unix("2026-06-01T01:25Z")); len(got) != 6 {
		t.Errorf("after a leap of 20 minutes: %v", got)
	}
}

// Only who has an occurrence gives it back: the word of a session that had it before, which comes late, would
// have another fire what is out.
func TestOnlyItsHolderGivesBack(t *testing.T) {
	words := map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once"}
	w := newWorld(t, calendar.NewZoneDB(), words, unix("2026-06-01T00:30Z"))
	w.look(unix("2026-06-01T01:00Z"))
	first := w.seat
	number := w.OpenFirings()[0].Number
	// Its session ends, and the next one takes the occurrence over.
	w.OrphanFirings(func(s Session) bool { return s == first })
	w.seat = Session{Member: first.Member, Epoch: first.Epoch + 1}
	w.SetOwners([]placement.Member{{Session: w.seat}})
	w.look(unix("2026-06-01T01:01Z"))
	if i, ok := w.OpenFiring(number); !ok || i.Session != w.seat || i.Orphaned {
		t.Fatalf("%+v is not taken over", i)
	}
	for _, result := range []Result{Released, Succeeded, Failed} {
		_ = w.Apply(
			Command{
				Kind:    RecordResults,
				Session: first,
				Numbers: []uint64{number},
				Results: []Result{result},
			},
		)
		if i, ok := w.OpenFiring(number); !ok || i.Orphaned {
			t.Errorf("the word of who had it before, %v, counts: %+v", result, i)
		}
	}
	_ = w.Apply(
		Command{Kind: RecordResults, Session: w.seat, Numbers: []uint64{number}, Results: []Result{Released}},
	)
	if i, _ := w.OpenFiring(number); !i.Orphaned || !i.NeverStarted {
		t.Errorf("its holder does not give it back: %+v", i)
	}
}
