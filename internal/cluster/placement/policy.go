package placement

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Section is the section of the agreed document that says how instances share workers.
const Section = "workers"

// Policy is what the section says.
type Policy struct {
	SubsetSize          int  // how many workers each instance uses; 0: all
	OutlierReports      bool // what several have seen of a worker keeps all but one away from it
	SlowStartPartitions bool // what nodes share of a cold worker is in as many parts as there are instances
}

// ParsePolicy reads the section, and gives what is wrong with it.
func ParsePolicy(values map[string]string) (p Policy, wrong []string) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		var err error
		switch key {
		case "subset":
			if p.SubsetSize, err = strconv.Atoi(text); err != nil || p.SubsetSize < 2 ||
				p.SubsetSize > 100_000 {
				wrong = append(wrong,
					fmt.Sprintf("subset: %q is not a number of workers from 2 to 100000", text))
			}
		case "witnesses":
			if p.OutlierReports = text == "on"; !p.OutlierReports && text != "off" {
				wrong = append(wrong, fmt.Sprintf("witnesses: %q is not on or off", text))
			}
		case "cold_parts":
			if p.SlowStartPartitions = text == "group"; !p.SlowStartPartitions && text != "file" {
				wrong = append(wrong, fmt.Sprintf("cold_parts: %q is not group (as many as there are "+
					"instances) or file (as the platform file's fleet_size says)", text))
			}
		default:
			wrong = append(wrong,
				fmt.Sprintf("%q is no key of this section; subset, cold_parts and "+
					"witnesses are", key))
		}
	}
	return p, wrong
}
