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
	Subset int  // how many workers each instance uses; 0: all
	Words  bool // what several have seen of a worker keeps all but one away from it
	Parts  bool // what nodes share of a cold worker is in as many parts as there are instances
}

// ReadPolicy reads the section, and gives what is wrong with it.
func ReadPolicy(values map[string]string) (p Policy, wrong []string) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		var err error
		switch key {
		case "subset":
			if p.Subset, err = strconv.Atoi(text); err != nil || p.Subset < 2 || p.Subset > 100_000 {
				wrong = append(wrong,
					fmt.Sprintf("subset: %q is not a number of workers from 2 to 100000", text))
			}
		case "witnesses":
			if p.Words = text == "on"; !p.Words && text != "off" {
				wrong = append(wrong, fmt.Sprintf("witnesses: %q is not on or off", text))
			}
		case "cold_parts":
			if p.Parts = text == "group"; !p.Parts && text != "file" {
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
