package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/calendar"
)

// Section is the section of the agreed document that says which triggers there are.
const Section = "schedule"

const prefix = "trigger."

// What a policy may hold.
const (
	maxTriggers = 100_000
	maxName     = 100 // bytes of a trigger's name
	mostLate    = 7 * 24 * time.Hour
)

// Trigger is a job that is planned in people's time.
type Trigger struct {
	Name   string
	Expr   string
	Zone   string
	Rules  calendar.Rules
	Class  string
	Tenant string
	// Account is whose rate its jobs count against; empty: nobody's by name.
	Account string
	Target  string // the path that its jobs are for
	Body    string
	Work    time.Duration // what a job is expected to take; 0: not said
	// Late is how late an occurrence may still be fired. One that is later is passed over.
	Late time.Duration
	// LastOnly: of several that could not be fired in time, only the last one is.
	LastOnly bool
	// Spread is within what time after the hour it is fired: how long after goes by the trigger's name.
	Spread time.Duration
	Paused bool

	text uint64 // of its words
}

// offset is how long after its occurrences the trigger is fired, in seconds.
func (t *Trigger) offset() int64 {
	if t.Spread < time.Second {
		return 0
	}
	return int64(xxhash.Sum64String(t.Name) % uint64(t.Spread/time.Second))
}

// Policy is what the section says.
type Policy struct {
	// Version tells policies apart; 0: there are no triggers.
	Version  uint64
	Triggers []Trigger // by name: in the log a trigger is its place here
	Zones    uint64    // the version of the zone rules that is wanted; 0: that of most instances
	// Bound is how unlike the fleet's time an instance's clock may be.
	Bound time.Duration
}

