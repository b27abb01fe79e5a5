package main

import (
	"github.com/spf13/cobra"
)

func newConfig(g *globalFlags) *cobra.Command {
	var r controlFlags
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Read and change the configuration that the instances agree on",
		Long: `config reads and changes the agreed configuration: classes, tenants and sections.

A change is a complete document that is based on a revision. It comes into force at all
instances or at none, and is refused if another change was made first. The usual steps:

  moorstack config get > config.toml        # the file names its revision
  $EDITOR config.toml
  moorstack config propose config.toml --dry-run
  moorstack config propose config.toml --note "quotes are worth less on clinic days"

Exit codes: 0 done, 1 failed, 2 wrong arguments or file, 3 conflict, 4 refused as invalid or
too large, 5 no leader or cut off, 6 not known whether it came into force (repeating it with
the same --id is safe), 7 not allowed.`,
	}
	r.addFlags(cmd)
	for _, c := range []*cobra.Command{newConfigGet(g, &r), newConfigDiff(g, &r), newConfigPropose(g, &r),
		newConfigHistory(g, &r), newConfigRollback(g, &r), newConfigWatch(g, &r), newConfigSet(g, &r),
		newConfigPending(g, &r), newConfigWithdraw(g, &r)} {
		addOutput(c, g)
		cmd.AddCommand(c)
	}
	return cmd
}
