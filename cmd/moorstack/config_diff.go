package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

func newConfigDiff(g *globalFlags, r *controlFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE | diff REV [REV]",
		Short: "Compare a file or revision with the newest revision, or two revisions",
		Example: `  moorstack config diff config.toml
  moorstack config diff 12 15`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					from, to, err := configsToCompare(ctx, c, args)
					if err != nil {
						return nil, table{}, err
					}
					lines := clusterstate.Diff(&from.Document, &to.Document)
					t := table{}
					for _, l := range lines {
						t.add(l)
					}
					return lines, t, nil
				})
		},
	}
}

// configsToCompare reads the two configurations that diff's arguments name. With one argument, the newest
// revision is the old side for a file, and the new side for a revision.
func configsToCompare(ctx context.Context, c schema.ControlClient, args []string) (from, to *configFile,
	err error) {
	first, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil && len(args) > 1 {
		return nil, nil, fmt.Errorf("REV must be the number of a revision, got %q", args[0])
	}
	if err != nil {
		if to, _, err = readConfigFile(args[0]); err != nil {
			return nil, nil, err
		}
		from, err = fetchConfig(ctx, c, newestRevision)
		return from, to, err
	}
	if from, err = fetchConfig(ctx, c, first); err != nil {
		return nil, nil, err
	}
	second := newestRevision
	if len(args) > 1 {
		if second, err = strconv.ParseUint(args[1], 10, 64); err != nil {
			return nil, nil, fmt.Errorf("REV must be the number of a revision, got %q", args[1])
		}
	}
	to, err = fetchConfig(ctx, c, second)
	return from, to, err
}