// place is a trigger's in the list, or -1.
func (p *Policy) place(name string) int {
	n, ok := slices.BinarySearchFunc(p.Triggers, name, func(t Trigger, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return -1
	}
	return n
}

// Names are what a policy may refer to.
type Names struct {
	Classes []string
	Tenants []string
}

// ReadPolicy reads the section, and gives what is wrong with it. Hazard: it must find the same at every
// instance, whatever zone rules that has; so a zone is not looked up here.
func ReadPolicy(values map[string]string, names Names) (p Policy, wrong []string) {
	p.Bound = time.Second
	bad := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	zone := ""
	h := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		fmt.Fprintf(h, "%q %q ", key, text)
		var err error
		switch {
		case key == "zone":
			zone = text
		case key == "zones":
			if p.Zones, err = strconv.ParseUint(text, 16, 64); err != nil || len(text) != 16 || p.Zones == 0 {
				bad("zones: %q is no version of zone rules, as \"config propose --dry-run\" shows it", text)
			}
		case key == "bound":
			p.Bound, err = time.ParseDuration(text)
			if err != nil || p.Bound < 10*time.Millisecond || p.Bound > time.Hour {
				bad("bound: %q is not a time from 10ms to 1h", text)
			}
		case strings.HasPrefix(key, prefix):
		default:
			bad("%q is no key of this section; zone, zones, bound and trigger.NAME are", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		name, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		t, err := readTrigger(name, values[key], zone, names)
		if err != nil {
			bad("%s: %v", key, err)
			continue
		}
		t.text = xxhash.Sum64String(zone + " " + values[key])
		p.Triggers = append(p.Triggers, t)
	}
	if len(p.Triggers) > maxTriggers {
		bad("there are %d triggers, %d are allowed", len(p.Triggers), maxTriggers)
	}
	if len(p.Triggers) > 0 {
		p.Version = max(h.Sum64(), 1)
	}
	return p, wrong
}

func readTrigger(name, text, zone string, names Names) (Trigger, error) {
	t := Trigger{Name: name, Zone: zone, Late: 15 * time.Minute, Target: "/"}
	if name == "" || len(name) > maxName || strings.ContainsAny(name, "@~") {
		return t, fmt.Errorf("a trigger's name has 1 to %d bytes, without @ and ~", maxName)
	}
	// A body may hold blanks, and so it is the last.
	text, t.Body, _ = strings.Cut(text, " body=")
	var expr []string
	for _, word := range strings.Fields(text) {
		key, value, option := strings.Cut(word, "=")
		if !option {
			expr = append(expr, word)
			continue
		}
		if err := t.option(key, value, names); err != nil {
			return t, err
		}
	}
	t.Expr = strings.Join(expr, " ")
	if t.Zone == "" {
		return t, fmt.Errorf("its zone is not given: zone=Asia/Muscat, or zone = \"Asia/Muscat\" for all")
	}
	if t.Class == "" {
		return t, fmt.Errorf("its class is not given: class=%s", strings.Join(names.Classes, ", or class="))
	}
	if _, err := calendar.Parse(t.Expr, calendar.UTC(), t.Rules); err != nil {
		return t, fmt.Errorf("%q: %w", t.Expr, err)
	}
	return t, nil
}

// option reads a word of a trigger.
func (t *Trigger) option(key, value string, names Names) error {
	span := func(into *time.Duration, least, most time.Duration) (err error) {
		if *into, err = time.ParseDuration(value); err != nil || *into < least || *into > most {
			return fmt.Errorf("%s=%s is not a time from %v to %v", key, value, least, most)
		}
		return nil
	}
	one := func(words []string) (uint8, error) {
		n := slices.Index(words, value)
		if n < 0 {
			return 0, fmt.Errorf("%s=%s: %s are possible", key, value, strings.Join(words, ", "))
		}
		return uint8(n), nil
	}
	var n uint8
	var err error
	switch key {
	case "zone":
		t.Zone = value
	case "class":
		if t.Class = value; !slices.Contains(names.Classes, value) {
			return fmt.Errorf("class=%s: there is no such class; %s are", value,
				strings.Join(names.Classes, ", "))
		}
	case "tenant":
		if t.Tenant = value; !slices.Contains(names.Tenants, value) {
			return fmt.Errorf("tenant=%s: there is no such tenant", value)
		}
	case "account":
		t.Account = value
	case "path":
		if t.Target = value; !strings.HasPrefix(value, "/") {
			return fmt.Errorf("path=%s does not begin with /", value)
		}
	case "cost":
		return span(&t.Work, time.Microsecond, 24*time.Hour)
	case "late":
		return span(&t.Late, time.Second, mostLate)
	case "spread":
		return span(&t.Spread, 0, 12*time.Hour)
	case "missed":
		n, err = one([]string{"all", "last"})
		t.LastOnly = n == 1
	case "leap":
		n, err = one(calendar.DayWords)
		t.Rules.Leap = calendar.DayRule(n)
	case "short":
		n, err = one(calendar.DayWords)
		t.Rules.Short = calendar.DayRule(n)
	case "gap":
		n, err = one(calendar.GapWords)
		t.Rules.Gap = calendar.GapRule(n)
	case "fold":
		n, err = one(calendar.FoldWords)
		t.Rules.Fold = calendar.FoldRule(n)
	case "interval":
		n, err = one([]string{"elapsed", "wall"})
		t.Rules.OnTheWall = n == 1
	case "paused":
		n, err = one([]string{"no", "yes"})
		t.Paused = n == 1
	default:
		return fmt.Errorf("%s= is no word of a trigger; zone, class, tenant, account, path, cost, late, "+
			"missed, spread, leap, short, gap, fold, interval, paused and, as the last, body are", key)
	}
	return err
}

// ZoneNames are the zones that the triggers are in, each once.
func (p *Policy) ZoneNames() []string {
	seen := map[string]bool{}
	for i := range p.Triggers {
		seen[p.Triggers[i].Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Plans reads the triggers' expressions by the zone rules that are here.
func (p *Policy) Plans(zones *calendar.Zones) ([]*calendar.Plan, error) {
	plans := make([]*calendar.Plan, len(p.Triggers))
	for i := range p.Triggers {
		t := &p.Triggers[i]
		zone, err := zones.Zone(t.Zone)
		if err == nil {
			plans[i], err = calendar.Parse(t.Expr, zone, t.Rules)
		}
		if err != nil {
			return nil, fmt.Errorf("%s%s: %w", prefix, t.Name, err)
		}
	}
	return plans, nil
}
