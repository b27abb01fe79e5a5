package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

func newDuty(g *globalFlags) *cobra.Command {
	var r controlFlags
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
		newTaskOperation(g, &r, schema.Operation_HAND_ON, "hand-on DUTY [TO]",
			"Have another instance hold a duty",
			`hand-on has the holder end its step and give the duty back. It goes to TO, if that is there and
can hold it, or to whom the group chooses, which may be the same one again.`),
		newTaskOperation(g, &r, schema.Operation_PAUSE, "pause DUTY", "Have nobody hold a duty",
			"pause has the holder give the duty back; nobody is given it before \"duty resume\"."),
		newTaskOperation(g, &r, schema.Operation_RESUME, "resume DUTY", "Have a paused duty be held again",
			""))
	return cmd
}

func newTaskOperation(g *globalFlags, r *controlFlags, kind schema.Operation_Kind, use, short,
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
			return g.operate(cmd, r, op)
		}}
	addOutput(cmd, g)
	return cmd
}

// leasedTasks gets the leased tasks, and the one of a name if that is not empty.
func leasedTasks(ctx context.Context, c schema.ControlClient, name string) (*schema.DutiesReply, *schema.Duty,
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

// taskState is the state of a leased task, as the commands print it.
func taskState(d *schema.Duty) string {
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

func newDutyList(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "list",
		Short: "Say who holds which duty",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					all, _, err := leasedTasks(ctx, c, "")
					if err != nil {
						return nil, table{}, err
					}
					t := table{head: []string{"DUTY", "HOLDER", "NUMBER", "STANDING"}}
					for _, d := range all.Duties {
						t.add(d.Name, dash(d.Holder), d.Number, taskState(d))
					}
					if len(all.Duties) == 0 {
						t = table{}
						t.add("the configuration has no duties")
					}
					if all.CutOff {
						t.add("CUT OFF: this may be old")
					}
					return all, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newDutyShow(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show DUTY",
		Short: "Say how a duty stands, and where its work does",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					all, d, err := leasedTasks(ctx, c, args[0])
					if err != nil {
						return nil, table{}, err
					}
					t := table{}
					t.add("duty", d.Name)
					t.add("holder", dash(d.Holder))
					t.add("number", d.Number)
					t.add("standing", taskState(d))
					t.addUnlessEmpty("goes to", d.To)
					t.addUnlessEmpty("note", string(d.Note))
					t.addUnlessEmpty("resting", strings.Join(d.Resting, ", "))
					if d.LeaseS > 0 {
						t.add("lease", fmt.Sprintf("lasts %.2f s", d.LeaseS))
					}
					if all.CutOff {
						t.add("CUT OFF", "this may be old")
					}
					return d, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}

func newDutyHistory(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history DUTY",
		Short: "Say who has held a duty, and how that ended",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					_, d, err := leasedTasks(ctx, c, args[0])
					if err != nil {
						return nil, table{}, err
					}
					t := table{head: []string{"NUMBER", "HOLDER", "FROM", "TO", "ENDED"}}
					for _, h := range d.History {
						t.add(h.Number, h.Name, timeOrDash(h.AtMs), timeOrDash(h.EndMs), dash(h.End))
					}
					return d.History, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}
