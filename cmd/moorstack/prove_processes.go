package main

import (
	"errors"

	"github.com/spf13/cobra"
)

func proveProcesses(*cobra.Command, *global, *proveFlags) error {
	return errors.New("--processes is not here yet")
}
