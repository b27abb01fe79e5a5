package compat

import (
	"archive/zip"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/robfig/cron/v3"

	"moorstack/internal/cluster/calendar"
)

const secondsPerDay = 24 * 60 * 60

func set(list ...int) map[int]bool {
	m := map[int]bool{}
	for _, n := range list {
		m[n] = true
	}
	return m
}

// expressions lists cron expressions and the scanners that match the same times.
var expressions = []struct {
	cron    string
	scanner minuteScanner
}{
	{"30 2 * * *", minuteScanner{minutes: set(30), hours: set(2)}},
	{everyQuarterHour, minuteScanner{minutes: set(0, 15, 30, 45)}},
	{"0 0 * * *", minuteScanner{minutes: set(0), hours: set(0)}},
	{"45 0,1,3,23 * * 0,1,6", minuteScanner{minutes: set(45), hours: set(0, 1, 3, 23),
		weekdays: set(0, 1, 6)}},
	{"10 1 1,29,30 * 5", minuteScanner{minutes: set(10), hours: set(1), days: set(1, 29, 30),
		weekdays: set(5)}},
}

const everyQuarterHour = "*/15 * * * *"

var ruleSets = []calendar.Rules{{}, {Gap: calendar.ShiftGap, Fold: calendar.BothFolds},
	{Gap: calendar.SkipGap, Fold: calendar.SecondFold}}

// unusualZones are always compared because of their unusual clock changes.
var unusualZones = []string{"Africa/Cairo", "Africa/Casablanca", "Africa/Monrovia", "Asia/Beirut",
	"Australia/Lord_Howe", "Europe/Dublin", "Pacific/Apia", "Europe/Berlin"}

func mustLookup(t testing.TB, name string) *calendar.Zone {
	t.Helper()
	zone, err := calendar.NewZoneDB().Lookup(name)
	if err != nil {
		t.Fatal(err)
	}
	return zone
}

