package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// newLabCommand returns a command that executes the program moorstack-lab, next to this one. With the
// libraries for columnar files, charts and histograms linked in, the platform's node would use 18 MB of
// memory at rest; its limit is 16 MB.
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
				fmt.Errorf("starting %s, which provides this command: %w; \"make build\" builds it",
					lab, err),
			}
		},
	}
}
