package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

func newClusterRestore(g *globalFlags, r *controlFlags) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "restore FILE",
		Short: "Put a backup's configuration in force in a running group, as a new change",
		Long: `restore proposes the newest configuration of a backup to a running group. If the whole
group is lost, create a new one from the backup: "cluster init --from FILE".`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			b, err := controlapi.DecodeBackup(raw)
			if err != nil {
				return exitError{exitInvalid, fmt.Errorf("%s: %w", args[0], err)}
			}
			old := b.Revisions[len(b.Revisions)-1]
			if f.note == "" {
				f.note = fmt.Sprintf("restored from a backup of group %s, revision %d", b.Cluster, old.Number)
			}
			return g.propose(cmd, r, &f, func(ctx context.Context, c schema.ControlClient) (proposal, error) {
				newest, err := c.GetConfig(ctx, &schema.GetConfigRequest{})
				if err != nil {
					return proposal{}, err
				}
				return proposal{base: newest.Revision, document: old.Document}, nil
			})
		},
	}
	f.add(cmd)
	addOutput(cmd, g)
	return cmd
}
