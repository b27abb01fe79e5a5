package main

import (
	"encoding/xml"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/proxy/routing"
	"moorstack/internal/verify/expect"
)

type expectFlags struct {
	run, explain, endpointList, against, platform string
	mutate                                        bool
}

func newExpect(g *globalFlags) *cobra.Command {
	var f expectFlags
	cmd := &cobra.Command{
		Use:   "expect FILE...",
		Short: "Check where jobs would go, without traffic",
		Long: `expect checks the expectations that operators keep next to their routing rules: that a given
kind of job goes to certain workers, never goes to others, is rejected for a given reason, or
falls back to a given pool. It runs the real routing, broker and balancer in virtual time against
stub workers, and opens no socket. docs/operators/expectations.md shows how to write them.

It exits with 0 if all expectations hold, 1 if some fail, 2 if a file is invalid. A failure
names the expectation, the rule that decided, and why each worker was excluded.`,
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
				return errors.New("at least one file of expectations must be given")
			}
			suites, err := readSuites(args)
			if err != nil {
				return err
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
	f.add(cmd)
	cmd.Flags().StringVar(&g.output, "output", "table", "output format: table, json or junit")
	return cmd
}

func (f *expectFlags) add(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.StringVar(&f.run, "run", "",
		"check only the expectations whose names match this `pattern` (a regular expression)")
	fl.StringVar(&f.explain, "explain", "", "show how the candidates of this `job` are narrowed down")
	fl.StringVar(&f.endpointList, "roster", "", "with --explain: use this `roster`; all workers if empty")
	fl.BoolVar(&f.mutate, "mutate", false,
		"break each rule in turn, in memory, and list the mutations that no expectation detects")
	fl.StringVar(&f.against, "against", "",
		"list the jobs that FILE routes differently from this `old` file of rules")
	fl.StringVar(&f.platform, "platform", "", "with --against: the deployment's `file`")
}

// readSuites reads files of expectations and the rules that each of them names.
func readSuites(paths []string) ([]*expect.Suite, error) {
	var suites []*expect.Suite
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		s, err := expect.Load(path, raw, os.ReadFile)
		if err != nil {
			return nil, err
		}
		suites = append(suites, s)
	}
	return suites, nil
}

func runExpectations(cmd *cobra.Command, g *globalFlags, f *expectFlags, suites []*expect.Suite) error {
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
		return errors.New("no expectation is selected; nothing was checked")
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

// writeJUnit writes the results as JUnit XML, which build servers read.
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
		lines, err := s.Explain(f.explain, f.endpointList)
		if err != nil {
			return err
		}
		for _, l := range lines {
			fmt.Fprintln(cmd.OutOrStdout(), l)
		}
	}
	return nil
}

func mutateRules(cmd *cobra.Command, g *globalFlags, suites []*expect.Suite) error {
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
	t.add(fmt.Sprintf("%d mutations, %d survive", len(all), survivors))
	if err := g.print(cmd.OutOrStdout(), all, t); err != nil {
		return err
	}
	if survivors > 0 {
		return exitError{code: exitFailed}
	}
	return nil
}

func compareRules(cmd *cobra.Command, g *globalFlags, f *expectFlags, args []string) error {
	if len(args) != 1 || f.platform == "" {
		return errors.New("--against OLD needs exactly one file of rules, and --platform FILE")
	}
	names, err := readKnownNames(f.platform)
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
	t.add(fmt.Sprintf("%d jobs generated, %d routed differently", jobs, len(changes)))
	return g.print(cmd.OutOrStdout(), changes, t)
}
