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
		Short: "Show and move duties: work that one instance of a group does at a time",
		Long: `duty shows which instance holds which duty, and hands duties on. A duty is held by one
instance at a time, under a number that only increases. It passes to another instance when its
holder ends, is cut off, or is asked to hand it on. The section "duties" of the agreed
configuration says which duties exist:

  [section.duties]
  backup_every = "1h"        # a backup of the agreed state, at an instance with [duties] backups
  backup_keep = "24"
  drill = "3"                # this many that do nothing, for drills`,
	}
	r.addFlags(cmd)
	cmd.AddCommand(newDutyList(g, &r), newDutyShow(g, &r), newDutyHistory(g, &r),
		newTaskOperation(g, &r, schema.Operation_HAND_ON, "hand-on DUTY [TO]",
			"Hand a duty on to another instance",
			`hand-on has the holder finish its current step and release the duty. The duty passes to TO, if
that instance is available and can hold it, and otherwise to one that the group chooses, which
may be the same one again.`),
		newTaskOperation(g, &r, schema.Operation_PAUSE, "pause DUTY", "Release a duty until it is resumed",
			"pause has the holder release the duty; no instance gets it before \"duty resume\"."),
		newTaskOperation(g, &r, schema.Operation_RESUME, "resume DUTY",
			"Let an instance hold a paused duty again", ""))
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

// leasedTasks returns all leased tasks and, unless name is empty, the one of that name.
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

// taskState describes the state of a leased task.
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
		Short: "List the duties and their holders",
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
						t.add(d.Name, orDash(d.Holder), d.Number, taskState(d))
					}
					if len(all.Duties) == 0 {
						t = table{}
						t.add("the configuration has no duties")
					}
					if all.CutOff {
						t.add("CUT OFF: this may be out of date")
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
		Short: "Show a duty's state and the progress of its work",
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
					t.add("holder", orDash(d.Holder))
					t.add("number", d.Number)
					t.add("standing", taskState(d))
					t.addUnlessEmpty("goes to", d.To)
					t.addUnlessEmpty("note", string(d.Note))
					t.addUnlessEmpty("resting", strings.Join(d.Resting, ", "))
					if d.LeaseS > 0 {
						t.add("lease", fmt.Sprintf("lasts %.2f s", d.LeaseS))
					}
					if all.CutOff {
						t.add("CUT OFF", "this may be out of date")
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
		Short: "Show who has held a duty, and why each tenure ended",
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
						t.add(h.Number, h.Name, timeOrDash(h.AtMs), timeOrDash(h.EndMs), orDash(h.End))
					}
					return d.History, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}
