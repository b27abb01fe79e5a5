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

// Section is the name of the section of the group's document that declares the triggers.
const Section = "schedule"

// triggerKeyPrefix precedes the trigger's name in a key that declares a trigger.
const triggerKeyPrefix = "trigger."

// Limits and defaults of a policy.
const (
	maxTriggers         = 100_000
	defaultMaxClockSkew = time.Second
	minMaxClockSkew     = 10 * time.Millisecond
	maxMaxClockSkew     = time.Hour
)

// Policy is the parsed content of the section.
type Policy struct {
	// Version is a hash of the section's text, which identifies the policy; 0: there are no triggers.
	Version uint64
	// Triggers are sorted by name: the log refers to a trigger by its index here.
	Triggers []Trigger
	// ZoneRulesVersion is the required version of the time zone rules; 0: the version that most instances
	// have.
	ZoneRulesVersion uint64
	// MaxClockSkew is how far an instance's clock may differ from the median of the clocks.
	MaxClockSkew time.Duration
}

// KnownNames are the classes and tenants that a policy may refer to.
type KnownNames struct {
	Classes []string
	Tenants []string
}

// ParsePolicy parses the section and returns all problems found in it.
//
// The result must be the same at every instance, and instances may have different time zone rules. It
// therefore looks up no zone. The problems' texts are part of what a group replicates and must be the same in
// all versions of the program.
func ParsePolicy(values map[string]string, names KnownNames) (p Policy, problems []string) {
	p.MaxClockSkew = defaultMaxClockSkew
	keys := slices.Sorted(maps.Keys(values))
	hash := xxhash.New()
	for _, key := range keys {
		fmt.Fprintf(hash, "%q %q ", key, values[key])
		if strings.HasPrefix(key, triggerKeyPrefix) {
			continue
		}
		if err := p.setOption(key, values[key]); err != nil {
			problems = append(problems, err.Error())
		}
	}
	zone := values["zone"]
	for _, key := range keys {
		name, ok := strings.CutPrefix(key, triggerKeyPrefix)
		if !ok {
			continue
		}
		t, err := parseTrigger(name, values[key], zone, names)
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: %v", key, err))
			continue
		}
		t.definitionHash = xxhash.Sum64String(zone + " " + values[key])
		p.Triggers = append(p.Triggers, t)
	}
	if len(p.Triggers) > maxTriggers {
		problems = append(problems, fmt.Sprintf("there are %d triggers, %d are allowed", len(p.Triggers),
			maxTriggers))
	}
	if len(p.Triggers) > 0 {
		p.Version = max(hash.Sum64(), 1)
	}
	return p, problems
}

// setOption sets the option of a key that does not declare a trigger.
func (p *Policy) setOption(key, value string) (err error) {
	switch key {
	case "zone": // the default zone: ParsePolicy passes it to parseTrigger
	case "zones":
		p.ZoneRulesVersion, err = strconv.ParseUint(value, 16, 64)
		if err != nil || len(value) != 16 || p.ZoneRulesVersion == 0 {
			return fmt.Errorf("zones: %q is no version of zone rules, as \"config propose --dry-run\" shows "+
				"it", value)
		}
	case "bound":
		p.MaxClockSkew, err = time.ParseDuration(value)
		if err != nil || p.MaxClockSkew < minMaxClockSkew || p.MaxClockSkew > maxMaxClockSkew {
			return fmt.Errorf("bound: %q is not a time from 10ms to 1h", value)
		}
	default:
		return fmt.Errorf("%q is no key of this section; zone, zones, bound and trigger.NAME are", key)
	}
	return nil
}

// indexOf returns a trigger's index in Triggers, or -1.
func (p *Policy) indexOf(name string) int {
	n, ok := slices.BinarySearchFunc(p.Triggers, name, func(t Trigger, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return -1
	}
	return n
}

// ZoneNames returns the sorted names of the time zones that the triggers use.
func (p *Policy) ZoneNames() []string {
	seen := map[string]bool{}
	for i := range p.Triggers {
		seen[p.Triggers[i].Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Recurrences parses the triggers' expressions with this instance's time zone rules. The result is indexed
// like Triggers. The error names the first trigger whose zone is unknown to this instance.
func (p *Policy) Recurrences(zones *calendar.ZoneDB) ([]*calendar.Recurrence, error) {
	list := make([]*calendar.Recurrence, len(p.Triggers))
	for i := range p.Triggers {
		t := &p.Triggers[i]
		zone, err := zones.Lookup(t.Zone)
		if err == nil {
			list[i], err = calendar.Parse(t.Expression, zone, t.Rules)
		}
		if err != nil {
			return nil, fmt.Errorf("%s%s: %w", triggerKeyPrefix, t.Name, err)
		}
	}
	return list, nil
}
