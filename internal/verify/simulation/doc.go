// Package simulation tests package consensus under faults. It runs whole groups of instances in virtual time,
// on disks that lose data that was not synced and on a network that loses, delays, duplicates and reorders
// messages. The faults are drawn from a seed. It checks invariants after each step, and linearizability at
// the end.
//
// A seed determines the whole run: the same seed produces the same events, so that every failure can be
// reproduced.
package simulation
