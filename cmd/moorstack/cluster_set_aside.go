package main

import (
	"context"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newClusterSetAside(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set-aside NAME",
		Short: "Give your word that an instance does not serve, so that changes don't wait for it",
		Long: `set-aside tells the group that the instance NAME admits no jobs: that its process has ended,
or that no client reaches it. Changes no longer wait for it, and it must hear from the group
before it admits a job again, which it does by itself when it is back.

Where the group goes by "cut_off = lease" this only saves the wait for its lease. Where it goes
by "serve" it is the only way on without the instance. Hazard: an instance that is cut off, and
serves on all the same, serves under the old policy.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.callAndConfirm(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (*schema.Operated, error) {
					return c.SetAside(ctx, &schema.SetAsideRequest{Name: args[0]})
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}
