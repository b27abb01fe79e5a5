// Package clusterstate implements the replicated state of a group of instances: a versioned document with
// classes, tenants and sections, the group's members, the sessions and the rollout of changes (package
// rollout), the replicated state machines (package replicated), and the outcomes of changes and commands.
//
// State is a state machine without I/O, clock or randomness: the same log entries in the same order produce
// the same state, byte for byte, on every instance. Package consensus applies the entries in that order, on
// one goroutine. The package is not safe for concurrent use.
//
// All texts in an outcome are part of the state. Instances that run different versions of the program must
// produce the same texts, so the texts must not change.
package clusterstate
