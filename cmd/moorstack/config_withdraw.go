package main

import (
	"context"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigWithdraw(g *globalFlags, r *controlFlags) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "withdraw [CHANGE]",
		Short: "Withdraw the pending change, so that it comes into force nowhere",
		Long: `withdraw ends the pending change; with CHANGE, only if that is the pending one. The author of
the change is notified. A change that is in force can't be withdrawn: see rollback.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in := &schema.WithdrawRequest{Reason: reason}
			if len(args) > 0 {
				in.Change = args[0]
			}
			return g.callAndConfirm(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (*schema.Operated, error) {
					return c.Withdraw(ctx, in)
				})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why the change is withdrawn, for its author")
	return cmd
}
