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

// readKnownNames reads what a deployment calls its classes, tenants, zones and kinds.
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
		StringVar(&platformFile, "platform", "", "the deployment's `file`: its names are checked, too")
	cmd.AddCommand(check, newRouteExplain(g))
	return cmd
}

func newRouteExplain(g *globalFlags) *cobra.Command {
	var r controlFlags
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
