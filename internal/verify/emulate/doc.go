// Package emulate is a model world in virtual time: workers, a discovery service, clients and faults round
// real nodes, which are the real broker, balancer and rules through their interfaces. The same scenario and
// seed give the same run, event by event.
//
// A World and all in it belong to the goroutine that runs it; worlds share nothing, and so many may run at
// once. docs/emulator.md says what is modelled, what is not, and how it can mislead.
package emulate
