package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

func newCluster(g *global) *cobra.Command {
	var r remote
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Make a group of instances, look at it and change who belongs to it",
		Long: `cluster looks after a group of instances that agree on their configuration. Three
instances go on when one is lost, five when two are.

docs/operators/cluster.md has the whole way: three instances from nothing, a dead one
replaced, a group restored from a backup, keys rotated. Exit codes are those of config.`,
	}
	r.addFlags(cmd)
	for _, c := range []*cobra.Command{
		newClusterStatus(g, &r), newClusterInit(g, &r), newClusterBackup(g, &r),
		newClusterRestore(g, &r), newClusterSnapshot(g, &r),
		newClusterSetAside(g, &r), newClusterRoll(g, &r)} {
		cmd.AddCommand(c)
	}
	var force bool
	type made = func(args []string) *schema.Operation
	operation := func(use, short, long string, n int, op made) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.ExactArgs(n),
			RunE: func(cmd *cobra.Command, args []string) error {
				o := op(args)
				o.Force = force
				return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
					done, err := c.Operate(ctx, o)
					if err != nil {
						return err
					}
					return g.print(
						cmd.OutOrStdout(),
						map[string]string{"done": done.Text},
						table{rows: [][]string{{done.Text}}},
					)
				})
			}}
		addOutput(c, g)
		cmd.AddCommand(c)
		return c
	}
	var promote bool
	add := operation("add NAME ADDRESS", "Take a new instance into the group, without a vote",
		`add takes the instance NAME, which runs and whose peers' address is ADDRESS, into the
group. It follows without a vote until "promote"; with --promote that is waited for and done.
An instance has a number that is never used again: one whose directory was emptied is
a new one, and the old one of that name must be removed first.`, 2, func(a []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_ADD, Name: a[0], Address: a[1]}
		})
	add.Flags().BoolVar(&promote, "promote", false, "give it a vote as soon as it has caught up")
	plain := add.RunE
	add.RunE = func(cmd *cobra.Command, args []string) error {
		if err := plain(cmd, args); err != nil || !promote {
			return err
		}
		return promoteWhenReady(cmd, g, &r, args[0])
	}
	operation(
		"promote NAME",
		"Give an instance that has caught up a vote",
		"",
		1,
		func(a []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_PROMOTE, Name: a[0]}
		},
	)
	remove := operation(
		"remove NAME",
		"Take an instance out of the group, for ever",
		`remove takes the instance NAME out of the group. It is refused where the voters that
are left and heard of would be no majority.`,
		1,
		func(a []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REMOVE, Name: a[0]}
		},
	)
	replace := operation(
		"replace OLD NEW",
		"Have NEW, which has caught up, take the vote of OLD in one change",
		"",
		2,
		func(a []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REPLACE, Name: a[0], By: a[1]}
		},
	)
	for _, c := range []*cobra.Command{remove, replace} {
		c.Flags().BoolVar(&force, "force", false, "also where no majority of those left is heard of")
	}
	operation("transfer NAME", "Have an instance lead, say before the leader is patched", "", 1,
		func(a []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_TRANSFER, Name: a[0]}
		})
	return cmd
}

// promoteWhenReady promotes an instance as soon as the leader finds that it has caught up.
func promoteWhenReady(cmd *cobra.Command, g *global, r *remote, name string) error {
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		err := r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
			done, err := c.Operate(ctx, &schema.Operation{Kind: schema.Operation_PROMOTE, Name: name})
			if err != nil {
				return err
			}
			return g.print(
				cmd.OutOrStdout(),
				map[string]string{"done": done.Text},
				table{rows: [][]string{{done.Text}}},
			)
		})
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

