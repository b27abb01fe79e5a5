package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"moorstack/internal/storage/store"
)

func newStore(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "Look after a directory that an instance keeps its state in"}
	check := &cobra.Command{
		Use:   "check DIR",
		Short: "Walk a store and verify every byte of it",
		Long: `check reads the snapshot and every record of the log in DIR and verifies their
checksums, numbers and order. It changes nothing. The instance must be stopped.

It exits with 0 if the store is whole, also when its end was cut short in writing (the
next start cuts that off: it was never acknowledged), and with 1, naming the file and
the byte, if what was acknowledged is damaged.`,
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
