package leasedtask

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is the section of the agreed document that says which duties there are.
const Section = "duties"

// The names of the duties.
const (
	BackupTask       = "backup" // writes backups of the agreed state
	EndpointListTask = "list"   // asks discovery, and gives the list to the others
	// takes the instances out one after another; its note is a plan (package conduct)
	RollingRestartTask = "roll"
	DrillTaskFormat    = "drill-%d" // does nothing, many times a second: for practice, and for audits
)

// BackupLabel is the label of an instance that has a directory for backups.
const BackupLabel = "backups"

// ZoneLabelPrefix begins the label that says in which zone an instance is.
const ZoneLabelPrefix = "zone="

// Policy is what the section says.
type Policy struct {
	EndpointList    bool // one asks discovery for all
	RollingRestart  bool // there is a conductor of rolling restarts
	Drills          int
	BackupInterval  time.Duration // between two backups; 0: none are made
	BackupsKept     int           // how many stay
	BackupPreferred []string      // who is to keep the backups, the best first
}

// rollsFrom is the format of the group's log from which on there is a conductor.
const rollsFrom = 7

// ParsePolicy reads the section, as a group of that format does, and gives what is wrong with it.
func ParsePolicy(values map[string]string, format int) (p Policy, wrong []string) {
	p.BackupsKept = 24
	keys := "list, roll, backup_every, backup_keep, backup_prefer and drill are"
	if format < rollsFrom {
		keys = "list, backup_every, backup_keep, backup_prefer and drill are"
	}
	unknown := func(key string) {
		wrong = append(wrong, fmt.Sprintf("%q is no key of this section; %s", key, keys))
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		var err error
		bad := func(what string) { wrong = append(wrong, fmt.Sprintf("%s: %q is not %s", key, text, what)) }
		switch key {
		case "drill":
			if p.Drills, err = strconv.Atoi(text); err != nil || p.Drills < 0 || p.Drills > 100 {
				bad("a number from 0 to 100")
			}
		case "list":
			if p.EndpointList = text == "on"; !p.EndpointList && text != "off" {
				bad("on or off")
			}
		case "roll":
			if format < rollsFrom {
				unknown(key)
				continue
			}
			if p.RollingRestart = text == "on"; !p.RollingRestart && text != "off" {
				bad("on or off")
			}
		case "backup_every":
			p.BackupInterval, err = time.ParseDuration(text)
			if err != nil || p.BackupInterval < time.Second || p.BackupInterval > 366*24*time.Hour {
				bad("a time from 1s to 8784h, as in \"1h\"")
			}
		case "backup_keep":
			if p.BackupsKept, err = strconv.Atoi(text); err != nil || p.BackupsKept < 1 ||
				p.BackupsKept > 10_000 {
				bad("a number from 1 to 10000")
			}
		case "backup_prefer":
			p.BackupPreferred = strings.Fields(text)
		default:
			unknown(key)
		}
	}
	return p, wrong
}

// Specs lists the duties that there are.
func (p Policy) Specs() []Spec {
	var list []Spec
	if p.EndpointList {
		list = append(list, Spec{Name: EndpointListTask})
	}
	if p.RollingRestart {
		list = append(list, Spec{Name: RollingRestartTask})
	}
	if p.BackupInterval > 0 {
		list = append(
			list,
			Spec{Name: BackupTask, RequiredLabel: BackupLabel, PreferredHolders: p.BackupPreferred},
		)
	}
	for n := range p.Drills {
		list = append(list, Spec{Name: fmt.Sprintf(DrillTaskFormat, n+1)})
	}
	slices.SortFunc(list, func(a, b Spec) int { return strings.Compare(a.Name, b.Name) })
	return list
}
