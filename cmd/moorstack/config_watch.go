package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

func newConfigWatch(g *globalFlags, r *controlFlags) *cobra.Command {
	var from uint64
	var count int
	cmd := &cobra.Command{
		Use:     "watch",
		Short:   "Print each revision as it comes into force, starting with the newest or a given one",
		Example: "  moorstack config watch --from 12 --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.stream(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				w, err := c.Watch(ctx, &schema.WatchRequest{From: from})
				if err != nil {
					return err
				}
				return g.printWatch(cmd.OutOrStdout(), w, count)
			})
		},
	}
	cmd.Flags().Uint64Var(&from, "from", 0, "the first revision to print; 0: the newest")
	cmd.Flags().IntVar(&count, "count", 0, "exit after this many revisions; 0: never")
	return cmd
}

// printWatch prints count revisions as they arrive; 0: until the stream ends.
func (g *globalFlags) printWatch(out io.Writer, revisions grpc.ServerStreamingClient[schema.Revision],
	count int) error {
	var before *configFile
	for n := 0; count == 0 || n < count; n++ {
		rev, err := revisions.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		f, err := decodeConfig(rev)
		if err != nil {
			return err
		}
		if g.output == "json" {
			b, err := json.Marshal(f)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s\n", b)
			continue
		}
		fmt.Fprintf(out, "revision %d %s\n", rev.Revision, revisionOrigin(rev))
		if before != nil {
			for _, l := range clusterstate.Diff(&before.Document, &f.Document) {
				fmt.Fprintln(out, "  "+l)
			}
		}
		before = f
	}
	return nil
}
