package calendar

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // for machines without zone rules of their own

	"github.com/cespare/xxhash/v2"
)

// Zone is the rules of a time zone from 1900 to 2110. It is immutable.
type Zone struct {
	periods []period // without gaps, in order
}

// period is a time span with one offset from UTC: [start, end), in Unix seconds.
type period struct{ start, end, offset int64 }

// The span for which a location's rules are read, in Unix seconds.
var (
	rulesFrom  = time.Date(1900, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
	rulesUntil = time.Date(2110, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
)

// The ends of time: half of what fits, so that adding an offset or a horizon does not overflow.
const (
	beginningOfTime = math.MinInt64 / 2
	endOfTime       = math.MaxInt64 / 2
)

// UTC returns the zone UTC.
func UTC() *Zone {
	return &Zone{periods: []period{{beginningOfTime, endOfTime, 0}}}
}

// newZone reads the rules of a location.
func newZone(loc *time.Location) *Zone {
	z := &Zone{}
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
			z.periods = append(z.periods, period{beginningOfTime, 0, int64(offset)})
		} else if z.periods[last].offset != int64(offset) {
			z.periods[last].end = begin
			z.periods = append(z.periods, period{begin, 0, int64(offset)})
		}
		// Hazard: after the last change that the location lists, the library returns the end of the year that
		// its rule is applied to, which may be the very instant that was requested.
		next := at + secondsPerDay
		if end.IsZero() {
			break
		}
		if end.Unix() > at {
			next = end.Unix()
		}
		at = next
	}
	z.periods[len(z.periods)-1].end = endOfTime
	return z
}

// periodIndex returns the index of the period that an instant is in.
func (z *Zone) periodIndex(at int64) int {
	i, ok := slices.BinarySearchFunc(z.periods, at, func(p period, at int64) int {
		switch {
		case p.start < at:
			return -1
		case p.start > at:
			return 1
		}
		return 0
	})
	if !ok {
		i--
	}
	return i
}

// WallClock returns what local clocks show at an instant, as seconds since 1970 there.
func (z *Zone) WallClock(at int64) int64 { return at + z.periods[z.periodIndex(at)].offset }

// ZoneDB loads zones by name, each once. Several goroutines may use it.
type ZoneDB struct {
	mu    sync.Mutex
	cache map[string]*Zone
	load  func(string) (*time.Location, error)
}

// NewZoneDB returns a ZoneDB of the machine's rules, or of those in the program if the machine has none.
func NewZoneDB() *ZoneDB { return NewZoneDBWithLoader(time.LoadLocation) }

// NewZoneDBWithLoader returns a ZoneDB of other rules, for tests.
func NewZoneDBWithLoader(load func(string) (*time.Location, error)) *ZoneDB {
	return &ZoneDB{cache: map[string]*Zone{}, load: load}
}

// Lookup returns the zone of a name, as in "Asia/Muscat".
func (db *ZoneDB) Lookup(name string) (*Zone, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if zone := db.cache[name]; zone != nil {
		return zone, nil
	}
	// Hazard: "Local" is whatever the machine is set to, and differs between instances.
	if name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is no zone of the tz database, as \"Asia/Muscat\" is", name)
	}
	loc, err := db.load(name)
	if err != nil {
		return nil, fmt.Errorf("%q is no zone that the rules here know", name)
	}
	zone := newZone(loc)
	db.cache[name] = zone
	return zone, nil
}

// RulesVersion returns a version of the rules of the named zones: equal rules have equal versions, wherever
// they were read from. A zone that is unknown here counts as one without rules.
//
// Hazard: a release's name ("2026a") states what somebody has packaged, with or without changes, and a
// program can't derive it from the rules that it uses. So the version is a hash of the rules themselves.
func (db *ZoneDB) RulesVersion(names []string) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(slices.Values(names)) {
		_, _ = h.WriteString(name)
		zone, err := db.Lookup(name)
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
