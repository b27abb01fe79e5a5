package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/calendar"
)

// Limits and defaults of a trigger.
const (
	maxTriggerNameBytes     = 100
	defaultStartingDeadline = 15 * time.Minute
	maxStartingDeadline     = 7 * 24 * time.Hour
	maxExpectedWork         = 24 * time.Hour
	maxMaxJitter            = 12 * time.Hour
)

// Trigger is a job that is fired on a recurring schedule.
type Trigger struct {
	Name       string
	Expression string // as package calendar reads it
	Zone       string // of the tz database
	Rules      calendar.Rules
	Class      string
	Tenant     string
	// Account is the account whose rate limit the jobs count against; empty: none.
	Account string
	Path    string // the request target of the jobs
	Body    string
	// ExpectedWork is how long a job is expected to take; 0: not stated.
	ExpectedWork time.Duration
	// StartingDeadline is how late an occurrence may still be fired. A later one counts as missed.
	StartingDeadline time.Duration
	// Coalesce fires only the last of several occurrences that could not be fired in time.
	Coalesce bool
	// MaxJitter bounds by how much firing is delayed. The delay is a function of the trigger's name.
	MaxJitter time.Duration
	Paused    bool

	definitionHash uint64 // of the default zone and the trigger's text: differs if it was changed
}

// jitterSeconds is how long after each occurrence the trigger is fired.
func (t *Trigger) jitterSeconds() int64 {
	if t.MaxJitter < time.Second {
		return 0
	}
	return int64(xxhash.Sum64String(t.Name) % uint64(t.MaxJitter/time.Second))
}

// parseTrigger reads the text of a trigger: its expression and its options, of which the body is the last.
func parseTrigger(name, text, defaultZone string, names KnownNames) (Trigger, error) {
	t := Trigger{Name: name, Zone: defaultZone, StartingDeadline: defaultStartingDeadline, Path: "/"}
	if name == "" || len(name) > maxTriggerNameBytes || strings.ContainsAny(name, "@~") {
		return t, fmt.Errorf("a trigger's name has 1 to %d bytes, without @ and ~", maxTriggerNameBytes)
	}
	// A body may contain blanks, so everything after its key belongs to it.
	text, t.Body, _ = strings.Cut(text, " body=")
	var expression []string
	for _, field := range strings.Fields(text) {
		key, value, isOption := strings.Cut(field, "=")
		if !isOption {
			expression = append(expression, field)
			continue
		}
		if err := t.setOption(key, value, names); err != nil {
			return t, err
		}
	}
	t.Expression = strings.Join(expression, " ")
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

// setOption reads one option of a trigger, as in class=once.
func (t *Trigger) setOption(key, value string, names KnownNames) error {
	if option, ok := durationOptions[key]; ok {
		return option.set(t, key, value)
	}
	if option, ok := choiceOptions[key]; ok {
		return option.set(t, key, value)
	}
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
	default:
		return fmt.Errorf("%s= is no word of a trigger; zone, class, tenant, account, path, cost, late, "+
			"missed, spread, leap, short, gap, fold, interval, paused and, as the last, body are", key)
	}
	return nil
}

// durationOption is an option whose value is a duration within limits.
type durationOption struct {
	field    func(*Trigger) *time.Duration
	min, max time.Duration
}

var durationOptions = map[string]durationOption{
	"cost": {func(t *Trigger) *time.Duration { return &t.ExpectedWork }, time.Microsecond, maxExpectedWork},
	"late": {func(t *Trigger) *time.Duration { return &t.StartingDeadline }, time.Second,
		maxStartingDeadline},
	"spread": {func(t *Trigger) *time.Duration { return &t.MaxJitter }, 0, maxMaxJitter},
}

func (o durationOption) set(t *Trigger, key, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < o.min || d > o.max {
		return fmt.Errorf("%s=%s is not a time from %v to %v", key, value, o.min, o.max)
	}
	*o.field(t) = d
	return nil
}

// choiceOption is an option whose value is one of a list of names.
type choiceOption struct {
	names  []string
	choose func(t *Trigger, index uint8)
}

var choiceOptions = map[string]choiceOption{
	"missed": {[]string{"all", "last"}, func(t *Trigger, n uint8) { t.Coalesce = n == 1 }},
	"leap": {calendar.MissingDayRuleNames,
		func(t *Trigger, n uint8) { t.Rules.LeapDay = calendar.MissingDayRule(n) }},
	"short": {calendar.MissingDayRuleNames,
		func(t *Trigger, n uint8) { t.Rules.ShortMonth = calendar.MissingDayRule(n) }},
	"gap":  {calendar.GapRuleNames, func(t *Trigger, n uint8) { t.Rules.Gap = calendar.GapRule(n) }},
	"fold": {calendar.FoldRuleNames, func(t *Trigger, n uint8) { t.Rules.Fold = calendar.FoldRule(n) }},
	"interval": {[]string{"elapsed", "wall"},
		func(t *Trigger, n uint8) { t.Rules.WallClockIntervals = n == 1 }},
	"paused": {[]string{"no", "yes"}, func(t *Trigger, n uint8) { t.Paused = n == 1 }},
}

func (o choiceOption) set(t *Trigger, key, value string) error {
	n := slices.Index(o.names, value)
	if n < 0 {
		return fmt.Errorf("%s=%s: %s are possible", key, value, strings.Join(o.names, ", "))
	}
	o.choose(t, uint8(n))
	return nil
}
