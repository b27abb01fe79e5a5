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

// reexec replaces this process with the program that is now installed under its name, with the same
// arguments and environment.
func reexec() error {
	// os.Executable can't be used: if the program's file was replaced while it ran, /proc does not name the
	// new file.
	path, err := exec.LookPath(os.Args[0])
	if err == nil {
		err = syscall.Exec(path, os.Args, os.Environ())
	}
	return exitError{exitFailed, fmt.Errorf("starting the program again: %w", err)}
}

func newServe(g *globalFlags) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Start an instance that agrees with others on its configuration",
		Long: `serve starts an instance from a TOML file: its name, its data directory, its fronts, the
addresses for its peers and its operators, and its keys. deploy/cluster.toml shows every
key. An unknown key is rejected with its file and line.

With an empty data directory the instance belongs to no group: "moorstack cluster init"
creates a group from it, "moorstack cluster add" at a member adds it to one. Until then,
and whenever it is cut off, it serves with the configuration that it has.

On SIGTERM it finishes the jobs that it has accepted, and ends. On SIGHUP it reloads the
platform file, as a node of the platform does.`,
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
				return reexec()
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
