package encoded

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/frozen/golden"
	"moorstack/internal/node"
	"moorstack/internal/tomlfile"
)

const document = `
[[class]]
name = "quote"
effect = "retryable"
give_up = "5s"
aim = "1s"
worth = 1

[[tenant]]
name = "muscat"
share = 1
`

// sectionKeys holds all keys of the cluster document's sections, each with a valid value.
var sectionKeys = map[string]map[string]string{
	"rollout": {"cut_off": "lease", "lease": "2s", "stage_within": "30s", "hold_within": "1s"},
	"duties": {"list": "on", "roll": "on", "backup_every": "1h", "backup_keep": "3", "backup_prefer": "n1 n2",
		"drill": "2"},
	"schedule": {"zone": "Asia/Muscat", "zones": "00000000000000ff", "bound": "2s",
		"trigger.a": "0 6 * * * class=quote tenant=muscat account=x path=/p cost=1s late=1m spread=1h " +
			"missed=last leap=skip short=skip gap=skip fold=first interval=wall paused=yes body=a b"},
	"placement": {"weight.n1": "2.5"},
	"ratelimit": {"account": "X-Account", "tick": "100ms", "term": "1s", "parts": "3", "default": "none",
		"account.a": "10/s burst=20 floor=equal", "account.a@quote": "90/m burst=9 floor=0.5"},
	"workers":    {"subset": "10", "witnesses": "on", "cold_parts": "group"},
	"membership": {"probe": "1s"},
	"routes":     {"toml": "version = 1\n"},
	"of-no-part": {"any": "thing"},
}

// A document with all sections and keys is accepted. The problems that are reported for an invalid value or
// an unknown key are unchanged, because they are stored in the group's replicated state.
func TestSectionsOfTheDocumentAreFrozen(t *testing.T) {
	t.Parallel()
	rules := node.DocumentRules()
	validate := func(section, key, value string) []string {
		var d clusterstate.Document
		if err := tomlfile.Decode("document", []byte(document), &d); err != nil {
			t.Fatal(err)
		}
		d.Sections = map[string]map[string]string{}
		for name, values := range sectionKeys {
			d.Sections[name] = maps.Clone(values)
		}
		if section != "" {
			d.Sections[section][key] = value
		}
		return rules.Validate(&d)
	}
	var b strings.Builder
	write := func(section, key, value string) {
		fmt.Fprintf(&b, "[%s] %s = %q\n", section, key, value)
		for _, problem := range validate(section, key, value) {
			fmt.Fprintf(&b, "  %s\n", strings.ReplaceAll(problem, "\n", "\\n"))
		}
	}
	if wrong := validate("", "", ""); len(wrong) > 0 {
		t.Errorf("the document with all keys is rejected: %q", wrong)
	}
	for _, section := range slices.Sorted(maps.Keys(sectionKeys)) {
		for _, key := range append(slices.Sorted(maps.Keys(sectionKeys[section])), "no_such_key") {
			write(section, key, "?")
		}
	}
	for _, option := range []string{"zone", "class", "tenant", "account", "path", "cost", "late", "spread",
		"missed", "leap", "short", "gap", "fold", "interval", "paused", "no_such_word"} {
		write("schedule", "trigger.a", "0 6 * * * class=quote "+option+"=?")
	}
	for _, limit := range []string{"1/x", "1/s burst=?", "1/s floor=?", "1/s ?", "1/s floor=none", "5/h"} {
		write("ratelimit", "account.a", limit)
	}
	golden.Compare(t, "sections.txt", b.String())
}
