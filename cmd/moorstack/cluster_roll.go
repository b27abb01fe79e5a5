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

// The defaults for how many instances a rolling restart takes out at once, and how long each may stay out.
// The requests to stop, resume and undo carry these two values as well, as in all earlier versions.
const (
	rollDefaultOut    = 1
	rollDefaultWithin = 5 * time.Minute
)

func newClusterRoll(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "roll",
		Short: "Restart the instances one after another",
		Long: `roll restarts the instances of a group while the group keeps serving. Each instance hands on
the duties that it holds, finishes the jobs that it has accepted, and exits. Its service manager
starts it again (or, with out = "start" in the section [duties] of its file, the process replaces
itself with the program that is now installed). Once it has a session, runs the configuration in
force and admits jobs, the next instance is taken out.

One instance controls the restart, as the holder of the duty "roll"; if it is lost, another one
continues. The duty exists only if the agreed configuration contains:

  [section.duties]
  roll = "on"

No more than --out instances are out at once, including those that are down for another reason.
An instance is not taken out if the voters would have no majority without it, or if it is the last
healthy one of its zone. If an instance does not come back within --within, no other one is taken
out: "roll show" says why, and "roll resume" continues.`,
		Example: `  moorstack cluster roll start --config n1.toml
  moorstack cluster roll start --out 2 --within 2m --only n4,n5 --config n1.toml
  moorstack cluster roll show --config n1.toml`,
	}
	cmd.AddCommand(newRollStart(g, r),
		newRollOperation(g, r, schema.Operation_ROLL_STOP, "stop", "Take out no further instances",
			"stop interrupts nothing: it waits for the instances that are out. \"roll resume\" continues."),
		newRollOperation(g, r, schema.Operation_ROLL_RESUME, "resume",
			"Continue a rolling restart that was stopped or has halted", ""),
		newRollOperation(g, r, schema.Operation_ROLL_UNDO, "undo",
			"Restart once more the instances that were taken out, the last one first",
			rollUndoHelp),
		newRollShow(g, r))
	return cmd
}

const rollUndoHelp = "undo restarts once more each instance that a rolling restart has taken out, so that " +
	"its service manager\ncan start the previous program; the other instances stay as they are."

func newRollStart(g *globalFlags, r *controlFlags) *cobra.Command {
	op := &schema.Operation{Kind: schema.Operation_ROLL, Name: leasedtask.RollingRestartTask}
	var out int
	var within time.Duration
	cmd := &cobra.Command{Use: "start", Short: "Begin a rolling restart", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			op.Out, op.WithinNs = uint32(max(out, 0)), int64(within)
			return g.operate(cmd, r, op)
		}}
	cmd.Flags().IntVar(&out, "out", rollDefaultOut, "how many instances may be out at once")
	cmd.Flags().DurationVar(&within, "within", rollDefaultWithin,
		"each instance must be back within this `time`")
	cmd.Flags().StringSliceVar(&op.Only, "only", nil, "restart only these `instances`")
	cmd.Flags().BoolVar(&op.Alone, "alone", false,
		"also take out an instance that is the only one of its zone")
	addOutput(cmd, g)
	return cmd
}

// newRollOperation returns a command that sends an operation to the controller of the rolling restart.
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
		Short: "Show the progress of a rolling restart",
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
							text += ", to be restarted once more"
						}
						t.add(s.Name, orDash(s.Zone), text)
					}
					t.add("")
					t.add(p.Progress())
					t.add(fmt.Sprintf("controlled by %s", orDash(d.Holder)))
					if all.CutOff {
						t.add("CUT OFF: this may be out of date")
					}
					return p, t, nil
				})
		},
	}
	addOutput(cmd, g)
	return cmd
}
