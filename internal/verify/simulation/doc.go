// Package simulation tries to break package consensus: it runs whole groups of instances in virtual time, on
// disks that lose what was not synced and a network that loses, delays, duplicates and reorders, with faults
// drawn from a seed. It checks invariants at each step, and linearizability at the end.
//
// A seed determines the whole run: the same seed gives the same events, so that a failure found at night can
// be examined in the morning.
package simulation
