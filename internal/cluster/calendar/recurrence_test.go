package calendar

import (
	"strings"
	"testing"
	"time"
)

func mustLookup(t testing.TB, name string) *Zone {
	t.Helper()
	z, err := NewZoneDB().Lookup(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

func unix(text string) int64 {
	t, err := time.Parse("2006-01-02T15:04Z", text)
	if err != nil {
		panic(err)
	}
	return t.Unix()
}

// occurrenceCases give the occurrences after an instant, in order, around clock changes and missing days that
// have caused errors.
var occurrenceCases = []struct {
	name, zone, expression string
	rules                  Rules
	after                  string
	want                   []string // instant and local time of each
}{
	{"clocks go forward", "Europe/Berlin", "30 2 * * *", Rules{}, "2026-03-28T12:00Z",
		[]string{"2026-03-29T01:00Z 2026-03-29T02:30", "2026-03-30T00:30Z 2026-03-30T02:30"}},
	{"occurrence shifted by the length of the gap", "Europe/Berlin", "30 2 * * *", Rules{Gap: ShiftGap},
		"2026-03-28T12:00Z",
		[]string{"2026-03-29T01:30Z 2026-03-29T02:30"}},
	{"occurrence in the gap skipped", "Europe/Berlin", "30 2 * * *", Rules{Gap: SkipGap}, "2026-03-28T12:00Z",
		[]string{"2026-03-30T00:30Z 2026-03-30T02:30"}},
	{"shifted occurrence coincides with a regular one", "Europe/Berlin", "*/30 * * * *", Rules{Gap: ShiftGap},
		"2026-03-29T00:29Z",
		[]string{"2026-03-29T00:30Z 2026-03-29T01:30", "2026-03-29T01:00Z 2026-03-29T03:00",
			"2026-03-29T01:30Z 2026-03-29T03:30"}},
	{"first of two identical local times", "Europe/Berlin", "30 2 * * *", Rules{}, "2026-10-24T12:00Z",
		[]string{"2026-10-25T00:30Z 2026-10-25T02:30", "2026-10-26T01:30Z 2026-10-26T02:30"}},
	{"second of two identical local times", "Europe/Berlin", "30 2 * * *", Rules{Fold: SecondFold},
		"2026-10-24T12:00Z",
		[]string{"2026-10-25T01:30Z 2026-10-25T02:30~2"}},
	{"both identical local times", "Europe/Berlin", "0,30 2 * * *", Rules{Fold: BothFolds},
		"2026-10-24T12:00Z",
		[]string{"2026-10-25T00:00Z 2026-10-25T02:00", "2026-10-25T00:30Z 2026-10-25T02:30",
			"2026-10-25T01:00Z 2026-10-25T02:00~2", "2026-10-25T01:30Z 2026-10-25T02:30~2"}},
	{"clock change of half an hour", "Australia/Lord_Howe", "45 1 * * *", Rules{Fold: BothFolds},
		"2026-04-04T00:00Z", []string{"2026-04-04T14:45Z 2026-04-05T01:45",
			"2026-04-04T15:15Z 2026-04-05T01:45~2"}},
	{"clock change at midnight", "Africa/Cairo", "0 0 * * *", Rules{}, "2026-04-23T12:00Z",
		[]string{"2026-04-23T22:00Z 2026-04-24T00:00", "2026-04-24T21:00Z 2026-04-25T00:00"}},
	{"clock change at midnight", "Asia/Beirut", "15 0 * * *", Rules{Gap: ShiftGap}, "2026-03-28T12:00Z",
		[]string{"2026-03-28T22:15Z 2026-03-29T00:15"}},
	{"skipped day", "Pacific/Apia", "0 9 * * *", Rules{}, "2011-12-29T12:00Z",
		[]string{"2011-12-29T19:00Z 2011-12-29T09:00", "2011-12-30T10:00Z 2011-12-30T09:00",
			"2011-12-30T19:00Z 2011-12-31T09:00"}},
	{"skipped day", "Pacific/Apia", "0 9 30 12 *", Rules{Gap: SkipGap}, "2011-01-01T12:00Z",
		[]string{"2012-12-29T19:00Z 2012-12-30T09:00"}},
	{"negative daylight-saving time", "Europe/Dublin", "30 1 * * *", Rules{Fold: BothFolds},
		"2026-10-24T12:00Z", []string{"2026-10-25T00:30Z 2026-10-25T01:30",
			"2026-10-25T01:30Z 2026-10-25T01:30~2"}},
	{"suspension of daylight-saving time in Ramadan", "Africa/Casablanca", "30 2 * * *", Rules{},
		"2026-02-14T12:00Z",
		[]string{"2026-02-15T01:30Z 2026-02-15T02:30", "2026-02-16T02:30Z 2026-02-16T02:30"}},
	{"29 February", "Asia/Muscat", "0 6 29 2 *", Rules{}, "2026-01-01T00:00Z",
		[]string{"2028-02-29T02:00Z 2028-02-29T06:00", "2032-02-29T02:00Z 2032-02-29T06:00"}},
	{"29 February", "Asia/Muscat", "0 6 29 2 *", Rules{LeapDay: LastDay}, "2026-01-01T00:00Z",
		[]string{"2026-02-28T02:00Z 2026-02-29T06:00", "2027-02-28T02:00Z 2027-02-29T06:00",
			"2028-02-29T02:00Z 2028-02-29T06:00"}},
	{"29 February", "Asia/Muscat", "0 6 29 2 *", Rules{LeapDay: NextDay}, "2027-01-01T00:00Z",
		[]string{"2027-03-01T02:00Z 2027-02-29T06:00", "2028-02-29T02:00Z 2028-02-29T06:00"}},
	{"century year without leap day", "UTC", "0 6 29 2 *", Rules{}, "2096-03-01T00:00Z",
		[]string{"2104-02-29T06:00Z 2104-02-29T06:00"}},
	{"century year with leap day", "UTC", "0 6 29 2 *", Rules{}, "1999-03-01T00:00Z",
		[]string{"2000-02-29T06:00Z 2000-02-29T06:00"}},
	{"missing days of short months", "UTC", "0 6 30,31 * *", Rules{ShortMonth: LastDay},
		"2026-01-31T12:00Z",
		[]string{"2026-02-28T06:00Z 2026-02-30T06:00", "2026-03-30T06:00Z 2026-03-30T06:00",
			"2026-03-31T06:00Z 2026-03-31T06:00", "2026-04-30T06:00Z 2026-04-30T06:00"}},
	{"last day of the month", "UTC", "0 6 L * *", Rules{}, "2027-12-31T12:00Z",
		[]string{"2028-01-31T06:00Z 2028-01-31T06:00", "2028-02-29T06:00Z 2028-02-29T06:00",
			"2028-03-31T06:00Z 2028-03-31T06:00", "2028-04-30T06:00Z 2028-04-30T06:00"}},
	{"first and last day of the month", "UTC", "0 6 1,L 2 *", Rules{}, "2027-01-01T12:00Z",
		[]string{"2027-02-01T06:00Z 2027-02-01T06:00", "2027-02-28T06:00Z 2027-02-28T06:00"}},
	{"interval in elapsed time", "Europe/Berlin", "@every 90m", Rules{}, "2026-03-29T00:00Z",
		[]string{"2026-03-29T01:30Z 2026-03-29T01:30", "2026-03-29T03:00Z 2026-03-29T03:00"}},
	{"interval on the wall clock", "Europe/Berlin", "@every 90m", Rules{WallClockIntervals: true},
		"2026-03-29T00:00Z",
		[]string{"2026-03-29T00:30Z 2026-03-29T01:30", "2026-03-29T01:00Z 2026-03-29T03:00",
			"2026-03-29T02:30Z 2026-03-29T04:30"}},
	{"with seconds", "UTC", "*/20 * * * * *", Rules{}, "2026-03-29T00:00Z",
		[]string{"2026-03-29T00:00Z 2026-03-29T00:00:20", "2026-03-29T00:00Z 2026-03-29T00:00:40"}},
}

func TestOccurrencesAroundClockChangesAndMissingDays(t *testing.T) {
	for _, c := range occurrenceCases {
		t.Run(c.name+" in "+c.zone, func(t *testing.T) {
			r, err := Parse(c.expression, mustLookup(t, c.zone), c.rules)
			if err != nil {
				t.Fatal(err)
			}
			after := unix(c.after)
			for _, want := range c.want {
				o, ok := r.Next(after)
				got := time.Unix(o.At, 0).UTC().Format("2006-01-02T15:04Z ") + o.LocalTime.String()
				if !ok || got != want {
					t.Errorf("%s: got %s, %v, want %s", c.expression, got, ok, want)
				}
				if wall := r.Zone().WallClock(o.At); wall != o.WallClock && r.intervalSeconds == 0 {
					t.Errorf("Zone.WallClock is %d, but Occurrence.WallClock is %d", wall, o.WallClock)
				}
				after = o.At
			}
		})
	}
}

func TestInvalidExpressionsAndZonesAreRejected(t *testing.T) {
	for expression, want := range map[string]string{
		"":                       "there is no expression",
		"30 6 * *":               "expected 5 to 6 fields",
		"61 * * * *":             "above maximum",
		"0 6 30 2 *":             "never comes",
		"0 6 31 4,6 *":           "never comes",
		"TZ=Europe/Berlin * * *": "zone=",
		"@every 10000h":          "too long",
		"@fortnightly":           "unrecognized descriptor",
		"0 6 * * MON-":           "failed to parse",
	} {
		if _, err := Parse(expression, UTC(), Rules{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", expression, err, want)
		}
	}
	// With a rule for missing days, the expression has occurrences.
	if _, err := Parse("0 6 30 2 *", UTC(), Rules{ShortMonth: LastDay}); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"", "Local", "Mars/Olympus", "../etc/passwd"} {
		if _, err := NewZoneDB().Lookup(name); err == nil {
			t.Errorf("zone name %q was accepted", name)
		}
	}
}

// Equal rules have equal versions, and different rules have different versions.
func TestRulesVersionDependsOnTheRulesOnly(t *testing.T) {
	a, b := NewZoneDB(), NewZoneDB()
	names := []string{"Europe/Berlin", "Asia/Muscat"}
	if a.RulesVersion(names) != b.RulesVersion([]string{"Asia/Muscat", "Europe/Berlin"}) {
		t.Error("the version depends on the order of the zone names")
	}
	other := NewZoneDBWithLoader(func(name string) (*time.Location, error) {
		if name == "Asia/Muscat" {
			return time.FixedZone(name, 3*3600), nil
		}
		return time.LoadLocation(name)
	})
	if a.RulesVersion(names) == other.RulesVersion(names) {
		t.Error("different rules have the same version")
	}
}
