// Package experiment runs a plan of emulated worlds (a scenario, factors with levels, seeds),
// keeps what was measured as tables, and says which differences are real.
package experiment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"moorstack/internal/tomlfile"
	"moorstack/internal/verify/emulate"
)

// Plan is an experiment as people write it.
type Plan struct {
	Name      string   `toml:"name"`
	Base      string   `toml:"base"`  // the scenario's file, from the plan's folder
	Seeds     int      `toml:"seeds"` // how many
	FirstSeed uint64   `toml:"first_seed"`
	Factors   []Factor `toml:"factor"`

	Path string         `toml:"-"`
	Hash string         `toml:"-"` // of the plan and the scenario: results of others don't go on with these
	base map[string]any // the scenario
}

// Factor is what is varied: a key of the scenario, and the levels that it has.
type Factor struct {
	Name   string    `toml:"name"`
	Key    string    `toml:"key"` // as in "clients.*.rate" or "workers.0.count"; * is each of an array
	Levels []any     `toml:"levels"`
	Scale  []float64 `toml:"scale"` // in place of levels: the scenario's own value, times these
}

// maxRuns bounds a plan.
const maxRuns = 100_000

// ReadPlan reads a plan, and tries every combination of its levels: a plan that can't be
// run to its end is refused before anything runs.
func ReadPlan(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{Path: path, Seeds: 1}
	if err := tomlfile.Decode(path, raw, p); err != nil {
		return nil, err
	}
	if p.Base == "" || p.Name == "" {
		return nil, tomlfile.ErrorAt(path, raw, "name", "a plan has a name and a base, the scenario's file")
	}
	if p.Seeds < 1 {
		return nil, tomlfile.ErrorAt(path, raw, "seeds", "%d is not a number of seeds", p.Seeds)
	}
	base := filepath.Join(filepath.Dir(path), p.Base)
	text, err := os.ReadFile(base)
	if err != nil {
		return nil, err
	}
	if _, err := emulate.ParseScenario(base, text); err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(text, &p.base); err != nil {
		return nil, fmt.Errorf("%s: %w", base, err)
	}
	sum := sha256.Sum256(append(append([]byte{}, raw...), text...))
	p.Hash = hex.EncodeToString(sum[:8])
	runs := p.Seeds
	for i, f := range p.Factors {
		wrong := func(format string, args ...any) error {
			return &tomlfile.Error{Path: path, Line: tomlfile.LineOfTable(raw, "factor", i), Key: "factor",
				Message: fmt.Sprintf(format, args...)}
		}
		if f.Name == "" || f.Key == "" || (len(f.Levels) == 0) == (len(f.Scale) == 0) {
			return nil, wrong("%q: a name, a key, and either levels or scale are wanted", f.Name)
		}
		if runs *= f.levelCount(); runs > maxRuns {
			return nil, wrong("%s: there would be over %d runs", f.Name, maxRuns)
		}
	}
	for cell := range p.CombinationCount() {
		if _, err := p.Scenario(cell, p.FirstSeed); err != nil {
			return nil, fmt.Errorf("%s: with %s: %w", path, strings.Join(p.Labels(cell), ", "), err)
		}
	}
	return p, nil
}

func (f *Factor) levelCount() int { return max(len(f.Levels), len(f.Scale)) }

func (f *Factor) label(level int) string {
	if len(f.Scale) > 0 {
		return "x" + strconv.FormatFloat(f.Scale[level], 'g', 4, 64)
	}
	return fmt.Sprint(f.Levels[level])
}

// CombinationCount is how many combinations of levels there are.
func (p *Plan) CombinationCount() int {
	n := 1
	for i := range p.Factors {
		n *= p.Factors[i].levelCount()
	}
	return n
}

// RunCount is how many runs there are.
func (p *Plan) RunCount() int { return p.CombinationCount() * p.Seeds }

// levels gives the level of each factor in a combination.
func (p *Plan) levels(cell int) []int {
	levels := make([]int, len(p.Factors))
	for i := len(p.Factors) - 1; i >= 0; i-- {
		n := p.Factors[i].levelCount()
		levels[i], cell = cell%n, cell/n
	}
	return levels
}

// Labels says in words what a combination is.
func (p *Plan) Labels(cell int) []string {
	var labels []string
	for i, level := range p.levels(cell) {
		labels = append(labels, p.Factors[i].Name+" "+p.Factors[i].label(level))
	}
	if len(labels) == 0 {
		labels = []string{"base"}
	}
	return labels
}

// Scenario makes the world of a combination and a seed.
func (p *Plan) Scenario(cell int, seed uint64) (*emulate.Scenario, error) {
	tree := copyTree(p.base).(map[string]any)
	for i, level := range p.levels(cell) {
		f := &p.Factors[i]
		var value any
		by := 0.0
		if len(f.Scale) > 0 {
			by = f.Scale[level]
		} else {
			value = f.Levels[level]
		}
		if err := setAt(tree, strings.Split(f.Key, "."), value, by); err != nil {
			return nil, fmt.Errorf("factor %s: key %s: %w", f.Name, f.Key, err)
		}
	}
	tree["seed"] = int64(seed)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(tree); err != nil {
		return nil, err
	}
	return emulate.ParseScenario(p.Base, text.Bytes())
}

func copyTree(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for k, x := range v {
			out[k] = copyTree(x)
		}
		return out
	case []map[string]any:
		out := make([]map[string]any, len(v))
		for i, x := range v {
			out[i] = copyTree(x).(map[string]any)
		}
		return out
	}
	return v
}

// setAt puts a value at a path of a tree, or multiplies what is there.
func setAt(node any, path []string, value any, by float64) error {
	switch node := node.(type) {
	case []map[string]any:
		if path[0] == "*" {
			for _, x := range node {
				if err := setAt(x, path[1:], value, by); err != nil {
					return err
				}
			}
			return nil
		}
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) {
			return fmt.Errorf("%q is none of its %d entries", path[0], len(node))
		}
		return setAt(node[i], path[1:], value, by)
	case map[string]any:
		if len(path) > 1 {
			next, ok := node[path[0]]
			if !ok {
				return fmt.Errorf("there is no %q", path[0])
			}
			return setAt(next, path[1:], value, by)
		}
		if value != nil {
			node[path[0]] = value
			return nil
		}
		switch was := node[path[0]].(type) {
		case int64:
			node[path[0]] = int64(float64(was)*by + 0.5)
		case float64:
			node[path[0]] = was * by
		default:
			return fmt.Errorf("%q is no number in the scenario, so there is nothing to multiply", path[0])
		}
		return nil
	}
	return fmt.Errorf("there is nothing below %q", path[0])
}
