package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"moorstack/internal/storage/store"
)

func newStore(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "Inspect the directory in which an instance stores its state"}
	check := &cobra.Command{
		Use:   "check DIR",
		Short: "Read a whole store and verify it",
		Long: `check reads the snapshot and every record of the log in DIR and verifies their
checksums, numbers and order. It changes nothing. The instance must be stopped.

It exits with 0 if the store is intact, also if the last record was written only in part
(it was never acknowledged, and the next start removes it). It exits with 1, and names the
file and the byte, if acknowledged data is damaged.`,
		Example: "  moorstack store check /var/lib/moorstack/n1/agreement",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := store.Check(args[0], nil)
			if err != nil {
				return exitError{exitFailed, err}
			}
			t := table{}
			t.add("directory", r.Dir)
			t.add("format", fmt.Sprint("version ", r.Format))
			if r.Snapshot != "" {
				t.add("snapshot", fmt.Sprintf("%s, %d bytes", r.Snapshot, r.SnapshotBytes))
			}
			t.add("segments", r.Segments)
			t.add("records", fmt.Sprintf("%d after the snapshot; next is %d", r.Records, r.NextSeq))
			t.add("bytes", r.Bytes)
			if r.TornTail != "" {
				t.add("torn end", r.TornTail)
			}
			t.add("verdict", "whole")
			return g.print(cmd.OutOrStdout(), r, t)
		},
	}
	addOutput(check, g)
	cmd.AddCommand(check)
	return cmd
}
