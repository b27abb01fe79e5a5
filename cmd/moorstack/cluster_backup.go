package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newClusterBackup(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "backup FILE",
		Short: "Write the agreed configuration with its history to a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					b, err := c.Backup(ctx, &schema.BackupRequest{})
					if err != nil {
						return nil, table{}, err
					}
					if err := replaceFile(args[0], b.Backup); err != nil {
						return nil, table{}, exitError{exitFailed, err}
					}
					t := table{}
					t.add(fmt.Sprintf("%s holds revision %d, %d bytes", args[0], b.Revision, len(b.Backup)))
					return map[string]any{"file": args[0], "revision": b.Revision}, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newClusterSnapshot(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "snapshot",
		Short: "Have the instance write a snapshot and start a new log",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.callAndConfirm(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (*schema.Operated, error) {
					return c.Snapshot(ctx, &schema.SnapshotRequest{})
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}

// replaceFile replaces a file as a whole: an older file of that name stays until the new one is complete and
// synced.
func replaceFile(path string, content []byte) error {
	tmp := path + ".tmp"
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}
