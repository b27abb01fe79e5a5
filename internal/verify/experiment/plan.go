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
	Seeds     int      `toml:"seeds"` // how many; 1, if not given
	FirstSeed uint64   `toml:"first_seed"`
	Factors   []Factor `toml:"factor"`

	Path string         `toml:"-"` // of the plan's file
	Hash string         `toml:"-"` // of the plan and the scenario: their results are not mixed with others'
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

// ReadPlan reads a plan, and tries every combination of its levels: a plan that can't be run to its end is
// rejected before anything runs.
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
	scenario, err := p.readBase()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(append(append([]byte{}, raw...), scenario...))
	p.Hash = hex.EncodeToString(sum[:8])
	if err := p.validateFactors(raw); err != nil {
		return nil, err
	}
	for combination := range p.CombinationCount() {
		if _, err := p.Scenario(combination, p.FirstSeed); err != nil {
			labels := strings.Join(p.Labels(combination), ", ")
			return nil, fmt.Errorf("%s: with %s: %w", path, labels, err)
		}
	}
	return p, nil
}

// readBase reads the scenario, and checks it by itself.
func (p *Plan) readBase() (raw []byte, err error) {
	path := filepath.Join(filepath.Dir(p.Path), p.Base)
	if raw, err = os.ReadFile(path); err != nil {
		return nil, err
	}
	if _, err := emulate.ParseScenario(path, raw); err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(raw, &p.base); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return raw, nil
}

func (p *Plan) validateFactors(raw []byte) error {
	runs := p.Seeds
	for i, f := range p.Factors {
		invalid := func(format string, args ...any) error {
			return &tomlfile.Error{Path: p.Path, Line: tomlfile.LineOfTable(raw, "factor", i), Key: "factor",
				Message: fmt.Sprintf(format, args...)}
		}
		if f.Name == "" || f.Key == "" || (len(f.Levels) == 0) == (len(f.Scale) == 0) {
			return invalid("%q: a name, a key, and either levels or scale are wanted", f.Name)
		}
		if runs *= f.levelCount(); runs > maxRuns {
			return invalid("%s: there would be over %d runs", f.Name, maxRuns)
		}
	}
	return nil
}

func (f *Factor) levelCount() int { return max(len(f.Levels), len(f.Scale)) }

// change is what a level does to the scenario's value.
func (f *Factor) change(level int) change {
	if len(f.Scale) > 0 {
		return change{scale: f.Scale[level]}
	}
	return change{value: f.Levels[level]}
}

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
func (p *Plan) levels(combination int) []int {
	levels := make([]int, len(p.Factors))
	for i := len(p.Factors) - 1; i >= 0; i-- {
		n := p.Factors[i].levelCount()
		levels[i], combination = combination%n, combination/n
	}
	return levels
}

// Labels describes a combination, a label for each factor.
func (p *Plan) Labels(combination int) []string {
	var labels []string
	for i, level := range p.levels(combination) {
		labels = append(labels, p.Factors[i].Name+" "+p.Factors[i].label(level))
	}
	if len(labels) == 0 {
		labels = []string{"base"}
	}
	return labels
}

// Scenario makes the scenario of a combination and a seed. It fails where a factor's key is not in the base,
// or a level makes the scenario invalid.
func (p *Plan) Scenario(combination int, seed uint64) (*emulate.Scenario, error) {
	tree := copyTree(p.base).(map[string]any)
	for i, level := range p.levels(combination) {
		f := &p.Factors[i]
		if err := changeAt(tree, strings.Split(f.Key, "."), f.change(level)); err != nil {
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
