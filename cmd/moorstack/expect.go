package main

import (
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/frontend/platform"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
	"moorstack/internal/verify/expect"
)

type expectFlags struct {
	run, explain, roster, against, platform string
	mutate                                  bool
}

func newExpect(g *global) *cobra.Command {
	var f expectFlags
	cmd := &cobra.Command{
		Use:   "expect FILE...",
		Short: "Check where jobs would go, with no traffic",
		Long: `expect checks expectations that operators write beside their rules: that a job of this
kind goes to these workers, never to those, is refused with this reason, falls back there.
It runs the real rules, core and decisions in virtual time against stand-in workers, and
opens no socket. docs/operators/expectations.md shows how to write them.

It exits with 0 if all hold, 1 if some fail, 2 if the files are wrong. A failure names
the expectation, the rule that decided, and why each worker was out.`,
		Example: `  moorstack expect deploy/expectations/sunday.toml
  moorstack expect sunday.toml --run dialysis --output junit
  moorstack expect sunday.toml --explain dialysis-seeb --roster no-seeb
  moorstack expect sunday.toml --mutate
  moorstack expect --against old.toml new.toml --platform site.json`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.against != "" {
				return compareRules(cmd, g, &f, args)
			}
			if len(args) == 0 {
				return errors.New("name a file of expectations")
			}
			var suites []*expect.Suite
			for _, path := range args {
				raw, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				s, err := expect.Load(path, raw, os.ReadFile)
				if err != nil {
					return err
				}
				suites = append(suites, s)
			}
			switch {
			case f.explain != "":
				return explainJob(cmd, &f, suites)
			case f.mutate:
				return mutateRules(cmd, g, suites)
			}
			return runExpectations(cmd, g, &f, suites)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(
		&f.run,
		"run",
		"",
		"only the expectations whose names match this `pattern` (a regular expression)",
	)
	fl.StringVar(&f.explain, "explain", "", "say how the candidates of this `job` get fewer")
	fl.StringVar(&f.roster, "roster", "", "with --explain: in this `roster`; all workers, if not given")
	fl.BoolVar(
		&f.mutate,
		"mutate",
		false,
		"break each rule in turn, in memory, and list what no expectation notices",
	)
	fl.StringVar(
		&f.against,
		"against",
		"",
		"list the jobs that go another way by FILE than by this `old` file of rules",
	)
	fl.StringVar(&f.platform, "platform", "", "with --against: the deployment's `file`")
	cmd.Flags().StringVar(&g.output, "output", "table", "form of the answer: table, json or junit")
	return cmd
}

func runExpectations(cmd *cobra.Command, g *global, f *expectFlags, suites []*expect.Suite) error {
	var filter func(string) bool
	if f.run != "" {
		pattern, err := regexp.Compile(f.run)
		if err != nil {
			return fmt.Errorf("--run: %w", err)
		}
		filter = pattern.MatchString
	}
	began := time.Now()
	var all []expect.Result
	failed := 0
	for _, s := range suites {
		for _, r := range s.Run(filter) {
			if !r.Passed() {
				failed++
			}
			all = append(all, r)
		}
	}
	took := time.Since(began)
	if len(all) == 0 {
		return errors.New("no expectation has such a name: nothing was checked")
	}
	out := cmd.OutOrStdout()
	if g.output == "junit" {
		if err := writeJUnit(cmd, all, failed, took); err != nil {
			return err
		}
	} else {
		t := table{}
		for _, r := range all {
			if r.Passed() {
				t.add("ok", r.Name, r.Rule)
				continue
			}
			t.add("FAILED", r.Name, fmt.Sprintf("%s:%d", r.File, r.Line))
		}
		if err := g.print(out, all, t); err != nil {
			return err
		}
		if g.output != "json" {
			for _, r := range all {
				printFailure(cmd, r)
			}
			fmt.Fprintf(out, "%d expectations, %d failed, %.2f s\n", len(all), failed, took.Seconds())
		}
	}
	if failed > 0 {
		return exitError{code: exitFailed}
	}
	return nil
}

func printFailure(cmd *cobra.Command, r expect.Result) {
	if r.Passed() {
		return
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "\n%s:%d: %s\n", r.File, r.Line, r.Name)
	for _, l := range r.Failures {
		fmt.Fprintln(out, "  "+l)
	}
	for _, l := range r.Trace {
		fmt.Fprintln(out, "    "+l)
	}
}

// writeJUnit writes the results in the form that build servers read.
func writeJUnit(cmd *cobra.Command, all []expect.Result, failed int, took time.Duration) error {
	type failure struct {
		Message string `xml:"message,attr"`
		Text    string `xml:",chardata"`
	}
	type testcase struct {
		Name    string   `xml:"name,attr"`
		Class   string   `xml:"classname,attr"`
		Failure *failure `xml:"failure,omitempty"`
	}
	type suite struct {
		XMLName  xml.Name   `xml:"testsuite"`
		Name     string     `xml:"name,attr"`
		Tests    int        `xml:"tests,attr"`
		Failures int        `xml:"failures,attr"`
		Time     float64    `xml:"time,attr"`
		Cases    []testcase `xml:"testcase"`
	}
	s := suite{Name: "expectations", Tests: len(all), Failures: failed, Time: took.Seconds()}
	for _, r := range all {
		c := testcase{Name: r.Name, Class: r.File}
		if !r.Passed() {
			c.Failure = &failure{r.Failures[0], strings.Join(append(r.Failures, r.Trace...), "\n")}
		}
		s.Cases = append(s.Cases, c)
	}
	e := xml.NewEncoder(cmd.OutOrStdout())
	e.Indent("", "  ")
	if err := e.Encode(s); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout())
	return err
}

