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
	Backup = "backup"   // writes backups of the agreed state
	List   = "list"     // asks discovery, and gives the list to the others
	Roll   = "roll"     // takes the instances out one after another; its note is a plan (package conduct)
	Drill  = "drill-%d" // does nothing, many times a second: for practice, and for audits
)

// CanBackup is the label of an instance that has a directory for backups.
const CanBackup = "backups"

// Zone begins the label that says in which zone an instance is.
const Zone = "zone="

// Policy is what the section says.
type Policy struct {
	List   bool // one asks discovery for all
	Roll   bool // there is a conductor of rolling restarts
	Drills int
	Every  time.Duration // between two backups; 0: none are made
	Keep   int           // how many stay
	Prefer []string      // who is to keep the backups, the best first
}

// rollsFrom is the format of the group's log from which on there is a conductor.
const rollsFrom = 7

// ReadPolicy reads the section, as a group of that format does, and gives what is wrong with it.
func ReadPolicy(values map[string]string, format int) (p Policy, wrong []string) {
	p.Keep = 24
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
			if p.List = text == "on"; !p.List && text != "off" {
				bad("on or off")
			}
		case "roll":
			if format < rollsFrom {
				unknown(key)
				continue
			}
			if p.Roll = text == "on"; !p.Roll && text != "off" {
				bad("on or off")
			}
		case "backup_every":
			p.Every, err = time.ParseDuration(text)
			if err != nil || p.Every < time.Second || p.Every > 366*24*time.Hour {
				bad("a time from 1s to 8784h, as in \"1h\"")
			}
		case "backup_keep":
			if p.Keep, err = strconv.Atoi(text); err != nil || p.Keep < 1 || p.Keep > 10_000 {
				bad("a number from 1 to 10000")
			}
		case "backup_prefer":
			p.Prefer = strings.Fields(text)
		default:
			unknown(key)
		}
	}
	return p, wrong
}

// Specs lists the duties that there are.
func (p Policy) Specs() []Spec {
	var list []Spec
	if p.List {
		list = append(list, Spec{Name: List})
	}
	if p.Roll {
		list = append(list, Spec{Name: Roll})
	}
	if p.Every > 0 {
		list = append(list, Spec{Name: Backup, Label: CanBackup, Prefer: p.Prefer})
	}
	for n := range p.Drills {
		list = append(list, Spec{Name: fmt.Sprintf(Drill, n+1)})
	}
	slices.SortFunc(list, func(a, b Spec) int { return strings.Compare(a.Name, b.Name) })
	return list
}
