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

func set(list ...int) map[int]bool {
	m := map[int]bool{}
	for _, n := range list {
		m[n] = true
	}
	return m
}

// cases are expressions as both read them.
var cases = []struct {
	expr string
	w    MinuteScanner
}{
	{"30 2 * * *", MinuteScanner{Minutes: set(30), Hours: set(2)}},
	{"*/15 * * * *", MinuteScanner{Minutes: set(0, 15, 30, 45)}},
	{"0 0 * * *", MinuteScanner{Minutes: set(0), Hours: set(0)}},
	{
		"45 0,1,3,23 * * 0,1,6",
		MinuteScanner{Minutes: set(45), Hours: set(0, 1, 3, 23), Weekdays: set(0, 1, 6)},
	},
	{
		"10 1 1,29,30 * 5",
		MinuteScanner{Minutes: set(10), Hours: set(1), Days: set(1, 29, 30), Weekdays: set(5)},
	},
}

var ruleSets = []calendar.Rules{{}, {Gap: calendar.ShiftGap, Fold: calendar.BothFolds},
	{Gap: calendar.SkipGap, Fold: calendar.SecondFold}}

// places are the zones of the tz database that differ from each other since 1970.
func places(t *testing.T) []*time.Location {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(strings.TrimSpace(string(root)), "lib", "time", "zoneinfo.zip")
	z, err := zip.OpenReader(path)
	if err != nil {
		t.Skipf("the list of zones is not there: %v", err)
	}
	defer z.Close()
	zones, seen := calendar.NewZoneDB(), map[string]bool{}
	var list []*time.Location
	for _, f := range z.File {
		if strings.HasSuffix(f.Name, "/") {
			continue
		}
		loc, err := time.LoadLocation(f.Name)
		if err != nil {
			continue
		}
		zone, err := zones.Lookup(f.Name)
		if err != nil {
			t.Fatal(err)
		}
		key := fmt.Sprint(changes(zone))
		if !seen[key] {
			seen[key] = true
			list = append(list, loc)
		}
	}
	return list
}

