package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"moorstack/balancer"
)

var testNames = KnownNames{Classes: []string{"quote", "book", "dialysis"},
	Tenants: []string{"muscat", "batinah"}, Zones: []string{"ruwi", "seeb"}, Kinds: []string{"fast", "slow"}}

func compile(t testing.TB, text string) (*Table, Problems, error) {
	t.Helper()
	f, err := Parse("r.toml", []byte("version = 1\n"+text))
	if err != nil {
		return nil, nil, err
	}
	return Compile(f, testNames)
}

func mustCompile(t testing.TB, text string) *Table {
	t.Helper()
	table, _, err := compile(t, text)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// matchesByScan checks a rule's conditions one by one, as a reference for the index.
func matchesByScan(m *MatchSpec, names KnownNames, j *Job) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	name := func(known []string, i int) string {
		if i < 0 {
			return ""
		}
		return known[i]
	}
	host, _, _ := strings.Cut(j.Host, ":")
	hostMatches := len(m.Hosts) == 0 || slices.ContainsFunc(m.Hosts, func(h string) bool {
		return h == host || strings.HasPrefix(h, "*") && strings.HasSuffix(host, h[1:])
	})
	pathMatches := len(m.PathPrefixes) == 0 || slices.ContainsFunc(m.PathPrefixes, func(p string) bool {
		return strings.HasPrefix(j.Path, p)
	})
	for h, v := range m.Headers {
		if value := j.Header(h); value == "" || v != "*" && value != v {
			return false
		}
	}
	return in(m.Classes, name(names.Classes, j.Class)) && in(m.Tenants, name(names.Tenants, j.Tenant)) &&
		in(m.Fronts, j.Front) && in(m.Queues, j.Queue) && in(m.JobTypes, j.JobType) && hostMatches &&
		pathMatches && strings.HasPrefix(j.RouteKey, m.RouteKeyPrefix) &&
		j.ExpectedWork >= time.Duration(m.MinWork) &&
		(m.WorkBelow == 0 || j.ExpectedWork < time.Duration(m.WorkBelow))
}

func drawRule(t *rapid.T, n int) RuleSpec {
	list := func(what string, from ...string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 2, rapid.ID[string]).Draw(t, what)
	}
	m := MatchSpec{
		Classes:        list("classes", append([]string{""}, testNames.Classes...)...),
		Tenants:        list("tenants", testNames.Tenants...),
		Fronts:         list("frontends", FrontHTTP, FrontFaktory),
		Hosts:          list("hosts", "a.org", "b.org", "x.a.org", "*.a.org", "*.org"),
		PathPrefixes:   list("path prefixes", "/", "/a", "/a/b", "/c"),
		Queues:         list("queues", "q", "r"),
		RouteKeyPrefix: rapid.SampledFrom([]string{"", "k"}).Draw(t, "route key prefix"),
	}
	if rapid.IntRange(0, 3).Draw(t, "with header") == 0 {
		m.Headers = map[string]string{"X-A": rapid.SampledFrom([]string{"*", "1"}).Draw(t, "header match")}
	}
	if rapid.IntRange(0, 3).Draw(t, "with expected work") == 0 {
		m.MinWork, m.WorkBelow = duration(time.Second), duration(2*time.Second)
	}
	return RuleSpec{Name: fmt.Sprint("r", n), Match: m}
}

func drawJob(t *rapid.T) *Job {
	one := func(what string, of ...string) string { return rapid.SampledFrom(of).Draw(t, what) }
	header := one("header", "", "1", "2")
	return &Job{
		Front:        one("frontend", FrontHTTP, FrontFaktory),
		Class:        rapid.IntRange(-1, 2).Draw(t, "class"),
		Tenant:       rapid.IntRange(-1, 1).Draw(t, "tenant"),
		Host:         one("host", "", "a.org", "b.org:80", "x.a.org", "z.x.a.org", "aa.org"),
		Path:         one("path", "", "/", "/a", "/a/b/c", "/d"),
		RouteKey:     one("route key", "", "k1", "l"),
		Queue:        one("queue", "", "q"),
		ExpectedWork: time.Duration(rapid.IntRange(0, 3).Draw(t, "expected work")) * time.Second,
		Header:       func(string) string { return header },
	}
}

