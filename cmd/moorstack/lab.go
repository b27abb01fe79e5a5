package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// newLabCommand hands a command over to the program beside this one. With the libraries for columns,
// charts and histograms linked in, the platform's node would take 18 MB at rest of 16.
func newLabCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use:                name,
		Short:              short,
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return exitError{exitFailed, err}
			}
			lab := filepath.Join(filepath.Dir(self), "moorstack-lab")
			err = syscall.Exec(lab, append([]string{lab, name}, args...), os.Environ())
			return exitError{
				exitFailed,
				fmt.Errorf("%s, which has this command, can't be started: %w; make build makes it",
					lab, err),
			}
		},
	}
}
