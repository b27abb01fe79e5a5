package expect

import (
	"fmt"
	"path/filepath"
	"slices"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/tomlfile"
)

// Suite is a file of expectations together with the settings and rules that it refers to.
type Suite struct {
	File
	Path       string
	raw        []byte
	settings   balancer.Settings
	knownNames routing.KnownNames
	table      *routing.Table // nil: the file names no rules
	rules      *routing.File
	// The maps are indexed by name. The worker set with the empty name holds all workers.
	workers    map[string]*Worker
	workerSets map[string][]*Worker
	jobs       map[string]*Job
}

// Load parses a file of expectations, whose content is raw, and reads the files that it refers to; readFile
// reads the rules file. An error in the file of expectations is a *tomlfile.Error, one in the rules is a
// routing.Problems.
func Load(path string, raw []byte, readFile func(string) ([]byte, error)) (*Suite, error) {
	s := &Suite{Path: path, raw: raw, workers: map[string]*Worker{}, workerSets: map[string][]*Worker{},
		jobs: map[string]*Job{}}
	if err := tomlfile.Decode(path, raw, &s.File); err != nil {
		return nil, err
	}
	if s.Version != fileVersion {
		return nil, tomlfile.ErrorAt(path, raw, "version", "unsupported version %d, expected 1",
			s.Version)
	}
	if s.Platform == "" {
		return nil, tomlfile.ErrorAt(path, raw, "platform", "the path of the platform file is missing")
	}
	if err := s.loadPlatform(); err != nil {
		return nil, err
	}
	if s.Rules != "" {
		if err := s.loadRules(readFile); err != nil {
			return nil, err
		}
	}
	return s, s.resolveNames()
}

// relativePath resolves a path relative to the folder of the file of expectations. Absolute paths stay as
// they are.
func (s *Suite) relativePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.Path), path)
}

func (s *Suite) loadPlatform() error {
	config, err := platform.ReadConfigFile(s.relativePath(s.Platform))
	if err != nil {
		return err
	}
	if s.settings, err = config.Settings.Balancer(); err != nil {
		return err
	}
	s.knownNames = routing.KnownNames{Zones: config.Settings.Zones, Kinds: config.Settings.Kinds}
	for _, c := range s.settings.Classes {
		s.knownNames.Classes = append(s.knownNames.Classes, c.Name)
	}
	for _, t := range s.settings.Tenants {
		s.knownNames.Tenants = append(s.knownNames.Tenants, t.Name)
	}
	return nil
}

func (s *Suite) loadRules(readFile func(string) ([]byte, error)) error {
	path := s.relativePath(s.Rules)
	text, err := readFile(path)
	if err != nil {
		return err
	}
	if s.rules, err = routing.Parse(path, text); err != nil {
		return err
	}
	s.table, _, err = routing.Compile(s.rules, s.knownNames)
	return err
}

// ApplyDocument replaces the classes and tenants of the platform file by those of a group's document.
func (s *Suite) ApplyDocument(doc *clusterstate.Document) error {
	settings, err := doc.ApplyTo(s.settings)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	s.settings = settings
	return nil
}

// errorAt returns an error with the position of the nth table of an array of tables.
func (s *Suite) errorAt(array string, n int, format string, args ...any) error {
	return &tomlfile.Error{
		Path:    s.Path,
		Line:    tomlfile.LineOfTable(s.raw, array, n),
		Key:     array,
		Message: fmt.Sprintf(format, args...),
	}
}

func (s *Suite) hasZone(name string) bool   { return slices.Contains(s.knownNames.Zones, name) }
func (s *Suite) hasKind(name string) bool   { return slices.Contains(s.knownNames.Kinds, name) }
func (s *Suite) hasClass(name string) bool  { return slices.Contains(s.knownNames.Classes, name) }
func (s *Suite) hasTenant(name string) bool { return slices.Contains(s.knownNames.Tenants, name) }
