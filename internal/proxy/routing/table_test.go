package routing

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"moorstack/balancer"
)

var site = KnownNames{Classes: []string{"quote", "book", "dialysis"}, Tenants: []string{"muscat", "batinah"},
	Zones: []string{"ruwi", "seeb"}, Kinds: []string{"fast", "slow"}}

func compile(t testing.TB, text string) (*Table, Problems, error) {
	t.Helper()
	f, err := Parse("r.toml", []byte("version = 1\n"+text))
	if err != nil {
		return nil, nil, err
	}
	return Compile(f, site)
}

// fits asks a rule the slow way, condition by condition: the index must say the same.
func fits(m *MatchSpec, names KnownNames, j *Job) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	name := func(known []string, i int) string {
		if i < 0 {
			return ""
		}
		return known[i]
	}
	host, _, _ := strings.Cut(j.Host, ":")
	hostFits := len(m.Hosts) == 0 || slices.ContainsFunc(m.Hosts, func(h string) bool {
		return h == host || strings.HasPrefix(h, "*") && strings.HasSuffix(host, h[1:])
	})
	pathFits := len(m.PathPrefixes) == 0 || slices.ContainsFunc(m.PathPrefixes, func(p string) bool {
		return strings.HasPrefix(j.Path, p)
	})
	for h, v := range m.Headers {
		if got := j.Header(h); got == "" || v != "*" && got != v {
			return false
		}
	}
	return in(m.Classes, name(names.Classes, j.Class)) && in(m.Tenants, name(names.Tenants, j.Tenant)) &&
		in(
			m.Frontends,
			j.Frontend,
		) && in(m.Queues, j.Queue) && in(m.JobTypes, j.JobType) && hostFits && pathFits &&
		strings.HasPrefix(j.RouteKey, m.RouteKeyPrefix) && j.CostHint >= time.Duration(m.MinCost) &&
		(m.CostBelow == 0 || j.CostHint < time.Duration(m.CostBelow))
}

var (
	someHosts = []string{"a.org", "b.org", "x.a.org", "*.a.org", "*.org"}
	somePaths = []string{"/", "/a", "/a/b", "/c"}
)

func ruleSpec(t *rapid.T, n int) RuleSpec {
	list := func(what string, from []string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 2, rapid.ID[string]).Draw(t, what)
	}
	m := MatchSpec{
		Classes:        list("classes", append([]string{""}, site.Classes...)),
		Tenants:        list("tenants", site.Tenants),
		Frontends:      list("fronts", []string{"http", "faktory"}),
		Hosts:          list("hosts", someHosts),
		PathPrefixes:   list("paths", somePaths),
		Queues:         list("queues", []string{"q", "r"}),
		RouteKeyPrefix: rapid.SampledFrom([]string{"", "k"}).Draw(t, "key"),
	}
	if rapid.IntRange(0, 3).Draw(t, "headed") == 0 {
		m.Headers = map[string]string{"X-A": rapid.SampledFrom([]string{"*", "1"}).Draw(t, "header")}
	}
	if rapid.IntRange(0, 3).Draw(t, "costly") == 0 {
		m.MinCost, m.CostBelow = duration(time.Second), duration(2*time.Second)
	}
	return RuleSpec{Name: fmt.Sprint("r", n), Match: m}
}

func someJob(t *rapid.T) *Job {
	header := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "a header")
	return &Job{Frontend: rapid.SampledFrom([]string{"http", "faktory"}).Draw(t, "front"),
		Class: rapid.IntRange(-1, 2).Draw(t, "class"), Tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"),
		Host: rapid.SampledFrom([]string{"", "a.org", "b.org:80", "x.a.org", "z.x.a.org", "aa.org"}).
			Draw(t, "host"),
		Path: rapid.SampledFrom([]string{"", "/", "/a", "/a/b/c", "/d"}).Draw(t, "path"),
		RouteKey: rapid.SampledFrom([]string{"", "k1", "l"}).
			Draw(t, "a key"),
		Queue:    rapid.SampledFrom([]string{"", "q"}).Draw(t, "queue"),
		CostHint: time.Duration(rapid.IntRange(0, 3).Draw(t, "cost")) * time.Second,
		Header:   func(string) string { return header }}
}

