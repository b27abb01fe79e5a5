package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigGet(g *globalFlags, r *controlFlags) *cobra.Command {
	in := &schema.GetConfigRequest{}
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the agreed configuration as a file that propose accepts",
		Long: `get prints the newest agreed configuration, in TOML, or in JSON with --output json. It
asks the group, so that the printed revision was in force at the time of the call. With
--local it prints the copy of the called instance, and how old that is if the instance is
cut off.`,
		Example: "  moorstack config get --config n1.toml > config.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				rev, err := c.GetConfig(ctx, in)
				if err != nil {
					return err
				}
				return g.printConfig(cmd, rev)
			})
		},
	}
	cmd.Flags().Uint64Var(&in.Revision, "revision", 0, "print this older revision")
	cmd.Flags().BoolVar(&in.Local, "local", false,
		"print the called instance's copy, without asking the others")
	return cmd
}

// printConfig prints a revision as a file that propose accepts.
func (g *globalFlags) printConfig(cmd *cobra.Command, rev *schema.Revision) error {
	f, err := decodeConfig(rev)
	if err != nil {
		return err
	}
	if rev.Stale {
		fmt.Fprintf(cmd.ErrOrStderr(),
			"this instance is cut off; it has had no contact with a leader for %.1f s\n", rev.AgeS)
	}
	out := cmd.OutOrStdout()
	if g.output == "json" {
		return g.print(out, f, table{})
	}
	fmt.Fprintln(out, "# "+revisionOrigin(rev))
	return writeTOML(out, f)
}
