package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

func newClusterInit(g *globalFlags, r *controlFlags) *cobra.Command {
	var from string
	cmd := &cobra.Command{
		Use:   "init",
		Short: "Create a new group from one running instance",
		Long: `init creates a new group that consists of the called instance, which must not belong to a
group yet. The first configuration comes from the instance's platform file, or with --from
from a backup. Run init once for a group, then "cluster add" the other instances.`,
		Example: "  moorstack cluster init --config n1.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			in := &schema.InitRequest{}
			if from != "" {
				b, err := os.ReadFile(from)
				if err != nil {
					return err
				}
				if _, err := controlapi.DecodeBackup(b); err != nil {
					return exitError{exitInvalid, fmt.Errorf("%s: %w", from, err)}
				}
				in.Backup = b
			}
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					s, err := c.Init(ctx, in)
					if err != nil {
						return nil, table{}, err
					}
					return s, statusTable(s), nil
				})
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "start with the configuration of this backup `file`")
	addOutput(cmd, g)
	return cmd
}
