package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the program's version. A release build sets it at link time.
var version = "dev"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and the build",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "moorstack %s %s %s/%s\n", version, runtime.Version(),
				runtime.GOOS, runtime.GOARCH)
			if err != nil {
				return err
			}
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, d := range info.Deps {
					switch d.Path {
					case "go.etcd.io/raft/v3", "google.golang.org/grpc":
						fmt.Fprintf(cmd.OutOrStdout(), "  %s %s\n", d.Path, d.Version)
					}
				}
			}
			return nil
		},
	}
}
