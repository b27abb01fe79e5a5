package main

import (
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/schema"
)

// How long "cluster add --promote" waits for the new instance to catch up, and how often it tries.
const (
	promoteTimeout  = 60 * time.Second
	promoteInterval = 200 * time.Millisecond
)

// newMemberOperation is a command that has the leader carry out one change of members.
func newMemberOperation(g *globalFlags, r *controlFlags, use, short, long string, arguments int,
	operation func(args []string) *schema.Operation) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.ExactArgs(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			return g.operate(cmd, r, operation(args))
		}}
	addOutput(cmd, g)
	return cmd
}

// addForce gives a change of members the flag --force.
func addForce(cmd *cobra.Command, force *bool) *cobra.Command {
	cmd.Flags().BoolVar(force, "force", false, "also where no majority of those left is heard of")
	return cmd
}

func newClusterAdd(g *globalFlags, r *controlFlags) *cobra.Command {
	cmd := newMemberOperation(g, r, "add NAME ADDRESS", "Take a new instance into the group, without a vote",
		`add takes the instance NAME, which runs and whose peers' address is ADDRESS, into the
group. It follows without a vote until "promote"; with --promote that is waited for and done.
An instance has a number that is never used again: one whose directory was emptied is
a new one, and the old one of that name must be removed first.`, 2, func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_ADD, Name: args[0], Address: args[1]}
		})
	var promote bool
	cmd.Flags().BoolVar(&promote, "promote", false, "give it a vote as soon as it has caught up")
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
	return newMemberOperation(g, r, "promote NAME", "Give an instance that has caught up a vote", "", 1,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_PROMOTE, Name: args[0]}
		})
}

func newClusterRemove(g *globalFlags, r *controlFlags) *cobra.Command {
	var force bool
	return addForce(newMemberOperation(g, r, "remove NAME", "Take an instance out of the group, for ever",
		`remove takes the instance NAME out of the group. It is refused where the voters that
are left and heard of would be no majority.`, 1, func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REMOVE, Name: args[0], Force: force}
		}), &force)
}

func newClusterReplace(g *globalFlags, r *controlFlags) *cobra.Command {
	var force bool
	return addForce(newMemberOperation(g, r, "replace OLD NEW",
		"Have NEW, which has caught up, take the vote of OLD in one change", "", 2,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_REPLACE, Name: args[0], By: args[1], Force: force}
		}), &force)
}

func newClusterTransfer(g *globalFlags, r *controlFlags) *cobra.Command {
	return newMemberOperation(g, r, "transfer NAME",
		"Have an instance lead, say before the leader is patched", "", 1,
		func(args []string) *schema.Operation {
			return &schema.Operation{Kind: schema.Operation_TRANSFER, Name: args[0]}
		})
}
