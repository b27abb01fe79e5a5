package main

import (
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

// How long "cluster add --promote" waits for the new instance to catch up, and how often it tries to promote
// it.
const (
	promoteTimeout  = 60 * time.Second
	promoteInterval = 200 * time.Millisecond
)

// newMemberOperation returns a command that has the leader carry out one membership change.
func newMemberOperation(g *globalFlags, r *controlFlags, use, short, long string, arguments int,
	operation func(args []string) *schema.Operation) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.ExactArgs(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.operate(cmd, r, operation(args))
		}}
	addOutput(cmd, g)
	return cmd
}

// addForce adds the flag --force to a membership command.
func addForce(cmd *cobra.Command, force *bool) *cobra.Command {
	cmd.Flags().BoolVar(force, "force", false,
		"proceed even if the remaining voters that can be reached are no majority")
	return cmd
}

func newClusterAdd(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := newMemberOperation(g, r, "add NAME ADDRESS", "Add a new instance to the group, without a vote",
		`add adds the running instance NAME, whose peer address is ADDRESS, to the group. It follows
the group without a vote until "promote"; with --promote the command waits until it has
caught up, and promotes it.
The ID of an instance is never reused: an instance whose directory was emptied is a new
one, and the old one of that name must be removed first.`, 2, func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_ADD, Name: args[0], Address: args[1]}
		})
	var promote bool
	cmd.Flags().BoolVar(&promote, "promote", false, "promote it to a voter as soon as it has caught up")
	add := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := add(cmd, args); err != nil || !promote {
			return err
		}
		return promoteWhenReady(cmd, g, r, args[0])
	}
	return cmd
}

// promoteWhenReady promotes an instance as soon as the leader finds that it has caught up.
func promoteWhenReady(cmd *cobra.Command, g *globalFlags, r *controlFlags, name string) error {
	for end := time.Now().Add(promoteTimeout); ; time.Sleep(promoteInterval) {
		err := g.operate(cmd, r, &schema.Operation{Kind: schema.Operation_PROMOTE, Name: name})
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

func newClusterPromote(g *globalFlags, r *controlFlags) *cobra.Command {
	return newMemberOperation(g, r, "promote NAME", "Give a vote to an instance that has caught up", "", 1,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_PROMOTE, Name: args[0]}
		})
}

func newClusterRemove(g *globalFlags, r *controlFlags) *cobra.Command {
	var force bool
	return addForce(newMemberOperation(g, r, "remove NAME", "Remove an instance from the group permanently",
		`remove removes the instance NAME from the group. It is refused if the remaining voters that
can be reached would be no majority.`, 1, func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REMOVE, Name: args[0], Force: force}
		}), &force)
}

func newClusterReplace(g *globalFlags, r *controlFlags) *cobra.Command {
	var force bool
	return addForce(newMemberOperation(g, r, "replace OLD NEW",
		"Move the vote of OLD to NEW, which has caught up, in one change", "", 2,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REPLACE, Name: args[0], By: args[1], Force: force}
		}), &force)
}

func newClusterTransfer(g *globalFlags, r *controlFlags) *cobra.Command {
	return newMemberOperation(g, r, "transfer NAME",
		"Transfer leadership to an instance, for example before patching the leader", "", 1,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_TRANSFER, Name: args[0]}
		})
}