// The index finds what asking each rule in turn finds, and a rule that is said never to
// match never does.
func TestIndexIsAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &File{Version: 1}
		for n := range rapid.IntRange(1, 80).Draw(t, "rules") {
			f.Rules = append(f.Rules, ruleSpec(t, n))
		}
		table, warnings, err := Compile(f, site)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			j := someJob(t)
			want := ""
			for i := range f.Rules {
				if fits(&f.Rules[i].Match, site, j) {
					want = f.Rules[i].Name
					break
				}
			}
			got := ""
			if d := table.Decide(j); d.Rule != nil {
				got = d.Rule.Name
			}
			if got != want {
				t.Fatalf("%s: rule %q, asked one by one %q", DescribeJob(site, j), got, want)
			}
			for _, w := range warnings {
				if got != "" && strings.Contains(w.Rule, "("+got+")") {
					t.Fatalf("%s is decided by %s, said never to match", DescribeJob(site, j), got)
				}
			}
		}
	})
}

func TestWhatIsWrongIsSaidWithItsLine(t *testing.T) {
	for _, c := range [][2]string{
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
		want, text := c[0], c[1]
		if _, _, err := compile(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	_, warnings, err := compile(
		t,
		"[[rule]]\nname = \"all\"\nmatch = { host = [\"*.org\"] }\n[[rule]]\nname = \"none\"\n"+
			"match = { host = [\"a.org\", \"*.b.org\"], class = [\"book\"] }\n",
	)
	if err != nil || len(warnings) != 1 ||
		!strings.Contains(
			warnings[0].Error(),
			"r.toml:5: rule 2 (none): can never match: rule 1 (all) takes all",
		) {
		t.Errorf("%v %v", warnings, err)
	}
}

// The same key goes the same way always, and the parts have their weights.
func TestSplit(t *testing.T) {
	table, _, err := compile(t, `
[[pool]]
name = "new"
cell = [1]
[[pool]]
name = "old"
[[rule]]
name = "s"
split = [{ pool = "new", weight = 10 }, { pool = "old", weight = 90 }]
`)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for i := range 10_000 {
		j := &Job{RouteKey: fmt.Sprint("key", i)}
		d := table.Decide(j)
		if again := table.Decide(j); d.Route != again.Route {
			t.Fatal("a key goes two ways")
		}
		if d.Route.(*Route).PoolNames()[0] == "new" {
			n++
		}
	}
	if n < 900 || n > 1100 { // 10 standard deviations are 300
		t.Errorf("%d of 10000 keys go to a part of 10%%", n)
	}
}

func TestTiers(t *testing.T) {
	table, _, err := compile(t, `
[[pool]]
name = "seeb-fast"
zone = ["seeb"]
kind = ["fast"]
label = ["new"]
[[pool]]
name = "seeb"
zone = ["seeb"]
[[rule]]
name = "r"
prefer = ["seeb-fast", "seeb"]
spill = "busy"
`)
	if err != nil {
		t.Fatal(err)
	}
	r := table.Decide(&Job{}).Route
	for want, w := range map[int]balancer.Worker{
		0: {Zone: 1, Kind: 0, Labels: []string{"x", "new"}}, 1: {Zone: 1, Kind: 1},
		-1: {Zone: 0, Kind: 0, Labels: []string{"new"}}} {
		if got := r.Tier(&w); got != want {
			t.Errorf("%+v stands at %d, want %d", w, got, want)
		}
	}
	if !r.SpillsOver(0, true) || !r.SpillsOver(0, false) {
		t.Error("it does not spill over")
	}
}

// The shown rules are right.
func TestShownRules(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/routes.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("routes.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	if _, w, err := Compile(f, KnownNames{}); err != nil || len(w) > 0 {
		t.Errorf("%v %v", w, err)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		f := &File{Version: 1, Pools: []PoolSpec{{Name: "p"}}}
		for i := range n {
			f.Rules = append(
				f.Rules,
				RuleSpec{Name: fmt.Sprint(i), PreferredPools: []string{"p"}, Match: MatchSpec{
					Classes: []string{site.Classes[i%3]}, Tenants: []string{site.Tenants[i%2]},
					Hosts: []string{
						fmt.Sprintf("h%d.example.org", i),
					}, PathPrefixes: []string{fmt.Sprintf("/p%d", i%7)}}},
			)
		}
		table, _, err := Compile(f, site)
		if err != nil {
			b.Fatal(err)
		}
		j := &Job{
			Frontend: "http",
			Class:    (n - 1) % 3,
			Tenant:   (n - 1) % 2,
			Host:     fmt.Sprintf("h%d.example.org", n-1),
			Path:     fmt.Sprintf("/p%d/x", (n-1)%7),
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d := table.Decide(j); d.Rule == nil || d.Rule.Number != n {
					b.Fatal("another rule")
				}
			}
		})
	}
}
