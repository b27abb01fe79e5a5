package main

import (
	"github.com/spf13/cobra"
)

func newProve(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "prove", Short: "Test the program's guarantees under faults"}
	cmd.AddCommand(newProveConfig(g), newProveCluster(g))
	return cmd
}
