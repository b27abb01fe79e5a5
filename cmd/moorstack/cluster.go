package main

import (
	"github.com/spf13/cobra"
)

func newCluster(g *globalFlags) *cobra.Command {
	var r controlFlags
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Create a group of instances, inspect it and change its members",
		Long: `cluster manages a group of instances that agree on their configuration. A group of three
tolerates the loss of one instance, a group of five the loss of two.

docs/operators/cluster.md describes all procedures: creating a group of three instances,
replacing a dead one, restoring a group from a backup, rotating keys. The exit codes are
those of config.`,
	}
	r.addFlags(cmd)
	cmd.AddCommand(newClusterStatus(g, &r), newClusterInit(g, &r), newClusterBackup(g, &r),
		newClusterRestore(g, &r), newClusterSnapshot(g, &r), newClusterSetAside(g, &r), newClusterRoll(g, &r),
		newClusterAdd(g, &r), newClusterPromote(g, &r), newClusterRemove(g, &r), newClusterReplace(g, &r),
		newClusterTransfer(g, &r))
	return cmd
}
