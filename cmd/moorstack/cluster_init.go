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
		Short: "Make a new group of one running instance",
		Long: `init makes a new group of the called instance, which must belong to none. The first
configuration is what the instance's own platform file says, or with --from a backup's.
Do this once for a group, and "cluster add" the others.`,
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
	cmd.Flags().StringVar(&from, "from", "", "begin with the configuration of this backup `file`")
	addOutput(cmd, g)
	return cmd
}