func newClusterStatus(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Say how an instance and its group stand",
		Long: `status says how the called instance stands: which configuration is agreed on and which one
its fronts run, whether it is cut off and for how long, who belongs to the group, and which part
of accounts' rates and triggers each owns. Only the leader knows who is heard of and how far each
has come. It answers also while there is no leader, and exits with 5 then, or where the agreement
has stopped.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				s, err := c.Status(ctx, &schema.StatusRequest{})
				if err != nil {
					return err
				}
				if err := g.print(cmd.OutOrStdout(), s, statusTable(s)); err != nil {
					return err
				}
				if s.CutOff || s.Role == "stopped" {
					return exitError{code: exitNoLeader}
				}
				return nil
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}

// scheduleRows say how the triggers stand.
func scheduleRows(t *table, s *schema.ScheduleStatus) {
	if s == nil {
		return
	}
	t.add("triggers", fmt.Sprintf("%d, %d of them fired here; %d occurrences are open", s.Triggers,
		s.Owned, s.Open))
	at := "not known here"
	if s.FleetMs > 0 {
		at = time.UnixMilli(s.FleetMs).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	t.add("fleet's time", fmt.Sprintf("%s, zone rules %016x", at, s.Zones))
	for _, name := range slices.Sorted(maps.Keys(s.Off)) {
		t.add("FIRES NOTHING", name+": "+s.Off[name])
	}
	for _, what := range slices.Sorted(maps.Keys(s.Counts)) {
		t.add("occurrences", fmt.Sprintf("%d %s", s.Counts[what], what))
	}
	for _, line := range s.Troubles {
		t.add("look at", line)
	}
}

func statusTable(s *schema.StatusReply) table {
	t := table{}
	t.add("instance", fmt.Sprintf("%s (%x)", s.Name, s.Id))
	t.add("group", dash(s.Cluster))
	t.add("role", s.Role)
	if s.Cluster == "" {
		t.add("", `it belongs to no group yet: "cluster init" here, or "cluster add" at a member`)
		return t
	}
	t.add("leader", fmt.Sprintf("%s, term %d", dash(s.Leader), s.Term))
	t.add("agreed", fmt.Sprintf("revision %d (entry %d of %d)", s.Revision, s.Applied, s.Commit))
	t.add("running", fmt.Sprintf("revision %d", s.Running))
	if s.RunningProblem != "" {
		t.add("PROBLEM", s.RunningProblem)
	}
	if s.CutOff {
		t.add("CUT OFF", fmt.Sprintf("no leader for %.1f s", s.ContactS))
	}
	sessionRows(&t, s)
	scheduleRows(&t, s.Schedule)
	if s.Joint {
		t.add("members", "a change of members is half-way; the group ends it by itself")
	}
	for i, m := range s.Members {
		head := ""
		if i == 0 {
			head = "members"
		}
		vote, heard := "voter", ""
		if !m.Voter {
			vote = "no vote"
		}
		if m.Known {
			heard = fmt.Sprintf(", has entry %d", m.Match)
			if !m.Active {
				heard += ", NOT HEARD OF"
			}
			if m.Running > 0 {
				heard += fmt.Sprintf(", runs revision %d", m.Running)
			}
		}
		if m.Seems != "" {
			heard += fmt.Sprintf(", %s for %s", m.Seems, age(m.SeemsS))
			if len(m.SeemsBy) > 0 {
				heard += " by " + strings.Join(m.SeemsBy, " and ")
			}
		}
		if m.UnreachedS > 0 {
			heard += fmt.Sprintf(", NOT REACHED FROM HERE for %s", age(m.UnreachedS))
		}
		if m.Session != "" {
			heard += ", session " + m.Session
		}
		if m.Owns > 0 {
			heard += fmt.Sprintf(", owns %.0f%%", 100*m.Owns)
		}
		t.add(head, fmt.Sprintf("%s (%x) at %s, %s%s", m.Name, m.Id, m.Address, vote, heard))
	}
	return t
}

// age is a time in words.
func age(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func newClusterInit(g *global, r *remote) *cobra.Command {
	var from string
	cmd := &cobra.Command{
		Use:   "init",
		Short: "Make a new group of one running instance",
		Long: `init makes a new group of the called instance, which must belong to none. The first
configuration is what the instance's own platform file says, or with --from a backup's.
Do this once for a group, and "cluster add" the others.`,
		Example: "  moorstack cluster init --config n1.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			in := &schema.InitRequest{}
			if from != "" {
				b, err := os.ReadFile(from)
				if err != nil {
					return err
				}
				if _, err := controlapi.DecodeBackup(b); err != nil {
					return exitError{exitInvalid, fmt.Errorf("%s: %w", from, err)}
				}
				in.Backup = b
			}
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				s, err := c.Init(ctx, in)
				if err != nil {
					return err
				}
				return g.print(cmd.OutOrStdout(), s, statusTable(s))
			})
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "begin with the configuration of this backup `file`")
	addOutput(cmd, g)
	return cmd
}

func newClusterBackup(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "backup FILE",
		Short: "Write the agreed configuration with its history to a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				b, err := c.Backup(ctx, &schema.BackupRequest{})
				if err != nil {
					return err
				}
				// Never in part: an older backup of that name stands until this one is whole.
				tmp := args[0] + ".tmp"
				f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
				if err == nil {
					_, err = f.Write(b.Backup)
					if err == nil {
						err = f.Sync()
					}
					f.Close()
				}
				if err == nil {
					err = os.Rename(tmp, args[0])
				}
				if err != nil {
					return exitError{exitFailed, err}
				}
				return g.print(
					cmd.OutOrStdout(),
					map[string]any{"file": args[0], "revision": b.Revision},
					table{
						rows: [][]string{
							{
								fmt.Sprintf(
									"%s holds revision %d, %d bytes",
									args[0],
									b.Revision,
									len(b.Backup),
								),
							},
						},
					},
				)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newClusterRestore(g *global, r *remote) *cobra.Command {
	var f proposeFlags
	cmd := &cobra.Command{
		Use:   "restore FILE",
		Short: "Put a backup's configuration in force in a group that runs, as a new change",
		Long: `restore proposes the newest configuration of a backup to a group that runs. Where the
whole group is lost, make a new one from the backup: "cluster init --from FILE".`,
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
				f.note = fmt.Sprintf(
					"restored from a backup of group %s, revision %d",
					b.Cluster,
					old.Number,
				)
			}
			return r.within(cmd.Context(), f.patience(), func(ctx context.Context,
				c schema.ControlClient) error {
				newest, err := c.GetConfig(ctx, &schema.GetConfigRequest{})
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
					old.Document,
					func(p string) string { return p },
				)
			})
		},
	}
	f.add(cmd)
	addOutput(cmd, g)
	return cmd
}

func newClusterSnapshot(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "snapshot",
		Short: "Have the instance write a snapshot and begin its log anew",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				done, err := c.Snapshot(ctx, &schema.SnapshotRequest{})
				if err != nil {
					return err
				}
				return g.print(
					cmd.OutOrStdout(),
					map[string]string{"done": done.Text},
					table{rows: [][]string{{done.Text}}},
				)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}
