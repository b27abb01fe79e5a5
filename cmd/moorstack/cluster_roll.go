package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

// How many instances a rolling restart has out at once, and how long one of them may be, unless flags say
// otherwise. The other operations on it have always carried these two as well.
const (
	rollDefaultOut    = 1
	rollDefaultWithin = 5 * time.Minute
)

func newClusterRoll(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "roll",
		Short: "Take the instances out one after another, and have each be started anew",
		Long: `roll restarts the instances of a group while the group serves on. Each hands on what it
holds, ends what it has taken, and ends. Whoever runs it starts it again (or, with out = "start"
in the section [duties] of its file, it starts the program that is there now in its own place).
When it has a session, runs what is in force and admits jobs, the next one is taken out.

One instance conducts, in the duty "roll", and another goes on where that one is lost. It is there
when the agreed configuration says so:

  [section.duties]
  roll = "on"

No more than --out are out at once, who is down for another reason among them; never one without
which the voters would have no majority, nor the last that is well of a zone. Where an instance
does not come back within --within, nobody else is taken out: "roll show" says why, and "roll
resume" goes on.`,
		Example: `  moorstack cluster roll start --config n1.toml
  moorstack cluster roll start --out 2 --within 2m --only n4,n5 --config n1.toml
  moorstack cluster roll show --config n1.toml`,
	}
	cmd.AddCommand(newRollStart(g, r),
		newRollOperation(g, r, schema.Operation_ROLL_STOP, "stop", "Have nobody else be taken out",
			"stop ends nothing that is under way: who is out is awaited. \"roll resume\" goes on."),
		newRollOperation(g, r, schema.Operation_ROLL_RESUME, "resume",
			"Go on with a rolling restart that was stopped or is halted", ""),
		newRollOperation(g, r, schema.Operation_ROLL_UNDO, "undo",
			"Have those that were taken out go once more, the last first",
			rollUndoHelp),
		newRollShow(g, r))
	return cmd
}

const rollUndoHelp = "undo has each instance that a rolling restart has taken out go once more, so that " +
	"whoever starts it\ncan start the program that it had before; the others stay as they are."

func newRollStart(g *globalFlags, r *controlFlags) *cobra.Command {
	op := &schema.Operation{Kind: schema.Operation_ROLL, Name: leasedtask.RollingRestartTask}
	var out int
	var within time.Duration
	cmd := &cobra.Command{Use: "start", Short: "Begin a rolling restart", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op.Out, op.WithinNs = uint32(max(out, 0)), int64(within)
			return g.operate(cmd, r, op)
		}}
	cmd.Flags().IntVar(&out, "out", rollDefaultOut, "so many at once, at the most")
	cmd.Flags().DurationVar(&within, "within", rollDefaultWithin,
		"an instance has to be back within this `time`")
	cmd.Flags().StringSliceVar(&op.Only, "only", nil, "these `instances` and no others")
	cmd.Flags().BoolVar(&op.Alone, "alone", false, "also an instance that is the only one of its zone")
	addOutput(cmd, g)
	return cmd
}

// newRollOperation is a command that tells the rolling restart's controller to do something.
func newRollOperation(g *globalFlags, r *controlFlags, kind schema.Operation_Kind, use, short,
	long string) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.operate(cmd, r, &schema.Operation{Kind: kind, Name: leasedtask.RollingRestartTask,
				Out: rollDefaultOut, WithinNs: int64(rollDefaultWithin)})
		}}
	addOutput(cmd, g)
	return cmd
}

func newRollShow(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Say how far a rolling restart has come",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.callAndPrint(cmd, r,
				func(ctx context.Context, c schema.ControlClient) (any, table, error) {
					all, d, err := leasedTasks(ctx, c, leasedtask.RollingRestartTask)
					if err != nil {
						return nil, table{}, err
					}
					p, err := rollingrestart.DecodePlan(d.Note)
					if err != nil {
						return nil, table{}, exitError{exitFailed, err}
					}
					t := table{head: []string{"INSTANCE", "ZONE", "STANDING"}}
					for _, s := range p.Steps {
						text := s.Phase.String()
						if s.RestartAgain {
							text += ", to go once more"
						}
						t.add(s.Name, dash(s.Zone), text)
					}
					t.add("")
					t.add(p.Progress())
					t.add(fmt.Sprintf("conducted by %s", dash(d.Holder)))
					if all.CutOff {
						t.add("CUT OFF: this may be old")
					}
					return p, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}
