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

func newClusterRoll(g *global, r *remote) *cobra.Command {
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
	var op schema.Operation
	var out int
	var within time.Duration
	wish := func(kind schema.Operation_Kind, use, short, long string) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				op := &schema.Operation{
					Kind:     kind,
					Name:     leasedtask.RollingRestartTask,
					Out:      uint32(max(out, 0)),
					WithinNs: int64(within),
					Alone:    op.Alone,
					Only:     op.Only,
				}
				return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
					done, err := c.Operate(ctx, op)
					return g.done(cmd, done, err)
				})
			}}
		addOutput(c, g)
		cmd.AddCommand(c)
		return c
	}
	start := wish(schema.Operation_ROLL, "start", "Begin a rolling restart", "")
	start.Flags().IntVar(&out, "out", 1, "so many at once, at the most")
	start.Flags().DurationVar(&within, "within", 5*time.Minute,
		"an instance has to be back within this `time`")
	start.Flags().StringSliceVar(&op.Only, "only", nil, "these `instances` and no others")
	start.Flags().BoolVar(&op.Alone, "alone", false, "also an instance that is the only one of its zone")
	wish(schema.Operation_ROLL_STOP, "stop", "Have nobody else be taken out",
		"stop ends nothing that is under way: who is out is awaited. \"roll resume\" goes on.")
	wish(schema.Operation_ROLL_RESUME, "resume",
		"Go on with a rolling restart that was stopped or is halted", "")
	wish(schema.Operation_ROLL_UNDO, "undo", "Have those that were taken out go once more, the last first",
		`undo has each instance that a rolling restart has taken out go once more, so that whoever starts it
can start the program that it had before; the others stay as they are.`)
	cmd.AddCommand(newRollShow(g, r))
	return cmd
}

func newRollShow(g *global, r *remote) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Say how far a rolling restart has come",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
				all, d, err := duties(ctx, c, leasedtask.RollingRestartTask)
				if err != nil {
					return err
				}
				p, err := rollingrestart.DecodePlan(d.Note)
				if err != nil {
					return exitError{exitFailed, err}
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
				return g.print(cmd.OutOrStdout(), p, t)
			})
		},
	}
	addOutput(cmd, g)
	return cmd
}
