package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/frontend/platform"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/schema"
)

// readKnownNames reads the names of the classes, tenants, zones and kinds from a deployment's file.
func readKnownNames(path string) (routing.KnownNames, error) {
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

func newRoute(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "route", Short: "Check the rules that route jobs"}
	var platformFile string
	check := &cobra.Command{
		Use:     "check FILE",
		Short:   "Report problems of a file of rules, and rules that can never match",
		Example: "  moorstack route check deploy/routes.toml --platform deploy/expectations/site.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var names routing.KnownNames
			var err error
			if platformFile != "" {
				if names, err = readKnownNames(platformFile); err != nil {
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
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rules, %d warnings\n", args[0], len(compiled.Rules()),
				len(warnings))
			return nil
		},
	}
	check.Flags().
		StringVar(&platformFile, "platform", "",
			"the deployment's `file`: also check the names in the rules against it")
	cmd.AddCommand(check, newRouteExplain(g))
	return cmd
}

func newRouteExplain(g *globalFlags) *cobra.Command {
	var r controlFlags
	in := &schema.ExplainRouteRequest{}
	var cost time.Duration
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show where a running instance would route a job now, and why",
		Long: `explain asks a running instance (moorstack serve) which rule decides about a job, and which
workers are candidates. It sends no job and changes nothing; readers may call it.`,
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
				t.add("rule", orDash(out.Rule))
				if out.Refused != "" {
					t.add("refused", out.Refused)
				} else {
					t.add("class", orDash(out.Class))
				}
				for n, tier := range out.Tiers {
					t.add(fmt.Sprintf("choice %d", n+1), tier.Pool+": "+orDash(strings.Join(tier.Left, ", ")))
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
	f.StringVar(&in.Front, "front", "http", "the front that receives the job: http or faktory")
	f.StringVar(&in.Class, "class", "", "the job's class")
	f.StringVar(&in.Tenant, "tenant", "", "the job's tenant")
	f.StringVar(&in.Host, "host", "", "the host that the job is sent to")
	f.StringVar(&in.Path, "path", "", "the job's path")
	f.StringToStringVar(&in.Header, "header", nil, "the job's headers, as name=value")
	f.StringVar(&in.Key, "route-key", "", "the job's route key")
	f.DurationVar(&cost, "cost", 0, "the job's cost hint")
	f.StringVar(&in.Queue, "queue", "", "the job's Faktory queue")
	f.StringVar(&in.Jobtype, "jobtype", "", "the job's Faktory type")
	addOutput(cmd, g)
	return cmd
}