func explainJob(cmd *cobra.Command, f *expectFlags, suites []*expect.Suite) error {
	for _, s := range suites {
		lines, err := s.Explain(f.explain, f.roster)
		if err != nil {
			return err
		}
		for _, l := range lines {
			fmt.Fprintln(cmd.OutOrStdout(), l)
		}
	}
	return nil
}

func mutateRules(cmd *cobra.Command, g *global, suites []*expect.Suite) error {
	var all []expect.Mutant
	survivors := 0
	t := table{head: []string{"RULE", "BROKEN", "NOTICED BY"}}
	for _, s := range suites {
		for _, m := range s.Mutate() {
			all = append(all, m)
			if m.KilledBy == "" {
				survivors++
				m.KilledBy = "NOBODY"
			}
			t.add(m.Rule, m.Mutation, m.KilledBy)
		}
	}
	t.add("", "", "")
	t.add(fmt.Sprintf("%d breakings, %d survive", len(all), survivors))
	if err := g.print(cmd.OutOrStdout(), all, t); err != nil {
		return err
	}
	if survivors > 0 {
		return exitError{code: exitFailed}
	}
	return nil
}

func compareRules(cmd *cobra.Command, g *global, f *expectFlags, args []string) error {
	if len(args) != 1 || f.platform == "" {
		return errors.New("--against OLD takes one file of rules, and --platform FILE")
	}
	names, err := namesOf(f.platform)
	if err != nil {
		return err
	}
	var files [2]*routing.File
	for i, path := range []string{f.against, args[0]} {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if files[i], err = routing.Parse(path, raw); err != nil {
			return err
		}
	}
	changes, jobs, err := expect.CompareRules(names, files[0], files[1], 100)
	if err != nil {
		return err
	}
	t := table{head: []string{"JOB", "WAS", "NOW"}}
	for _, c := range changes {
		t.add(c.Job, c.Before, c.After)
	}
	t.add(fmt.Sprintf("%d jobs made, %d ways changed", jobs, len(changes)))
	return g.print(cmd.OutOrStdout(), changes, t)
}

// namesOf reads what a deployment calls its classes, tenants, zones and kinds.
func namesOf(path string) (routing.KnownNames, error) {
	cfg, err := platform.ReadConfigFile(path)
	if err != nil {
		return routing.KnownNames{}, err
	}
	names := routing.KnownNames{Zones: cfg.Settings.Zones, Kinds: cfg.Settings.Kinds}
	for _, c := range cfg.Settings.Classes {
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range cfg.Settings.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	return names, nil
}

func newRoute(g *global) *cobra.Command {
	cmd := &cobra.Command{Use: "route", Short: "Check rules by which jobs are routed"}
	var platformFile string
	check := &cobra.Command{
		Use:     "check FILE",
		Short:   "Say what is wrong with a file of rules, and which rules can never match",
		Example: "  moorstack route check deploy/routes.toml --platform deploy/expectations/site.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var names routing.KnownNames
			var err error
			if platformFile != "" {
				if names, err = namesOf(platformFile); err != nil {
					return err
				}
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			file, err := routing.Parse(args[0], raw)
			if err != nil {
				return err
			}
			compiled, warnings, err := routing.Compile(file, names)
			if err != nil {
				return exitError{exitInvalid, err}
			}
			for _, w := range warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "warning:", w.Error())
			}
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%s: %d rules, %d warnings\n",
				args[0],
				len(compiled.Rules()),
				len(warnings),
			)
			return nil
		},
	}
	check.Flags().
		StringVar(&platformFile, "platform", "", "the deployment's `file`: its names are checked, too")
	cmd.AddCommand(check, newRouteExplain(g))
	return cmd
}

func newRouteExplain(g *global) *cobra.Command {
	var r remote
	in := &schema.ExplainRouteRequest{}
	var cost time.Duration
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Ask a running instance where a job would go now, and why",
		Long: `explain asks an instance that runs under serve: which rule decides, and how each worker
stands. It sends no job and changes nothing; readers may call it.`,
		Example: `  moorstack route explain --config n1.toml --class dialysis-book --host seeb.example.org`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			in.CostUs = cost.Microseconds()
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				out, err := c.ExplainRoute(ctx, in)
				if err != nil {
					return err
				}
				t := table{}
				t.add("rule", dash(out.Rule))
				if out.Refused != "" {
					t.add("refused", out.Refused)
				} else {
					t.add("class", dash(out.Class))
				}
				for n, tier := range out.Tiers {
					t.add(fmt.Sprintf("choice %d", n+1), tier.Pool+": "+dash(strings.Join(tier.Left, ", ")))
					for _, name := range slices.Sorted(maps.Keys(tier.Out)) {
						t.add("", "out: "+name+", "+tier.Out[name])
					}
				}
				return g.print(cmd.OutOrStdout(), out, t)
			})
		},
	}
	r.addFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&in.Front, "front", "http", "http or faktory")
	f.StringVar(&in.Class, "class", "", "the job's class")
	f.StringVar(&in.Tenant, "tenant", "", "its team")
	f.StringVar(&in.Host, "host", "", "the host that it was sent to")
	f.StringVar(&in.Path, "path", "", "its path")
	f.StringToStringVar(&in.Header, "header", nil, "headers, as name=value")
	f.StringVar(&in.Key, "route-key", "", "its route key")
	f.DurationVar(&cost, "cost", 0, "its cost hint")
	f.StringVar(&in.Queue, "queue", "", "its Faktory queue")
	f.StringVar(&in.Jobtype, "jobtype", "", "its Faktory type")
	addOutput(cmd, g)
	return cmd
}
