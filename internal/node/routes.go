package node

import (
	"fmt"
	"os"
	"slices"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/proxy/routing"
)

// RoutesSection is the section of the agreed document that holds the routing rules, as the text of a TOML
// file under the key "toml".
const RoutesSection = "routes"

// routesKey is that section's only key.
const routesKey = "toml"

// DocumentRules returns the rules by which all instances check documents. Zones and kinds differ between
// instances, and are not checked here.
func DocumentRules() clusterstate.Rules {
	return clusterstate.Rules{Sections: map[string]clusterstate.SectionValidator{RoutesSection: checkRoutes}}
}

// checkRoutes validates RoutesSection and returns its problems.
func checkRoutes(d *clusterstate.Document, values map[string]string) []string {
	var problems []string
	for key := range values {
		if key != routesKey {
			problems = append(problems, fmt.Sprintf("%q is no key of this section; toml is", key))
		}
	}
	slices.Sort(problems)
	names := routing.KnownNames{Classes: classNames(d), Tenants: tenantNames(d)}
	f, err := routing.Parse(RoutesSection, []byte(values[routesKey]))
	if err == nil {
		_, _, err = routing.Compile(f, names)
	}
	if err != nil {
		problems = append(problems, err.Error())
	}
	return problems
}

// routeRules compiles routing rules for this instance.
type routeRules struct {
	names routing.KnownNames
	file  string // path of this instance's own rules; empty: none
	log   logrus.FieldLogger
}

// tableFor compiles the rules of an agreed document, or this instance's own if the document has none. A nil
// table means that there are no rules.
func (r *routeRules) tableFor(d *clusterstate.Document) (*routing.Table, error) {
	section, ok := d.Sections[RoutesSection]
	if !ok {
		return r.localTable()
	}
	return r.compile(RoutesSection, []byte(section[routesKey]))
}

// localTable compiles this instance's own rules. A nil table means that there are none.
func (r *routeRules) localTable() (*routing.Table, error) {
	if r.file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(r.file)
	if err != nil {
		return nil, err
	}
	return r.compile(r.file, raw)
}

func (r *routeRules) compile(path string, raw []byte) (*routing.Table, error) {
	f, err := routing.Parse(path, raw)
	if err != nil {
		return nil, err
	}
	t, warnings, err := routing.Compile(f, r.names)
	for _, w := range warnings {
		r.log.WithField("rule", w.Rule).WithError(w).Warn("routing rule problem")
	}
	return t, err
}
