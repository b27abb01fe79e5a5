package routing

import (
	"os"
	"strings"
	"testing"
)

func TestProblemsNameTheirLine(t *testing.T) {
	for _, c := range []struct{ want, text string }{
		{`r.toml:4: pool "p": there is no zone "mars", so no worker can ever be in it`,
			"[[pool]]\nname = \"p\"\nzone = [\"mars\"]"},
		{`r.toml:4: rule 1 (a): the weights add up to zero`,
			"[[rule]]\nname = \"a\"\nsplit = [{ pool = \"p\", weight = 0 }]\n[[pool]]\nname = \"p\""},
		{`r.toml:4: rule 1 (a): there is no pool "q"`,
			"[[rule]]\nname = \"a\"\nprefer = [\"q\"]"},
		{`r.toml:4: rule 1 (a): there is no class "x"`,
			"[[rule]]\nname = \"a\"\nmatch = { class = [\"x\"] }"},
		{`r.toml:5: rule 2 (a): rule 1 has this name, too`,
			"[[rule]]\nname = \"a\"\n[[rule]]\nname = \"a\""},
		{`r.toml:4: rule 1 (a): "often" is not never, empty or busy`,
			"[[rule]]\nname = \"a\"\nspill = \"often\""},
		{`a rule that refuses sends nowhere`,
			"[[rule]]\nname = \"a\"\nrefuse = \"no\"\nattempts = 2"},
		{`is not plain text`,
			"[[rule]]\nname = \"a\"\nrefuse = \"no\\r\\nX: y\""},
		{`r.toml:3: rule.nme: this key is not known here`,
			"[[rule]]\nnme = \"a\""},
		{`no cost is from 2s and below 1s`,
			"[[rule]]\nname = \"a\"\nmatch = { cost_from = \"2s\", cost_below = \"1s\" }"},
		{`neither a host nor`,
			"[[rule]]\nname = \"a\"\nmatch = { host = [\"a*.org\"] }"},
	} {
		if _, _, err := compile(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("want an error with %q, got %v", c.want, err)
		}
	}
}

func TestShadowedRuleIsWarnedOf(t *testing.T) {
	_, warnings, err := compile(t, "[[rule]]\nname = \"all\"\nmatch = { host = [\"*.org\"] }\n"+
		"[[rule]]\nname = \"none\"\nmatch = { host = [\"a.org\", \"*.b.org\"], class = [\"book\"] }\n")
	want := "r.toml:5: rule 2 (none): can never match: rule 1 (all) matches all its jobs"
	if err != nil || len(warnings) != 1 || !strings.Contains(warnings[0].Error(), want) {
		t.Errorf("got warnings %v and error %v, want one that rule 2 can never match", warnings, err)
	}
}

func TestDeployedRulesCompile(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/routes.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("routes.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	if _, w, err := Compile(f, KnownNames{}); err != nil || len(w) > 0 {
		t.Errorf("got warnings %v and error %v, want neither", w, err)
	}
}
