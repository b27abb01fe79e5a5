package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigRollback(g *globalFlags, r *controlFlags) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "rollback REV",
		Short: "Put an older revision's document in force again, as a new change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || n == 0 {
				return fmt.Errorf("REV must be the number of a revision, got %q", args[0])
			}
			if f.note == "" {
				f.note = fmt.Sprintf("back to revision %d", n)
			}
			return g.propose(cmd, r, &f, func(ctx context.Context, c schema.ControlClient) (proposal, error) {
				newest, err := fetchConfig(ctx, c, newestRevision)
				if err != nil {
					return proposal{}, err
				}
				old, err := fetchConfig(ctx, c, n)
				if err != nil {
					return proposal{}, err
				}
				return proposal{base: newest.Revision, document: &old.Document}, nil
			})
		},
	}
	f.add(cmd)
	return cmd
}
