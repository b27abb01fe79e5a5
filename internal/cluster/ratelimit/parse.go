package ratelimit

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/replicated"
)

// Defaults of keys that the section omits.
const (
	defaultTickInterval  = 100 * time.Millisecond
	defaultGrantDuration = time.Second
	defaultMaxFronts     = 5
)

// Bounds of the section's values.
const (
	minTickInterval  = 10 * time.Millisecond
	maxTickInterval  = 10 * time.Second
	minGrantDuration = 50 * time.Millisecond
	maxGrantDuration = 10 * time.Minute
	minGrantTicks    = 5 // a shorter grant would expire between two requests
	maxFronts        = 1000
	maxRate          = 1e9  // jobs per second
	maxBurst         = 1e12 // jobs
)

// noLimit is the value of the key "default" that sets no default limit.
const noLimit = "none"

// policyParser accumulates a policy and the problems found in the section.
//
// The problems become part of the group's replicated state. Their texts and their order must be the same on
// every instance and in every version of the program that the group runs.
type policyParser struct {
	policy   Policy
	classes  []string // classes of the document
	problems []string
}

// ParsePolicy parses the section's values; classes are the names of the document's classes. The problems
// describe the invalid values to the operator who proposed them; there are none if all values are valid.
// Without any values, nothing is limited.
func ParsePolicy(values map[string]string, classes []string) (p Policy, problems []string) {
	parser := policyParser{classes: classes, policy: Policy{
		AccountHeader: AccountIsTenant,
		TickInterval:  defaultTickInterval,
		GrantDuration: defaultGrantDuration,
		MaxFronts:     defaultMaxFronts,
		AccountLimits: map[string]Limit{},
		ClassLimits:   map[Key]Limit{},
	}}
	if len(values) == 0 {
		return parser.policy, nil
	}
	hash, limits := xxhash.New(), map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		_, _ = fmt.Fprintf(hash, "%q=%q\n", key, text)
		if key == "default" || strings.HasPrefix(key, "account.") {
			limits[key] = text
			continue
		}
		parser.parseValue(key, text)
	}
	parser.checkGrantDuration()
	parser.policy.Version = max(hash.Sum64(), 1)
	// Limits are parsed last, since their floors depend on the number of fronts.
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		parser.parseLimit(key, limits[key])
	}
	return parser.policy, parser.problems
}

func (p *policyParser) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// parseValue parses the value of a key that is not a limit.
func (p *policyParser) parseValue(key, text string) {
	switch key {
	case "tick":
		p.parseDuration(key, text, &p.policy.TickInterval, minTickInterval, maxTickInterval)
	case "term":
		p.parseDuration(key, text, &p.policy.GrantDuration, minGrantDuration, maxGrantDuration)
	case "account":
		p.policy.AccountHeader = text
		if text == "" || strings.ContainsAny(text, " :\t\r\n") {
			p.addProblem("account: %q is neither %q nor the name of a header, as in \"X-Account\"", text,
				AccountIsTenant)
		}
	case "parts":
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxFronts {
			p.addProblem("parts: %q is not a number from 1 to %d: as many fronts as there may be", text,
				maxFronts)
			return
		}
		p.policy.MaxFronts = n
	default:
		p.addProblem(
			"%q is no key of this section; account, tick, term, parts, default, \"account.NAME\" and "+
				"\"account.NAME@CLASS\" are", key)
	}
}

func (p *policyParser) parseDuration(key, text string, target *time.Duration,
	minimum, maximum time.Duration) {
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum || d > maximum {
		p.addProblem("%s: %q is not a time from %v to %v, as in \"200ms\"", key, text, minimum, maximum)
		return
	}
	*target = d
}

func (p *policyParser) checkGrantDuration() {
	if len(p.problems) == 0 && p.policy.GrantDuration < minGrantTicks*p.policy.TickInterval {
		p.addProblem("term: %v is less than %d ticks of %v: slices would run out between two words on them; "+
			"name a longer term or a shorter tick", p.policy.GrantDuration, minGrantTicks,
			p.policy.TickInterval)
	}
}

