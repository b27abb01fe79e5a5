package placement

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Section is the name of the section of the group's document that configures how instances share workers.
const Section = "workers"

// Bounds of the value of the key "subset", in workers.
const (
	minSubsetSize = 2
	maxSubsetSize = 100_000
)

// Policy is the decoded section.
type Policy struct {
	SubsetSize int // number of workers that each instance uses; 0: all workers
	// OutlierReports: a worker that several instances report as an outlier is ejected by all instances but
	// one.
	OutlierReports bool
	// SlowStartPartitions: the slow-start budget of a worker is split into as many partitions as the view has
	// members, instead of as many as the platform file says.
	SlowStartPartitions bool
}

// ParsePolicy decodes the section's values. It returns one problem for each key that is unknown or has an
// invalid value.
//
// The problems are part of the replicated state, so their texts must not change.
func ParsePolicy(values map[string]string) (p Policy, problems []string) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		var err error
		switch key {
		case "subset":
			p.SubsetSize, err = strconv.Atoi(text)
			if err != nil || p.SubsetSize < minSubsetSize || p.SubsetSize > maxSubsetSize {
				problems = append(problems, fmt.Sprintf("subset: %q is not a number of workers from %d to %d",
					text, minSubsetSize, maxSubsetSize))
			}
		case "witnesses":
			if p.OutlierReports = text == "on"; !p.OutlierReports && text != "off" {
				problems = append(problems, fmt.Sprintf("witnesses: %q is not on or off", text))
			}
		case "cold_parts":
			if p.SlowStartPartitions = text == "group"; !p.SlowStartPartitions && text != "file" {
				problems = append(problems, fmt.Sprintf("cold_parts: %q is not group (as many as there are "+
					"instances) or file (as the platform file's fleet_size says)", text))
			}
		default:
			problems = append(problems, fmt.Sprintf("%q is no key of this section; subset, cold_parts and "+
				"witnesses are", key))
		}
	}
	return p, problems
}
