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
	Expression string // in the syntax of calendar.Parse
	Zone       string // name in the tz database
	Rules      calendar.Rules
	Class      string
	Tenant     string
	// Account is the account whose rate limit applies to the jobs; empty: none.
	Account string
	Path    string // the request target of the jobs
	Body    string
	// ExpectedWork is the expected duration of a job; 0: not configured.
	ExpectedWork time.Duration
	// StartingDeadline is the largest delay after which an occurrence is still fired. After it, the
	// occurrence counts as missed.
	StartingDeadline time.Duration
	// Coalesce means that of several occurrences that could not be fired in time only the last is fired.
	Coalesce bool
	// MaxJitter limits the delay of firings after their occurrences. The delay is a function of the trigger's
	// name.
	MaxJitter time.Duration
	Paused    bool

	definitionHash uint64 // hash of the default zone and the trigger's text, to detect changes
}

// jitterSeconds returns the delay from each occurrence to its firing.
func (t *Trigger) jitterSeconds() int64 {
	if t.MaxJitter < time.Second {
		return 0
	}
	return int64(xxhash.Sum64String(t.Name) % uint64(t.MaxJitter/time.Second))
}

// parseTrigger parses the text of a trigger: its expression and its options. The body, if any, comes last.
func parseTrigger(name, text, defaultZone string, names KnownNames) (Trigger, error) {
	t := Trigger{Name: name, Zone: defaultZone, StartingDeadline: defaultStartingDeadline, Path: "/"}
	if name == "" || len(name) > maxTriggerNameBytes || strings.ContainsAny(name, "@~") {
		return t, fmt.Errorf("a trigger's name has 1 to %d bytes, without @ and ~", maxTriggerNameBytes)
	}
	// A body may contain spaces, so it extends to the end of the text.
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

// setOption sets one option of a trigger, as in class=once.
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

// durationOption is a trigger's option whose value is a duration within limits.
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

// choiceOption is a trigger's option whose value is one of a list of names.
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
