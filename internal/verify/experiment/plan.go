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

// Plan describes an experiment.
type Plan struct {
	Name      string   `toml:"name"`
	Base      string   `toml:"base"`  // path of the scenario file, relative to the plan's folder
	Seeds     int      `toml:"seeds"` // number of seeds; default 1
	FirstSeed uint64   `toml:"first_seed"`
	Factors   []Factor `toml:"factor"`

	Path string         `toml:"-"` // of the plan file
	Hash string         `toml:"-"` // of the plan and the scenario; prevents mixing results of different plans
	base map[string]any // the scenario
}

// Factor varies one key of the scenario over several levels.
type Factor struct {
	Name   string    `toml:"name"`
	Key    string    `toml:"key"` // as in "clients.*.rate" or "workers.0.count"; * is each table of an array
	Levels []any     `toml:"levels"`
	Scale  []float64 `toml:"scale"` // instead of levels: factors applied to the scenario's value
}

// maxRuns is the maximum number of runs of a plan.
const maxRuns = 100_000

// ReadPlan reads a plan and validates the scenario of every combination of levels, so that an invalid plan is
// rejected before any run starts.
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
		return nil, tomlfile.ErrorAt(path, raw, "name",
			"a plan must have a name and a base, the path of the scenario file")
	}
	if p.Seeds < 1 {
		return nil, tomlfile.ErrorAt(path, raw, "seeds", "must be at least 1, got %d", p.Seeds)
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

// readBase reads and validates the base scenario.
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
			return invalid("%q: name, key and either levels or scale must be set", f.Name)
		}
		if runs *= f.levelCount(); runs > maxRuns {
			return invalid("%s: the plan would have more than %d runs", f.Name, maxRuns)
		}
	}
	return nil
}

func (f *Factor) levelCount() int { return max(len(f.Levels), len(f.Scale)) }

// change returns the change that a level makes to the scenario's value.
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

// CombinationCount returns the number of combinations of levels.
func (p *Plan) CombinationCount() int {
	n := 1
	for i := range p.Factors {
		n *= p.Factors[i].levelCount()
	}
	return n
}

// RunCount returns the number of runs.
func (p *Plan) RunCount() int { return p.CombinationCount() * p.Seeds }

// levels returns the level of each factor in a combination.
func (p *Plan) levels(combination int) []int {
	levels := make([]int, len(p.Factors))
	for i := len(p.Factors) - 1; i >= 0; i-- {
		n := p.Factors[i].levelCount()
		levels[i], combination = combination%n, combination/n
	}
	return levels
}

// Labels describes a combination with one label for each factor.
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

// Scenario returns the scenario of a combination and a seed. It returns an error if a factor's key does not
// exist in the base scenario, or if a level makes the scenario invalid.
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
