// Moorstack-lab contains the commands of moorstack whose libraries must not be linked into the node:
// experiments with their tables and charts, the demo and the load generator. The program moorstack starts it,
// for example for `moorstack experiment`; it need not be called directly.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// version is the program's version. A release build sets it at link time.
var version = "dev"

// errRulesViolated means that a run has violated the rules. The exit code is 1, not 2.
var errRulesViolated = errors.New("violations of the rules")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "moorstack:", err)
	if errors.Is(err, errRulesViolated) || errors.Is(err, context.Canceled) {
		os.Exit(1)
	}
	os.Exit(2)
}

// newRoot returns the root command. It has the name of the program that starts this one.
func newRoot() *cobra.Command {
	root := &cobra.Command{Use: "moorstack", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newExperiment(), newDemo(), newLoad(), newPaper())
	return root
}
