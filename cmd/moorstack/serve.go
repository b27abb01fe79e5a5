package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"

	"github.com/spf13/cobra"

	"moorstack/internal/node"
)

// startAgain starts the program that is there now in the place of this process, as it was started.
func startAgain() error {
	// Hazard: the file of a program that was replaced while it ran is not what /proc says of the process.
	path, err := exec.LookPath(os.Args[0])
	if err == nil {
		err = syscall.Exec(path, os.Args, os.Environ())
	}
	return exitError{exitFailed, fmt.Errorf("starting anew: %w", err)}
}

func newServe(g *globalFlags) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Start an instance that agrees with others on its configuration",
		Long: `serve starts a node from a TOML file of ours: its name, where it keeps its state, the
fronts, where its peers and its operators reach it, and its keys. deploy/cluster.toml
shows every key. An unknown key is refused with its file and line.

On an empty data directory the instance belongs to no group: "moorstack cluster init"
makes a group of it, "moorstack cluster add" at a member takes it into one. Until then,
and whenever it is cut off, it serves with the configuration that it has.

SIGTERM ends it once it has finished what it has taken; SIGHUP reads the platform file
anew, as at the platform's node.`,
		Example: `  moorstack serve --config deploy/cluster.toml
  moorstack serve --config n1.toml --log-format json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := notifySignals()
			log, err := g.logger()
			if err != nil {
				return err
			}
			cfg, err := node.ReadServeConfig(file)
			if err != nil {
				return err
			}
			i, err := node.NewInstance(cfg, version, log.WithField("node", cfg.Name))
			if err != nil {
				return exitError{exitFailed, err}
			}
			switch err := i.Run(signals); {
			case errors.Is(err, node.ErrRestart):
				return startAgain()
			case err != nil:
				return exitError{exitFailed, err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "the instance's `file`")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}