func mustParse(t testing.TB, expression string, zone *calendar.Zone,
	rules calendar.Rules) *calendar.Recurrence {
	t.Helper()
	r, err := calendar.Parse(expression, zone, rules)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func unixDate(year int, month time.Month, day int) int64 {
	return time.Date(year, month, day, 0, 0, 0, 0, time.UTC).Unix()
}

// distinctZones returns one zone of the tz database for each different history of offsets since 1970.
func distinctZones(t *testing.T) []*time.Location {
	t.Helper()
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(strings.TrimSpace(string(root)), "lib", "time", "zoneinfo.zip")
	z, err := zip.OpenReader(path)
	if err != nil {
		t.Skipf("the list of zones can't be read: %v", err)
	}
	defer z.Close()
	seen := map[string]bool{}
	var list []*time.Location
	for _, f := range z.File {
		if strings.HasSuffix(f.Name, "/") {
			continue
		}
		loc, err := time.LoadLocation(f.Name)
		if err != nil {
			continue
		}
		key := fmt.Sprint(offsetChanges(mustLookup(t, f.Name)))
		if !seen[key] {
			seen[key] = true
			list = append(list, loc)
		}
	}
	return list
}

// offsetChanges returns the instants from 1970 to 2040 at which a zone's offset changes. It finds them by
// searching, independently of the zone's list of periods.
func offsetChanges(zone *calendar.Zone) (list []int64) {
	const step = 6 * 3600
	offset := func(at int64) int64 { return zone.WallClock(at) - at }
	for at, end := int64(0), unixDate(2040, 1, 1); at < end; at += step {
		before := offset(at)
		if before == offset(at+step) {
			continue
		}
		lo, hi := at, at+step
		for hi-lo > 1 {
			if mid := (lo + hi) / 2; offset(mid) == before {
				lo = mid
			} else {
				hi = mid
			}
		}
		list = append(list, hi)
	}
	return list
}

// span is a time span [from, to), in Unix seconds.
type span struct{ from, to int64 }

// spansToCompare returns the days around each change of a zone's offset or, with allMinutes, all years.
func spansToCompare(zone *calendar.Zone, allMinutes bool) (spans []span) {
	if allMinutes {
		for year := 1970; year < 2040; year++ {
			spans = append(spans, span{unixDate(year, 1, 1), unixDate(year+1, 1, 1)})
		}
		return spans
	}
	const around = 2 * secondsPerDay
	for _, at := range offsetChanges(zone) {
		at -= at % 60
		spans = append(spans, span{at - around, at + around})
	}
	return spans
}

// scanComparison compares recurrences with a scanner. It is safe for concurrent use.
type scanComparison struct {
	t                 *testing.T
	all               bool // compare all expressions in each span instead of one in ten
	minutes, compared atomic.Int64
}

// compareZone compares the occurrences in the spans of a zone and stops at the first difference.
func (c *scanComparison) compareZone(loc *time.Location, zone *calendar.Zone, spans []span) {
	for k, sp := range spans {
		for j, x := range expressions {
			if !c.all && (j+k)%(2*len(expressions)) != 0 {
				continue
			}
			for _, rules := range ruleSets {
				scanner := x.scanner
				scanner.rules = rules
				want := scanner.scan(loc, sp.from, sp.to)
				recurrence, err := calendar.Parse(x.cron, zone, rules)
				if err != nil {
					c.t.Error(err)
					return
				}
				c.minutes.Add((sp.to - sp.from) / 60)
				c.compared.Add(int64(len(want)))
				if difference := compareOccurrences(recurrence, want, sp); difference != "" {
					c.t.Errorf("%s, %q, %+v: %s", loc, x.cron, rules, difference)
					return
				}
			}
		}
	}
}

// compareOccurrences describes the first difference between a recurrence's occurrences in a span and the
// wanted ones. It returns an empty string if there is none.
func compareOccurrences(r *calendar.Recurrence, want []scannedOccurrence, sp span) string {
	at := sp.from - 1
	for n := 0; ; n++ {
		o, ok := r.Next(at)
		if !ok || o.At >= sp.to {
			if n < len(want) {
				return fmt.Sprintf("%s at %d is missing", want[n].localTime, want[n].at)
			}
			return ""
		}
		local := strings.TrimSuffix(o.LocalTime.String(), "~2")
		got := scannedOccurrence{o.At, local, o.LocalTime.InSecondFold()}
		if n >= len(want) {
			return fmt.Sprintf("unexpected %+v", got)
		}
		if got != want[n] {
			return fmt.Sprintf("got %+v, want %+v", got, want[n])
		}
		at = o.At
	}
}

// Around every change of a zone's offset from 1970 to 2040, package calendar finds the same occurrences as a
// scan of every minute. By default the test compares a subset of the zones; VERSUS=all compares all zones,
// and VERSUS=minutes every minute of all zones.
func TestCalendarAgainstAMinuteScanner(t *testing.T) {
	mode := os.Getenv("VERSUS")
	c := scanComparison{t: t, all: mode != ""}
	zones := distinctZones(t)
	running := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for n, loc := range zones {
		if mode == "" && n%80 != 0 && !slices.Contains(unusualZones, loc.String()) {
			continue
		}
		zone := mustLookup(t, loc.String())
		spans := spansToCompare(zone, mode == "minutes")
		wg.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			c.compareZone(loc, zone, spans)
		})
	}
	wg.Wait()
	t.Logf("%d distinct zones, %d minutes scanned, %d occurrences compared", len(zones), c.minutes.Load(),
		c.compared.Load())
	if c.compared.Load() < 10_000 {
		t.Error("fewer than 10000 occurrences were compared")
	}
}

func BenchmarkNext(b *testing.B) {
	for _, expression := range []string{"30 6 * * 1,3,5", "* * * * *", "0 6 29 2 *"} {
		loc, err := time.LoadLocation("Europe/Berlin")
		if err != nil {
			b.Fatal(err)
		}
		recurrence := mustParse(b, expression, mustLookup(b, "Europe/Berlin"), calendar.Rules{})
		robfig, err := cron.ParseStandard(expression)
		if err != nil {
			b.Fatal(err)
		}
		begin := time.Date(2026, 1, 1, 0, 0, 0, 0, loc)
		b.Run("calendar/"+expression, func(b *testing.B) {
			at := begin.Unix()
			for b.Loop() {
				o, _ := recurrence.Next(at)
				if at = o.At; at > 2e9 {
					at = begin.Unix()
				}
			}
		})
		b.Run("robfig/"+expression, func(b *testing.B) {
			at := begin
			for b.Loop() {
				if at = robfig.Next(at); at.Unix() > 2e9 {
					at = begin
				}
			}
		})
	}
}