// changes are the instants from 1970 to 2040 at which a zone's offset changes, found without its table.
func changes(zone *calendar.Zone) (list []int64) {
	const step = 6 * 3600
	begin, end := int64(0), time.Date(2040, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
	for at := begin; at < end; at += step {
		a, b := zone.WallClock(at)-at, zone.WallClock(at+step)-at-step
		if a != b {
			lo, hi := at, at+step
			for hi-lo > 1 {
				if mid := (lo + hi) / 2; zone.WallClock(mid)-mid == a {
					lo = mid
				} else {
					hi = mid
				}
			}
			list = append(list, hi)
		}
	}
	return list
}

// Around every change of offset of every zone from 1970 to 2040, or of some in the checks, calendar finds
// what a walker finds that looks at every minute. VERSUS=all plays all zones, VERSUS=minutes every minute
// of them.
func TestCalendarAgainstAWalker(t *testing.T) {
	all, days := places(t), int64(2)
	mode := os.Getenv("VERSUS")
	var looked, compared atomic.Int64
	var wg sync.WaitGroup
	busy := make(chan struct{}, runtime.NumCPU())
	for n, loc := range all {
		named := slices.Contains([]string{"Africa/Cairo", "Africa/Casablanca", "Africa/Monrovia",
			"Asia/Beirut", "Australia/Lord_Howe", "Europe/Dublin", "Pacific/Apia",
			"Europe/Berlin"}, loc.String())
		if mode == "" && n%80 != 0 && !named {
			continue
		}
		zone, err := calendar.NewZoneDB().Lookup(loc.String())
		if err != nil {
			t.Fatal(err)
		}
		var spans [][2]int64
		if mode == "minutes" {
			for y := 1970; y < 2040; y++ {
				spans = append(spans, [2]int64{time.Date(y, 1, 1, 0, 0, 0, 0, time.UTC).Unix(),
					time.Date(y+1, 1, 1, 0, 0, 0, 0, time.UTC).Unix()})
			}
		} else {
			for _, at := range changes(zone) {
				at -= at % 60
				spans = append(spans, [2]int64{at - days*86400, at + days*86400})
			}
		}
		wg.Go(func() {
			busy <- struct{}{}
			defer func() { <-busy }()
			for k, span := range spans {
				for j, c := range cases {
					if mode == "" && (j+k)%(2*len(cases)) != 0 {
						continue
					}
					for _, rules := range ruleSets {
						w := c.w
						w.Rules = rules
						want := w.Scan(loc, span[0], span[1])
						plan, err := calendar.Parse(c.expr, zone, rules)
						if err != nil {
							t.Error(err)
							return
						}
						looked.Add((span[1] - span[0]) / 60)
						compared.Add(int64(len(want)))
						if why := differ(plan, want, span); why != "" {
							t.Errorf("%s, %q, %+v: %s", loc, c.expr, rules, why)
							return
						}
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d zones of their own, %d minutes looked at, %d occurrences compared", len(all), looked.Load(),
		compared.Load())
	if compared.Load() < 10_000 {
		t.Error("there was next to nothing to compare")
	}
}

func differ(plan *calendar.Recurrence, want []ScannedOccurrence, span [2]int64) string {
	at := span[0] - 1
	for n := 0; ; n++ {
		o, ok := plan.Next(at)
		if !ok || o.At >= span[1] {
			if n < len(want) {
				return fmt.Sprintf("%s at %d is left out", want[n].LocalTime, want[n].At)
			}
			return ""
		}
		local := strings.TrimSuffix(o.LocalTime.String(), "~2")
		if n >= len(want) || want[n].At != o.At || want[n].LocalTime != local ||
			want[n].SecondFold != o.LocalTime.InSecondFold() {
			return fmt.Sprintf("%v at %d; wanted %+v", o.LocalTime, o.At, want[min(n, len(want)-1)])
		}
		at = o.At
	}
}

// What robfig's own reading finds differs only where clocks change, and each difference is of a kind that
// is known: it is what the rules are for.
func TestCalendarAgainstRobfig(t *testing.T) {
	kinds := map[string]int{}
	begin, end := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Unix(), time.Date(2038, 1, 1, 0, 0, 0, 0,
		time.UTC).Unix()
	for _, place := range []string{"Europe/Berlin", "Australia/Lord_Howe", "Africa/Cairo", "Asia/Beirut",
		"Pacific/Apia", "Europe/Dublin", "Africa/Casablanca", "America/New_York", "Asia/Muscat", "UTC"} {
		loc, err := time.LoadLocation(place)
		if err != nil {
			t.Fatal(err)
		}
		zone, _ := calendar.NewZoneDB().Lookup(place)
		shifts := changes(zone)
		begin := begin
		if place == "Pacific/Apia" {
			// Its walk never ends where a day is left out: 30 December 2011 begins on the 31st, again and
			// again.
			begin = time.Date(2012, 2, 1, 0, 0, 0, 0, time.UTC).Unix()
		}
		for _, c := range cases {
			if c.expr == "*/15 * * * *" {
				continue // its own test below
			}
			plan, err := calendar.Parse(c.expr, zone, calendar.Rules{})
			if err != nil {
				t.Fatal(err)
			}
			theirs, err := cron.ParseStandard("CRON_TZ=" + place + " " + c.expr)
			if err != nil {
				t.Fatal(err)
			}
			ours := map[int64]calendar.Adjustment{}
			for o, ok := plan.Next(begin); ok && o.At < end; o, ok = plan.Next(o.At) {
				ours[o.At] = o.Adjustment
			}
			robfig := map[int64]bool{}
			at := theirs.Next(time.Unix(begin, 0).In(loc))
			for ; !at.IsZero() && at.Unix() < end; at = theirs.Next(at) {
				robfig[at.Unix()] = true
			}
			near := func(at int64) bool {
				n, _ := slices.BinarySearch(shifts, at)
				for _, s := range shifts[max(0, n-1):min(len(shifts), n+1)] {
					if d := at - s; d > -86400 && d < 86400 {
						return true
					}
				}
				return false
			}
			for at, deed := range ours {
				switch {
				case robfig[at]:
				case deed == calendar.AdjustedGap:
					kinds["a time in a gap: here once after it, there left out"]++
				case near(at):
					kinds["near a change: here, not there"]++
				default:
					t.Errorf("%s %q: %d is found here only, and no clock changes", place, c.expr, at)
				}
			}
			for at := range robfig {
				if _, ok := ours[at]; ok {
					continue
				}
				if !near(at) {
					t.Errorf("%s %q: %d is found there only, and no clock changes", place, c.expr, at)
				}
				kinds["near a change: there, not here"]++
			}
		}
	}
	for kind, n := range kinds {
		t.Logf("%5d %s", n, kind)
	}
	if kinds["a time in a gap: here once after it, there left out"] == 0 {
		t.Error("no gap was met")
	}
}

func BenchmarkNext(b *testing.B) {
	for _, expr := range []string{"30 6 * * 1,3,5", "* * * * *", "0 6 29 2 *"} {
		loc, _ := time.LoadLocation("Europe/Berlin")
		zone, _ := calendar.NewZoneDB().Lookup("Europe/Berlin")
		plan, err := calendar.Parse(expr, zone, calendar.Rules{})
		if err != nil {
			b.Fatal(err)
		}
		theirs, _ := cron.ParseStandard(expr)
		begin := time.Date(2026, 1, 1, 0, 0, 0, 0, loc)
		b.Run("ours/"+expr, func(b *testing.B) {
			at := begin.Unix()
			for b.Loop() {
				o, _ := plan.Next(at)
				if at = o.At; at > 2e9 {
					at = begin.Unix()
				}
			}
		})
		b.Run("robfig/"+expr, func(b *testing.B) {
			at := begin
			for b.Loop() {
				if at = theirs.Next(at); at.Unix() > 2e9 {
					at = begin
				}
			}
		})
	}
}
