package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
)

func newConfigSet(g *global, r *remote) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "set SECTION KEY FILE",
		Short: "Put a file's text under a key of a section, in force at all instances or none",
		Long: `set changes one key of the newest configuration. The rules by which jobs are routed are
the key toml of the section routes: they come before the files of the instances' own.`,
		Example: "  moorstack config set routes toml routes.toml --expect sunday.toml --config n1.toml",
		Args:    cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[2])
			if err != nil {
				return err
			}
			return r.within(cmd.Context(), f.patience(), func(ctx context.Context,
				c schema.ControlClient) error {
				doc, err := configAt(ctx, c, 0)
				if err != nil {
					return err
				}
				if doc.Sections == nil {
					doc.Sections = map[string]map[string]string{}
				}
				if doc.Sections[args[0]] == nil {
					doc.Sections[args[0]] = map[string]string{}
				}
				doc.Sections[args[0]][args[1]] = string(text)
				return propose(
					ctx,
					cmd,
					g,
					c,
					&f,
					doc.Revision,
					&doc.Document,
					func(p string) string { return p },
				)
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newConfigHistory(g *global, r *remote) *cobra.Command {
	var most uint32
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the revisions that are kept, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				h, err := c.History(ctx, &schema.HistoryRequest{Most: most})
				if err != nil {
					return err
				}
				t := table{head: []string{"REVISION", "WHEN", "TOOK", "AUTHOR", "CHANGE", "NOTE"}}
				for _, rev := range h.Revisions {
					t.add(
						rev.Revision,
						when(rev.AtMs),
						took(rev),
						dash(rev.Author),
						rev.Id,
						strings.TrimPrefix(note(rev.Note), ": "),
					)
				}
				return g.print(cmd.OutOrStdout(), h.Revisions, t)
			})
		},
	}
	cmd.Flags().Uint32Var(&most, "most", 20, "how many; 0: all that are kept")
	return cmd
}

func newConfigRollback(g *global, r *remote) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "rollback REV",
		Short: "Put an older revision's document in force again, as a new change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || n == 0 {
				return fmt.Errorf("%q is not a revision", args[0])
			}
			if f.note == "" {
				f.note = fmt.Sprintf("back to revision %d", n)
			}
			return r.within(cmd.Context(), f.patience(), func(ctx context.Context,
				c schema.ControlClient) error {
				newest, err := configAt(ctx, c, 0)
				if err != nil {
					return err
				}
				doc, err := configAt(ctx, c, n)
				if err != nil {
					return err
				}
				return propose(
					ctx,
					cmd,
					g,
					c,
					&f,
					newest.Revision,
					&doc.Document,
					func(p string) string { return p },
				)
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newConfigWatch(g *global, r *remote) *cobra.Command {
	var from uint64
	var count int
	cmd := &cobra.Command{
		Use:     "watch",
		Short:   "Print each revision as it comes into force, from the newest or a given one on",
		Example: "  moorstack config watch --from 12 --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.stream(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				w, err := c.Watch(ctx, &schema.WatchRequest{From: from})
				if err != nil {
					return err
				}
				var before *configFile
				for n := 0; count == 0 || n < count; n++ {
					rev, err := w.Recv()
					if errors.Is(err, io.EOF) {
						return nil
					}
					if err != nil {
						return err
					}
					f, err := fileOf(rev)
					if err != nil {
						return err
					}
					if g.output == "json" {
						b, err := json.Marshal(f)
						if err != nil {
							return err
						}
						fmt.Fprintf(cmd.OutOrStdout(), "%s\n", b)
						continue
					}
					fmt.Fprintf(
						cmd.OutOrStdout(),
						"revision %d by %s, %s%s\n",
						rev.Revision,
						dash(rev.Author),
						when(rev.AtMs),
						note(rev.Note),
					)
					if before != nil {
						for _, l := range clusterstate.Diff(&before.Document, &f.Document) {
							fmt.Fprintln(cmd.OutOrStdout(), "  "+l)
						}
					}
					before = f
				}
				return nil
			})
		},
	}
	cmd.Flags().Uint64Var(&from, "from", 0, "the first revision wanted")
	cmd.Flags().IntVar(&count, "count", 0, "end after so many; 0: never")
	return cmd
}