// The index must find the same rule as a check of each rule in order. A rule must not match any job if a
// warning says that it can never match.
func TestIndexMatchesAScanOfTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &File{Version: fileVersion}
		for n := range rapid.IntRange(1, 80).Draw(t, "rules") {
			f.Rules = append(f.Rules, drawRule(t, n))
		}
		table, warnings, err := Compile(f, testNames)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			j := drawJob(t)
			want := ""
			for i := range f.Rules {
				if matchesByScan(&f.Rules[i].Match, testNames, j) {
					want = f.Rules[i].Name
					break
				}
			}
			got := ""
			if d := table.Decide(j); d.Rule != nil {
				got = d.Rule.Name
			}
			if got != want {
				t.Fatalf("%s: index found rule %q, scan found %q", DescribeJob(testNames, j), got, want)
			}
			for _, w := range warnings {
				if got != "" && strings.Contains(w.Rule, "("+got+")") {
					t.Fatalf("%s matches rule %s, reported to never match", DescribeJob(testNames, j), got)
				}
			}
		}
	})
}

// The same key must always get the same route, and each part of a split a share of the keys in proportion to
// its weight.
func TestSplitIsStableAndWeighted(t *testing.T) {
	table := mustCompile(t, `
[[pool]]
name = "new"
cell = [1]
[[pool]]
name = "old"
[[rule]]
name = "s"
split = [{ pool = "new", weight = 10 }, { pool = "old", weight = 90 }]
`)
	n := 0
	for i := range 10_000 {
		j := &Job{RouteKey: fmt.Sprint("key", i)}
		d := table.Decide(j)
		if again := table.Decide(j); d.Route != again.Route {
			t.Fatal("the same key got two different routes")
		}
		if d.Route.(*Route).PoolNames()[0] == "new" {
			n++
		}
	}
	if n < 900 || n > 1100 { // 100 is over 3 standard deviations, of 30 each
		t.Errorf("%d of 10000 keys went to a part with a weight of 10%%, want 900 to 1100", n)
	}
}

func TestTierIsTheFirstPoolThatContainsTheWorker(t *testing.T) {
	r := mustCompile(t, `
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
`).Decide(&Job{}).Route
	for want, w := range map[int]balancer.Worker{
		0:  {Zone: 1, Kind: 0, Labels: []string{"x", "new"}},
		1:  {Zone: 1, Kind: 1},
		-1: {Zone: 0, Kind: 0, Labels: []string{"new"}},
	} {
		if got := r.Tier(&w); got != want {
			t.Errorf("%+v is in tier %d, want %d", w, got, want)
		}
	}
	if !r.SpillsOver(0, true) || !r.SpillsOver(0, false) {
		t.Error("the route does not spill over, want spillover in both cases")
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		f := &File{Version: fileVersion, Pools: []PoolSpec{{Name: "p"}}}
		for i := range n {
			f.Rules = append(f.Rules, RuleSpec{Name: fmt.Sprint(i), PreferredPools: []string{"p"},
				Match: MatchSpec{
					Classes:      []string{testNames.Classes[i%3]},
					Tenants:      []string{testNames.Tenants[i%2]},
					Hosts:        []string{fmt.Sprintf("h%d.example.org", i)},
					PathPrefixes: []string{fmt.Sprintf("/p%d", i%7)},
				}})
		}
		table, _, err := Compile(f, testNames)
		if err != nil {
			b.Fatal(err)
		}
		j := &Job{
			Front:  FrontHTTP,
			Class:  (n - 1) % 3,
			Tenant: (n - 1) % 2,
			Host:   fmt.Sprintf("h%d.example.org", n-1),
			Path:   fmt.Sprintf("/p%d/x", (n-1)%7),
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d := table.Decide(j); d.Rule == nil || d.Rule.Number != n {
					b.Fatal("Decide did not return the expected rule")
				}
			}
		})
	}
}
