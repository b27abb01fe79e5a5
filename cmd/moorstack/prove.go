package main

import (
	"github.com/spf13/cobra"
)

func newProve(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "prove", Short: "Try to break what the program promises"}
	cmd.AddCommand(newProveConfig(g), newProveCluster(g))
	return cmd
}
