// Command rig2 runs one case of the second independent review: the stand-ins of the platform (discovery, trip
// workers, clients, links) live in this process, and the project's programs are started as processes of their
// own with the commands of the deploy file.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

var cases = map[string]func(*world) verdict{
	"cut":      cutFromDiscovery,
	"relay":    staleRelay,
	"second":   secondAnswers,
	"trigger":  repeatedCall,
	"restarts": plannedRestarts,
	"slow":     slowWriters,
	"flood":    manyCommands,
}

// verdict is what a case found: the breaks of the rule, or why it could not run.
type verdict struct {
	breaks []string
	notRun string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, from the repository's root; TROUBLE=0: no disruption")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	done := make(chan verdict, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	var v verdict
	select {
	case v = <-done:
	case <-time.After(caseLimit):
		v.notRun = "the case took too long"
	}
	w.close()
	os.Exit(w.conclude(v))
}