// parseLimit parses the limit of a key: "default", "account.NAME" or "account.NAME@CLASS".
func (p *policyParser) parseLimit(key, text string) {
	limit, err := p.policy.parseLimit(text)
	if err != nil {
		p.addProblem("%s: %q: %v", key, text, err)
		return
	}
	account, class, hasClass := strings.Cut(strings.TrimPrefix(key, "account."), "@")
	switch {
	case key == "default":
		if text != noLimit {
			p.policy.DefaultLimit = &limit
		}
	case text == noLimit:
		p.addProblem("%s: \"none\" is for the default; leave the line out", key)
	case account == "" || strings.TrimSpace(account) != account:
		p.addProblem("%s: the account has no name, or blanks around it", key)
	case hasClass && !slices.Contains(p.classes, class):
		p.addProblem("%s: there is no class %q; there are %v", key, class, p.classes)
	case hasClass:
		p.policy.ClassLimits[Key{account, class}] = limit
	default:
		p.policy.AccountLimits[account] = limit
	}
}

// parseLimit parses "RATE/UNIT [burst=N] [floor=SHARE|equal|none]" or "none".
func (p *Policy) parseLimit(text string) (l Limit, err error) {
	if text == noLimit {
		return l, nil
	}
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return l, errors.New("a rate is wanted, as in \"10/s burst=20\"")
	}
	if l.Rate, err = parseRate(fields[0]); err != nil {
		return l, err
	}
	l.Burst = max(math.Ceil(l.Rate), 1)
	for _, field := range fields[1:] {
		if err := l.parseOption(field); err != nil {
			return l, err
		}
	}
	if required := float64(p.MaxFronts) * p.floorBurst(l); required > l.Burst {
		return l, fmt.Errorf("the floors of %d parts are a job each at the least, %.0f in all, and the "+
			"burst is %.0f; name burst=%.0f or more, floor=none, or fewer parts",
			p.MaxFronts, required, l.Burst, required)
	}
	return l, nil
}

// parseRate parses "NUMBER/UNIT" and returns the rate in jobs per second.
func parseRate(text string) (float64, error) {
	number, unit, _ := strings.Cut(text, "/")
	seconds := map[string]float64{"s": 1, "m": 60, "h": 3600}[unit]
	rate, err := strconv.ParseFloat(number, 64)
	if err != nil || seconds == 0 || !(rate > 0 && rate <= maxRate) {
		return rate, fmt.Errorf("%q is no rate above 0, as in \"10/s\", \"90/m\" or \"5/h\"", text)
	}
	return rate / seconds, nil
}

// parseOption sets the limit's field from "burst=N" or "floor=SHARE".
func (l *Limit) parseOption(text string) (err error) {
	name, value, _ := strings.Cut(text, "=")
	switch {
	case name == "burst":
		l.Burst, err = strconv.ParseFloat(value, 64)
		if err != nil || l.Burst != math.Floor(l.Burst) || l.Burst < 1 || l.Burst > maxBurst {
			return fmt.Errorf("%q is no whole number of jobs from 1 on, as in \"burst=20\"", text)
		}
	case text == "floor=none":
		l.FloorShare = 0
	case text == "floor=equal":
		l.FloorShare = 1
	case name == "floor":
		l.FloorShare, err = strconv.ParseFloat(value, 64)
		if err != nil || !(l.FloorShare >= 0 && l.FloorShare <= 1) {
			return fmt.Errorf("%q is no share from 0 to 1, nor none or equal", text)
		}
	default:
		return fmt.Errorf("%q is neither burst=N nor floor=SHARE", text)
	}
	return nil
}

// Validate returns the problems of a document's section. The result is the same on every instance.
func Validate(c replicated.Config) []string {
	p, problems := ParsePolicy(c.Values, c.ClassNames())
	if len(problems) > 0 || p.AccountHeader != AccountIsTenant {
		return problems
	}
	accounts := slices.Sorted(maps.Keys(p.AccountLimits))
	for _, k := range slices.SortedFunc(maps.Keys(p.ClassLimits), func(a, b Key) int {
		return strings.Compare(a.String(), b.String())
	}) {
		accounts = append(accounts, k.Account)
	}
	for _, account := range accounts {
		if !slices.Contains(c.Tenants, account) {
			problems = append(problems, fmt.Sprintf("account %s: there is no tenant of that name, and "+
				"accounts are tenants; name a header with account = \"X-Account\", or the tenant", account))
		}
	}
	return problems
}
