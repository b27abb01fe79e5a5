// Moorstack-lab is the part of moorstack that the node must not carry: experiments, with their
// tables and charts. `moorstack experiment` starts it; it need not be called by hand.
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

// version is the program's; a release sets it at link time.
var version = "dev"

// errBroken says that something was found that must not be: exit code 1, not 2.
var errBroken = errors.New("rules are broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "moorstack:", err)
	if errors.Is(err, errBroken) || errors.Is(err, context.Canceled) {
		os.Exit(1)
	}
	os.Exit(2)
}

// newRoot is the command that holds the others. It bears the name of the program that starts this one.
func newRoot() *cobra.Command {
	root := &cobra.Command{Use: "moorstack", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newExperiment(), newDemo(), newLoad(), newPaper())
	return root
}
