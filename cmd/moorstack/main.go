// Moorstack is a broker's node: it takes jobs from clients and hands them to
// workers. What goes where is package balancer's to decide.
//
// Without arguments it is the platform's node. The other commands are for our own
// installations; `moorstack help` lists them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
)

func main() {
	root := newRoot()
	root.SetArgs(acceptFaktoryShorthand(os.Args[1:]))
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return
	}
	var coded exitError
	if errors.As(err, &coded) {
		if coded.err != nil {
			fmt.Fprintln(os.Stderr, "moorstack:", coded.err)
		}
		os.Exit(coded.code)
	}
	fmt.Fprintln(os.Stderr, "moorstack:", err)
	os.Exit(exitUsage)
}

// acceptFaktoryShorthand keeps `moorstack -faktory FILE` working, which is how the node was started
// before it had sub-commands.
func acceptFaktoryShorthand(args []string) []string {
	args = append([]string(nil), args...)
	for i, a := range args {
		if a == "-faktory" || strings.HasPrefix(a, "-faktory=") {
			args[i] = "-" + a
		}
	}
	return args
}

// The exit codes of all commands; docs/operators/cluster.md lists them.
const (
	exitFailed   = 1 // it was tried and did not succeed
	exitUsage    = 2 // the command's words, or a file, are wrong; nothing was tried
	exitConflict = 3 // another change came first
	exitInvalid  = 4 // the change itself is refused
	exitNoLeader = 5 // this instance is cut off, or no leader is there
	exitUnknown  = 6 // whether it took effect isn't known; the same again is safe
	exitDenied   = 7 // the caller's role does not allow it
)

// exitError ends the program with a code.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return fmt.Sprint(e.err) }
func (e exitError) Unwrap() error { return e.err }
