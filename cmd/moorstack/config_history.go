package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newConfigHistory(g *globalFlags, r *controlFlags) *cobra.Command {
	var most uint32
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the kept revisions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					h, err := c.History(ctx, &schema.HistoryRequest{Most: most})
					if err != nil {
						return nil, table{}, err
					}
					t := table{head: []string{"REVISION", "WHEN", "TOOK", "AUTHOR", "CHANGE", "NOTE"}}
					for _, rev := range h.Revisions {
						t.add(rev.Revision, revisionTime(rev.AtMs), rolloutDuration(rev), orDash(rev.Author),
							rev.Id, oneLine(rev.Note))
					}
					return h.Revisions, t, nil
				})
		},
	}
	cmd.Flags().Uint32Var(&most, "most", 20, "how many revisions to list; 0: all")
	return cmd
}

// rolloutDuration is the time from a change's proposal until it was in force, by the clocks of the instances
// that recorded the two times.
func rolloutDuration(rev *schema.Revision) string {
	if rev.ForceMs == 0 || rev.AtMs <= 0 {
		return "-"
	}
	return (time.Duration(rev.ForceMs-rev.AtMs) * time.Millisecond).String()
}
