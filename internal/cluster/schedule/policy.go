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

const triggerKeyPrefix = "trigger."

// What a policy may hold.
const (
	maxTriggers         = 100_000
	maxTriggerNameBytes = 100 // bytes of a trigger's name
	maxStartingDeadline = 7 * 24 * time.Hour
)

// Trigger is a job that is planned in people's time.
type Trigger struct {
	Name       string
	Expression string
	Zone       string
	Rules      calendar.Rules
	Class      string
	Tenant     string
	// Account is whose rate its jobs count against; empty: nobody's by name.
	Account      string
	Path         string // the path that its jobs are for
	Body         string
	ExpectedCost time.Duration // what a job is expected to take; 0: not said
	// StartingDeadline is how late an occurrence may still be fired. One that is later is passed over.
	StartingDeadline time.Duration
	// Coalesce: of several that could not be fired in time, only the last one is.
	Coalesce bool
	// MaxJitter is within what time after the hour it is fired: how long after goes by the trigger's name.
	MaxJitter time.Duration
	Paused    bool

	definitionHash uint64 // of its words
}

// jitterSeconds is how long after its occurrences the trigger is fired, in seconds.
func (t *Trigger) jitterSeconds() int64 {
	if t.MaxJitter < time.Second {
		return 0
	}
	return int64(xxhash.Sum64String(t.Name) % uint64(t.MaxJitter/time.Second))
}

// Policy is what the section says.
type Policy struct {
	// Version tells policies apart; 0: there are no triggers.
	Version          uint64
	Triggers         []Trigger // by name: in the log a trigger is its place here
	ZoneRulesVersion uint64    // the version of the zone rules that is wanted; 0: that of most instances
	// MaxClockSkew is how unlike the fleet's time an instance's clock may be.
	MaxClockSkew time.Duration
}

// indexOf is a trigger's in the list, or -1.
func (p *Policy) indexOf(name string) int {
	n, ok := slices.BinarySearchFunc(p.Triggers, name, func(t Trigger, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return -1
	}
	return n
}

// KnownNames are what a policy may refer to.
type KnownNames struct {
	Classes []string
	Tenants []string
}

// ParsePolicy reads the section, and gives what is wrong with it. Hazard: it must find the same at every
// instance, whatever zone rules that has; so a zone is not looked up here.
func ParsePolicy(values map[string]string, names KnownNames) (p Policy, wrong []string) {
	p.MaxClockSkew = time.Second
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
			if p.ZoneRulesVersion, err = strconv.ParseUint(text, 16, 64); err != nil || len(text) != 16 ||
				p.ZoneRulesVersion == 0 {
				bad("zones: %q is no version of zone rules, as \"config propose --dry-run\" shows it", text)
			}
		case key == "bound":
			p.MaxClockSkew, err = time.ParseDuration(text)
			if err != nil || p.MaxClockSkew < 10*time.Millisecond || p.MaxClockSkew > time.Hour {
				bad("bound: %q is not a time from 10ms to 1h", text)
			}
		case strings.HasPrefix(key, triggerKeyPrefix):
		default:
			bad("%q is no key of this section; zone, zones, bound and trigger.NAME are", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		name, ok := strings.CutPrefix(key, triggerKeyPrefix)
		if !ok {
			continue
		}
		t, err := parseTrigger(name, values[key], zone, names)
		if err != nil {
			bad("%s: %v", key, err)
			continue
		}
		t.definitionHash = xxhash.Sum64String(zone + " " + values[key])
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

func parseTrigger(name, text, zone string, names KnownNames) (Trigger, error) {
	t := Trigger{Name: name, Zone: zone, StartingDeadline: 15 * time.Minute, Path: "/"}
	if name == "" || len(name) > maxTriggerNameBytes || strings.ContainsAny(name, "@~") {
		return t, fmt.Errorf("a trigger's name has 1 to %d bytes, without @ and ~", maxTriggerNameBytes)
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
		if err := t.setOption(key, value, names); err != nil {
			return t, err
		}
	}
	t.Expression = strings.Join(expr, " ")
	if t.Zone == "" {
		return t, fmt.Errorf("its zone is not given: zone=Asia/Muscat, or zone = \"Asia/Muscat\" for all")
	}
	if t.Class == "" {
		return t, fmt.Errorf("its class is not given: class=%s", strings.Join(names.Classes, ", or class="))
	}
	if _, err := calendar.Parse(t.Expression, calendar.UTC(), t.Rules); err != nil {
		return t, fmt.Errorf("%q: %w", t.Expression, err)
	}
	return t, nil
}

// setOption reads a word of a trigger.
func (t *Trigger) setOption(key, value string, names KnownNames) error {
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
		if t.Path = value; !strings.HasPrefix(value, "/") {
			return fmt.Errorf("path=%s does not begin with /", value)
		}
	case "cost":
		return span(&t.ExpectedCost, time.Microsecond, 24*time.Hour)
	case "late":
		return span(&t.StartingDeadline, time.Second, maxStartingDeadline)
	case "spread":
		return span(&t.MaxJitter, 0, 12*time.Hour)
	case "missed":
		n, err = one([]string{"all", "last"})
		t.Coalesce = n == 1
	case "leap":
		n, err = one(calendar.MissingDayRuleNames)
		t.Rules.LeapDay = calendar.MissingDayRule(n)
	case "short":
		n, err = one(calendar.MissingDayRuleNames)
		t.Rules.ShortMonth = calendar.MissingDayRule(n)
	case "gap":
		n, err = one(calendar.GapRuleNames)
		t.Rules.Gap = calendar.GapRule(n)
	case "fold":
		n, err = one(calendar.FoldRuleNames)
		t.Rules.Fold = calendar.FoldRule(n)
	case "interval":
		n, err = one([]string{"elapsed", "wall"})
		t.Rules.WallClockIntervals = n == 1
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

// Recurrences reads the triggers' expressions by the zone rules that are here.
func (p *Policy) Recurrences(zones *calendar.ZoneDB) ([]*calendar.Recurrence, error) {
	plans := make([]*calendar.Recurrence, len(p.Triggers))
	for i := range p.Triggers {
		t := &p.Triggers[i]
		zone, err := zones.Lookup(t.Zone)
		if err == nil {
			plans[i], err = calendar.Parse(t.Expression, zone, t.Rules)
		}
		if err != nil {
			return nil, fmt.Errorf("%s%s: %w", triggerKeyPrefix, t.Name, err)
		}
	}
	return plans, nil
}
