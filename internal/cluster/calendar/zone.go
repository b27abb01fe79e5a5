package calendar

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // where the machine has no rules of its own

	"github.com/cespare/xxhash/v2"
)

// Zone is the rules of a place, from 1900 to 2110.
type Zone struct {
	name    string
	periods []period
}

// period is a stretch of time with one offset: [start, end), in Unix seconds.
type period struct{ start, end, offset int64 }

var (
	rulesFrom  = time.Date(1900, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
	rulesUntil = time.Date(2110, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
)

// UTC is the zone without rules.
func UTC() *Zone {
	return &Zone{name: "UTC", periods: []period{{math.MinInt64 / 2, math.MaxInt64 / 2, 0}}}
}

// NewZone reads the rules out of a location.
func NewZone(loc *time.Location) *Zone {
	z := &Zone{name: loc.String()}
	at := rulesFrom
	for at < rulesUntil {
		t := time.Unix(at, 0).In(loc)
		_, offset := t.Zone()
		start, end := t.ZoneBounds()
		last := len(z.periods) - 1
		begin := at
		if !start.IsZero() && last >= 0 && start.Unix() > z.periods[last].start {
			begin = min(at, start.Unix())
		}
		if last < 0 {
			z.periods = append(z.periods, period{math.MinInt64 / 2, 0, int64(offset)})
		} else if z.periods[last].offset != int64(offset) {
			z.periods[last].end = begin
			z.periods = append(z.periods, period{begin, 0, int64(offset)})
		}
		// Hazard: past the last change that is written out, the library tells the end of a year that a
		// rule is for, and it may be the very instant that it was asked for.
		next := at + secondsPerDay
		if end.IsZero() {
			break
		}
		if end.Unix() > at {
			next = end.Unix()
		}
		at = next
	}
	z.periods[len(z.periods)-1].end = math.MaxInt64 / 2
	return z
}

// Name is the zone's.
func (z *Zone) Name() string { return z.name }

// periodIndex is the period that an instant is in.
func (z *Zone) periodIndex(t int64) int {
	i, ok := slices.BinarySearchFunc(z.periods, t, func(p period, t int64) int {
		switch {
		case p.start < t:
			return -1
		case p.start > t:
			return 1
		}
		return 0
	})
	if !ok {
		i--
	}
	return i
}

// WallClock is what local clocks show at an instant.
func (z *Zone) WallClock(t int64) int64 { return t + z.periods[z.periodIndex(t)].offset }

// ZoneDB loads zones, each once. It may be used from several goroutines.
type ZoneDB struct {
	mu    sync.Mutex
	cache map[string]*Zone
	load  func(string) (*time.Location, error)
}

// NewZoneDB uses the machine's rules, or those that the program has in it.
func NewZoneDB() *ZoneDB { return &ZoneDB{cache: map[string]*Zone{}, load: time.LoadLocation} }

// NewZoneDBWithLoader uses the given rules: other ones, for tests.
func NewZoneDBWithLoader(load func(string) (*time.Location, error)) *ZoneDB {
	return &ZoneDB{cache: map[string]*Zone{}, load: load}
}

// Lookup is the zone of a name, as in "Asia/Muscat".
func (z *ZoneDB) Lookup(name string) (*Zone, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if zone := z.cache[name]; zone != nil {
		return zone, nil
	}
	// Hazard: "Local" is whatever the machine is set to, and differs from instance to instance.
	if name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is no zone of the tz database, as \"Asia/Muscat\" is", name)
	}
	loc, err := z.load(name)
	if err != nil {
		return nil, fmt.Errorf("%q is no zone that the rules here know", name)
	}
	zone := NewZone(loc)
	z.cache[name] = zone
	return zone, nil
}

// RulesVersion is a number for the rules of the named zones: equal rules have equal ones, wherever they were
// read from. A zone that is not known here counts as one without rules.
//
// Hazard: a release's name ("2026a") says what somebody has packed, with or without changes, and a
// program can't read it off the rules that it uses. So the rules themselves are counted.
func (z *ZoneDB) RulesVersion(names []string) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(slices.Values(names)) {
		_, _ = h.WriteString(name)
		zone, err := z.Lookup(name)
		if err != nil {
			continue
		}
		for _, p := range zone.periods {
			var b [16]byte
			binary.BigEndian.PutUint64(b[:8], uint64(p.start))
			binary.BigEndian.PutUint64(b[8:], uint64(p.offset))
			_, _ = h.Write(b[:])
		}
	}
	return max(h.Sum64(), 1)
}
