package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newDuty(g *global) *cobra.Command {
	var r remote
	cmd := &cobra.Command{
		Use:   "duty",
		Short: "Work that one instance of a group does at a time",
		Long: `duty tells who holds which duty, and moves them. A duty is held by one instance at a
time, under a number that only grows; it goes to another when its holder ends, is cut off, or
is asked to hand it on. Which duties there are is agreed on, in the section "duties" of the configuration:

  [section.duties]
  backup_every = "1h"        # a backup of the agreed state, at an instance with [duties] backups
  backup_keep = "24"
  drill = "3"                # so many that do nothing, for practice`,
	}
	r.addFlags(cmd)
	cmd.AddCommand(newDutyList(g, &r), newDutyShow(g, &r), newDutyHistory(g, &r),
		newDutyOperation(g, &r, schema.Operation_HAND_ON, "hand-on DUTY [TO]",
			"Have another instance hold a duty",
			`hand-on has the holder end its step and give the duty back. It goes to TO, if that is there and
can hold it, or to whom the group chooses, which may be the same one again.`),
		newDutyOperation(g, &r, schema.Operation_PAUSE, "pause DUTY", "Have nobody hold a duty",
			"pause has the holder give the duty back; nobody is given it before \"duty resume\"."),
		newDutyOperation(g, &r, schema.Operation_RESUME, "resume DUTY", "Have a paused duty be held again",
			""))
	return cmd
}

func newDutyOperation(g *global, r *remote, kind schema.Operation_Kind, use, short,
	long string) *cobra.Command {
	most := 1
	if kind == schema.Operation_HAND_ON {
		most = 2
	}
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.RangeArgs(1, most),
		RunE: func(cmd *cobra.Command, args []string) error {
			op := &schema.Operation{Kind: kind, Name: args[0]}
			if len(args) > 1 {
				op.By = args[1]
			}
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				done, err := c.Operate(ctx, op)
				return g.done(cmd, done, err)
			})
		}}
	addOutput(cmd, g)
	return cmd
}

// duties asks for the duties, or for one.
func duties(ctx context.Context, c schema.ControlClient, name string) (*schema.DutiesReply, *schema.Duty,
	error) {
	all, err := c.Duties(ctx, &schema.DutiesRequest{})
	if err != nil || name == "" {
		return all, nil, err
	}
	var names []string
	for _, d := range all.Duties {
		if d.Name == name {
			return all, d, nil
		}
		names = append(names, d.Name)
	}
	known := "the configuration has none"
	if len(names) > 0 {
		known = strings.Join(names, ", ") + " are"
	}
	return nil, nil, exitError{exitFailed, fmt.Errorf("there is no duty %q; %s", name, known)}
}

// standing is how a duty stands, in words.
func standing(d *schema.Duty) string {
	switch {
	case d.Holder != "" && d.Leaving != "":
		return "is given back: " + d.Leaving
	case d.Holder != "":
		return "held"
	case d.Paused != "":
		return "paused by " + d.Paused
	}
	return "nobody holds it"
}

func newDutyList(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "list",
		Short: "Say who holds which duty",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				all, _, err := duties(ctx, c, "")
				if err != nil {
					return err
				}
				t := table{head: []string{"DUTY", "HOLDER", "NUMBER", "STANDING"}}
				for _, d := range all.Duties {
					t.add(d.Name, dash(d.Holder), d.Number, standing(d))
				}
				if len(all.Duties) == 0 {
					t = table{}
					t.add("the configuration has no duties")
				}
				if all.CutOff {
					t.add("CUT OFF: this may be old")
				}
				return g.print(cmd.OutOrStdout(), all, t)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newDutyShow(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show DUTY",
		Short: "Say how a duty stands, and where its work does",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				all, d, err := duties(ctx, c, args[0])
				if err != nil {
					return err
				}
				t := table{}
				t.add("duty", d.Name)
				t.add("holder", dash(d.Holder))
				t.add("number", d.Number)
				t.add("standing", standing(d))
				for _, line := range [][2]string{{"goes to", d.To}, {"note", string(d.Note)},
					{"resting", strings.Join(d.Resting, ", ")}} {
					if line[1] != "" {
						t.add(line[0], line[1])
					}
				}
				if d.LeaseS > 0 {
					t.add("lease", fmt.Sprintf("lasts %.2f s", d.LeaseS))
				}
				if all.CutOff {
					t.add("CUT OFF", "this may be old")
				}
				return g.print(cmd.OutOrStdout(), d, t)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newDutyHistory(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history DUTY",
		Short: "Say who has held a duty, and how that ended",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				_, d, err := duties(ctx, c, args[0])
				if err != nil {
					return err
				}
				t := table{head: []string{"NUMBER", "HOLDER", "FROM", "TO", "ENDED"}}
				at := func(ms int64) string {
					if ms <= 0 {
						return "-"
					}
					return time.UnixMilli(ms).UTC().Format(time.RFC3339)
				}
				for _, h := range d.History {
					t.add(h.Number, h.Name, at(h.AtMs), at(h.EndMs), dash(h.End))
				}
				return g.print(cmd.OutOrStdout(), d.History, t)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}
