package main

import (
	"context"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newClusterSetAside(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "set-aside NAME",
		Short: "Confirm that an instance does not serve, so that changes don't wait for it",
		Long: `set-aside confirms to the group that the instance NAME admits no jobs: that its process has
ended, or that no client reaches it. Changes no longer wait for it. Before it admits jobs again
it must hear from the group, which happens without an operator once it is back.

If the group runs with "cut_off = lease", this only saves the wait for the instance's lease to
expire. With "cut_off = serve", it is the only way to continue without the instance. Warning: an
instance that is cut off and nevertheless serves does so under the old policy.`,
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
