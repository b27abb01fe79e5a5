// Package emulate simulates a complete system in virtual time: modelled workers, discovery, clients and
// faults around real nodes, which run the production broker and balancer through their interfaces. A scenario
// and a seed determine a run, event by event.
//
// A World and everything in it belong to the goroutine that runs it. Worlds share no state, so several can
// run concurrently. docs/emulator.md describes what is modelled, what is not, and where results can mislead.
package emulate
