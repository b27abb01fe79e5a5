package leasedtask

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is the name of the section of the group's document that configures the tasks.
const Section = "duties"

// The names of the tasks. They appear in the log and in operators' commands.
const (
	BackupTask         = "backup" // writes backups of the replicated state
	EndpointListTask   = "list"   // watches discovery and relays the endpoint list to the other instances
	RollingRestartTask = "roll"   // restarts the instances one after another; its note is the plan
	// DrillTaskFormat is the name of a drill: a task that performs an empty action many times a second, for
	// exercises and audits.
	DrillTaskFormat = "drill-%d"
)

// BackupLabel is the label of an instance that has a directory for backups.
const BackupLabel = "backups"

// ZoneLabelPrefix is the prefix of the label that names an instance's zone.
const ZoneLabelPrefix = "zone="

// rollingRestartFormat is the first format of the group's log that supports RollingRestartTask.
const rollingRestartFormat = 7

// Bounds of the section's values, and its keys as listed in problems. The interval's upper bound is a leap
// year.
const (
	maxDrills                       = 100
	minBackupInterval               = time.Second
	maxBackupInterval               = 366 * 24 * time.Hour
	defaultBackupsKept              = 24
	maxBackupsKept                  = 10_000
	sectionKeys                     = "list, roll, backup_every, backup_keep, backup_prefer and drill are"
	sectionKeysBeforeRollingRestart = "list, backup_every, backup_keep, backup_prefer and drill are"
)

// Policy is the decoded section.
type Policy struct {
	EndpointList    bool          // the task EndpointListTask exists
	RollingRestart  bool          // the task RollingRestartTask exists
	Drills          int           // number of drills
	BackupInterval  time.Duration // 0: no backups are written
	BackupsKept     int
	BackupPreferred []string // names of instances to write backups, most preferred first
}

// ParsePolicy decodes the section's values for a group whose log has the given format. It returns one problem
// for each key that is unknown or has an invalid value.
//
// The problems are part of the replicated state, so their texts must not change.
func ParsePolicy(values map[string]string, format int) (Policy, []string) {
	p := policyParser{format: format, policy: Policy{BackupsKept: defaultBackupsKept}}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		p.parse(key, values[key])
	}
	return p.policy, p.problems
}

type policyParser struct {
	format   int
	policy   Policy
	problems []string
}

func (p *policyParser) parse(key, text string) {
	var err error
	switch key {
	case "drill":
		p.policy.Drills = p.parseNumber(key, text, 0, maxDrills)
	case "list":
		p.policy.EndpointList = p.parseOnOff(key, text)
	case "roll":
		if p.format < rollingRestartFormat {
			p.addUnknown(key)
			return
		}
		p.policy.RollingRestart = p.parseOnOff(key, text)
	case "backup_every":
		p.policy.BackupInterval, err = time.ParseDuration(text)
		if err != nil || p.policy.BackupInterval < minBackupInterval ||
			p.policy.BackupInterval > maxBackupInterval {
			p.addInvalid(key, text, "a time from 1s to 8784h, as in \"1h\"")
		}
	case "backup_keep":
		p.policy.BackupsKept = p.parseNumber(key, text, 1, maxBackupsKept)
	case "backup_prefer":
		p.policy.BackupPreferred = strings.Fields(text)
	default:
		p.addUnknown(key)
	}
}

func (p *policyParser) addInvalid(key, text, want string) {
	p.problems = append(p.problems, fmt.Sprintf("%s: %q is not %s", key, text, want))
}

func (p *policyParser) addUnknown(key string) {
	keys := sectionKeys
	if p.format < rollingRestartFormat {
		keys = sectionKeysBeforeRollingRestart
	}
	p.problems = append(p.problems, fmt.Sprintf("%q is no key of this section; %s", key, keys))
}

func (p *policyParser) parseOnOff(key, text string) bool {
	if text != "on" && text != "off" {
		p.addInvalid(key, text, "on or off")
	}
	return text == "on"
}

func (p *policyParser) parseNumber(key, text string, lowest, highest int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < lowest || n > highest {
		p.addInvalid(key, text, fmt.Sprintf("a number from %d to %d", lowest, highest))
	}
	return n
}

// Specs returns the tasks that exist, sorted by name.
func (p Policy) Specs() []Spec {
	var specs []Spec
	if p.EndpointList {
		specs = append(specs, Spec{Name: EndpointListTask})
	}
	if p.RollingRestart {
		specs = append(specs, Spec{Name: RollingRestartTask})
	}
	if p.BackupInterval > 0 {
		specs = append(specs, Spec{Name: BackupTask, RequiredLabel: BackupLabel,
			PreferredHolders: p.BackupPreferred})
	}
	for n := range p.Drills {
		specs = append(specs, Spec{Name: fmt.Sprintf(DrillTaskFormat, n+1)})
	}
	slices.SortFunc(specs, func(a, b Spec) int { return strings.Compare(a.Name, b.Name) })
	return specs
}
