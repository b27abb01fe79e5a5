package calendar

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // for machines without a tz database

	"github.com/cespare/xxhash/v2"
)

// Zone holds the UTC offsets of a time zone from 1900 to 2110. It is immutable.
type Zone struct {
	periods []period // in order, without gaps between them
}

// period is a time span [start, end) with a constant offset from UTC. All values are in seconds; start and
// end are Unix times.
type period struct{ start, end, offset int64 }

// The time span for which a location's rules are read, in Unix seconds.
var (
	rulesFrom  = time.Date(1900, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
	rulesUntil = time.Date(2110, 1, 1, 0, 0, 0, 0, time.UTC).Unix()
)

// The limits of instants: half of the range of int64, so that adding an offset or a horizon does not
// overflow.
const (
	minInstant = math.MinInt64 / 2
	maxInstant = math.MaxInt64 / 2
)

// UTC returns the zone UTC, which needs no zone rules.
func UTC() *Zone {
	return &Zone{periods: []period{{minInstant, maxInstant, 0}}}
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
		periodStart := at
		if !start.IsZero() && last >= 0 && start.Unix() > z.periods[last].start {
			periodStart = min(at, start.Unix())
		}
		if last < 0 {
			z.periods = append(z.periods, period{minInstant, 0, int64(offset)})
		} else if z.periods[last].offset != int64(offset) {
			z.periods[last].end = periodStart
			z.periods = append(z.periods, period{periodStart, 0, int64(offset)})
		}
		// After the last transition that the location lists, ZoneBounds may return an end that is not after
		// the given instant: the end of the year to which the library applies the zone's rule. The loop then
		// advances by a day; without this it would not end.
		next := at + secondsPerDay
		if end.IsZero() {
			break
		}
		if end.Unix() > at {
			next = end.Unix()
		}
		at = next
	}
	z.periods[len(z.periods)-1].end = maxInstant
	return z
}

// periodIndex returns the index of the period that contains an instant.
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

// WallClock returns the local time at an instant, as seconds since 1970 in local time.
func (z *Zone) WallClock(at int64) int64 { return at + z.periods[z.periodIndex(at)].offset }

// ZoneDB loads zones by name and caches them. It is safe for concurrent use.
type ZoneDB struct {
	mu    sync.Mutex
	cache map[string]*Zone
	load  func(string) (*time.Location, error)
}

// NewZoneDB returns a ZoneDB with the machine's tz database, or the embedded one if the machine has none.
func NewZoneDB() *ZoneDB { return NewZoneDBWithLoader(time.LoadLocation) }

// NewZoneDBWithLoader returns a ZoneDB whose zones the given function loads, for tests.
func NewZoneDBWithLoader(load func(string) (*time.Location, error)) *ZoneDB {
	return &ZoneDB{cache: map[string]*Zone{}, load: load}
}

// Lookup returns the zone with a name, such as "Asia/Muscat". Its errors may be stored as the reason for
// withdrawing a change.
func (db *ZoneDB) Lookup(name string) (*Zone, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if zone := db.cache[name]; zone != nil {
		return zone, nil
	}
	// "Local" is the machine's own setting, which differs between instances.
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

// RulesVersion returns a version of the rules of the named zones. Equal rules have equal versions, regardless
// of their source. A zone that is unknown to this instance counts as one without rules.
//
// The version is a hash of the rules themselves. A release name such as "2026a" would not do: the packaged
// rules may have been modified, and a program can't derive the name from the rules that it uses.
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
