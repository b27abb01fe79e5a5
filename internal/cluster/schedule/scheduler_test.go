package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/placement"
)

// singleInstanceGroup is a group with a single instance, which owns all shards.
type singleInstanceGroup struct {
	*State
	scheduler *Scheduler
	session   Session
	now       time.Duration
}

func newSingleInstanceGroup(t *testing.T, zones *calendar.ZoneDB, values map[string]string,
	clusterTime int64) *singleInstanceGroup {
	t.Helper()
	o := &singleInstanceGroup{State: NewState(), scheduler: NewScheduler(zones),
		session: Session{Member: 1, Epoch: 1}}
	o.SetOwners([]placement.Member{{Session: o.session, Name: "n1"}})
	o.setPolicy(t, values, clusterTime)
	return o
}

// setPolicy applies a policy and the command that declares it.
func (o *singleInstanceGroup) setPolicy(t *testing.T, values map[string]string, clusterTime int64) {
	t.Helper()
	p := mustParsePolicy(t, values, testKnownNames)
	o.Configure(&p)
	o.scheduler.Configure(&p)
	err := o.Apply(Command{Kind: DeclarePolicy, PolicyVersion: p.Version,
		ZoneRulesVersion: o.scheduler.ZoneRulesVersion(), ClusterTime: clusterTime})
	if err != nil {
		t.Fatal(err)
	}
}

