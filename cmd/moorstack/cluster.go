package main

import (
	"github.com/spf13/cobra"
)

func newCluster(g *globalFlags) *cobra.Command {
	var r controlFlags
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Make a group of instances, look at it and change who belongs to it",
		Long: `cluster looks after a group of instances that agree on their configuration. Three
instances go on when one is lost, five when two are.

docs/operators/cluster.md has the whole way: three instances from nothing, a dead one
replaced, a group restored from a backup, keys rotated. Exit codes are those of config.`,
	}
	r.addFlags(cmd)
	cmd.AddCommand(newClusterStatus(g, &r), newClusterInit(g, &r), newClusterBackup(g, &r),
		newClusterRestore(g, &r), newClusterSnapshot(g, &r), newClusterSetAside(g, &r), newClusterRoll(g, &r),
		newClusterAdd(g, &r), newClusterPromote(g, &r), newClusterRemove(g, &r), newClusterReplace(g, &r),
		newClusterTransfer(g, &r))
	return cmd
}
