package routing

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a line of a file.
type Position struct {
	Path string `json:"path"`
	Line int    `json:"line"` // from 1
}

// String formats the position as "path:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.Path, p.Line) }

// Problem is an error or a warning about a file of rules.
type Problem struct {
	Position
	Rule string // the rule or pool, with its number or name
	Text string
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("%v: %s: %s", p.Position, p.Rule, p.Text) }

// Problems is the list of problems with a file.
type Problems []Problem

// Error implements error. The text has a line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// KnownNames are the names of a deployment's classes, tenants, zones and kinds, by number. A nil list is
// unknown, and names in rules are then not checked against it.
type KnownNames struct {
	Classes, Tenants, Zones, Kinds []string
}

// resolveNames returns the numbers of the names that are known, and the names that are not.
func resolveNames(names, known []string) (numbers []int, unknown []string) {
	for _, name := range names {
		if i := slices.Index(known, name); i >= 0 {
			numbers = append(numbers, i)
		} else if known != nil {
			unknown = append(unknown, name)
		}
	}
	return numbers, unknown
}