// evaluate applies the commands that the scheduler proposes at a cluster time and returns the keys of the new
// firings.
func (o *singleInstanceGroup) evaluate(clusterTime int64) (keys []string) {
	o.now += time.Second / 2
	in := Input{Now: o.now, ClusterTime: clusterTime, Session: o.session, LeaseDuration: time.Second,
		Retryable: func(*Trigger, time.Duration) bool { return true }}
	for _, c := range o.scheduler.Evaluate(o.State, in) {
		_ = o.Apply(c)
	}
	for _, f := range o.PopNewFirings(o.session, false) {
		keys = append(keys, f.IdempotencyKey())
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

// fixedZones returns zone rules in which every zone has the same offset.
func fixedZones(offset time.Duration) *calendar.ZoneDB {
	return calendar.NewZoneDBWithLoader(func(name string) (*time.Location, error) {
		return time.FixedZone(name, int(offset/time.Second)), nil
	})
}

// When new zone rules set the clocks back for good, occurrences that are not due yet move, and those that
// were fired are not fired again an hour later.
func TestNewZoneRulesRepeatNothing(t *testing.T) {
	values := map[string]string{"zone": "Asia/Muscat", "trigger.a": "30 6 * * * class=once late=1h",
		"trigger.b": "0 7 * * * class=once", "trigger.c": "30 7 * * * class=once"}
	o := newSingleInstanceGroup(t, fixedZones(4*time.Hour), values, unix("2026-06-01T00:00Z"))
	got := fmt.Sprint(o.evaluate(unix("2026-06-01T03:10Z"))) // 07:10 in local time
	if !strings.Contains(got, "a@2026-06-01T06:30") || !strings.Contains(got, "b@2026-06-01T07:00") {
		t.Fatal(got)
	}
	// The program is restarted with rules that make the local time 06:10.
	o.scheduler = NewScheduler(fixedZones(3 * time.Hour))
	o.setPolicy(t, values, unix("2026-06-01T03:10Z"))
	for _, c := range []struct{ at, want string }{
		{"2026-06-01T03:35Z", "[]"},
		{"2026-06-01T04:05Z", "[]"},
		{"2026-06-01T04:35Z", "[c@2026-06-01T07:30]"},
	} {
		if got := fmt.Sprint(o.evaluate(unix(c.at))); got != c.want {
			t.Errorf("with the new rules, at %s: got %s, want %s", c.at, got, c.want)
		}
	}
	if o.LastNumber != 3 {
		t.Errorf("%d occurrences were intended, want 3", o.LastNumber)
	}
}

// A changed trigger fires only occurrences after the change, and a paused one fires none. A trigger that is
// added or resumed does not catch up.
func TestChangedTriggerBeginsWithTheChange(t *testing.T) {
	values := map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once"}
	o := newSingleInstanceGroup(t, calendar.NewZoneDB(), values, unix("2026-06-01T00:30Z"))
	if got := fmt.Sprint(o.evaluate(unix("2026-06-01T01:00Z"))); got != "[a@2026-06-01T01:00]" {
		t.Fatal(got)
	}
	o.setPolicy(t, map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once paused=yes",
		"trigger.b": "0 * * * * class=once"}, unix("2026-06-01T01:30Z"))
	if got := fmt.Sprint(o.evaluate(unix("2026-06-01T02:00Z"))); got != "[b@2026-06-01T02:00]" {
		t.Fatal(got)
	}
	o.setPolicy(t, values, unix("2026-06-01T02:30Z"))
	if got := fmt.Sprint(o.evaluate(unix("2026-06-01T03:00Z"))); got != "[a@2026-06-01T03:00]" {
		t.Fatal(got)
	}
	if len(o.OpenFirings()) != 3 {
		t.Error("want 3 open firings: changes of a trigger must not affect what was intended before")
	}
}

// Occurrences that could not be fired in time are fired later within the trigger's starting deadline; with
// missed=last, only the last of them is. A forward jump of the cluster time makes no occurrence late.
func TestMissedOccurrencesAreFiredWithinTheStartingDeadline(t *testing.T) {
	values := map[string]string{"zone": "UTC", "trigger.a": "*/10 * * * * class=once late=30m",
		"trigger.b": "*/10 * * * * class=once late=1h missed=last",
		"trigger.c": "*/10 * * * * class=once late=1s"}
	o := newSingleInstanceGroup(t, calendar.NewZoneDB(), values, unix("2026-06-01T00:05Z"))
	got := fmt.Sprint(o.evaluate(unix("2026-06-01T01:05Z")))
	want := "a@2026-06-01T00:40 a@2026-06-01T00:50 a@2026-06-01T01:00"
	if !strings.Contains(got, want) || !strings.Contains(got, "b@2026-06-01T01:00") || len(got) != 4*19+2-1 {
		t.Errorf("after an hour: got %s, want %s and the last of b", got, want)
	}
	if o.ResultCounts[Missed] != 3+5+6 {
		t.Errorf("%d occurrences were missed, want 14", o.ResultCounts[Missed])
	}
	if got := o.evaluate(unix("2026-06-01T01:25Z")); len(got) != 6 {
		t.Errorf("after a jump of 20 minutes: got %v, want 6 firings", got)
	}
}

// Only the session that a firing belongs to can release it. If a late command of its former session could,
// the job would be sent again while it is in flight.
func TestOnlyTheFiringSessionReleases(t *testing.T) {
	values := map[string]string{"zone": "UTC", "trigger.a": "0 * * * * class=once"}
	o := newSingleInstanceGroup(t, calendar.NewZoneDB(), values, unix("2026-06-01T00:30Z"))
	o.evaluate(unix("2026-06-01T01:00Z"))
	first := o.session
	number := o.OpenFirings()[0].Number
	// The session ends, and the instance's next session adopts the firing.
	o.OrphanFirings(func(s Session) bool { return s == first })
	o.session = Session{Member: first.Member, Epoch: first.Epoch + 1}
	o.SetOwners([]placement.Member{{Session: o.session}})
	o.evaluate(unix("2026-06-01T01:01Z"))
	if f, ok := o.OpenFiring(number); !ok || f.Session != o.session || f.Orphaned {
		t.Fatalf("firing was not adopted: %+v", f)
	}
	for _, result := range []Result{Released, Succeeded, Failed} {
		_ = o.Apply(Command{Kind: RecordResults, Session: first, Numbers: []uint64{number},
			Results: []Result{result}})
		if f, ok := o.OpenFiring(number); !ok || f.Orphaned {
			t.Errorf("the former session's result %v took effect: %+v", result, f)
		}
	}
	_ = o.Apply(Command{Kind: RecordResults, Session: o.session, Numbers: []uint64{number},
		Results: []Result{Released}})
	if f, _ := o.OpenFiring(number); !f.Orphaned || !f.NeverStarted {
		t.Errorf("its own session could not release the firing: %+v", f)
	}
}
