// Package clusterstate is the state that the instances of a group agree on: a versioned document
// of classes, tenants and sections, the group's members, the sessions and the rollout of changes
// (package rollout), the replicated state machines (package replicated), and the outcome of each
// change and command.
//
// State is a state machine without I/O, clock or randomness: the same log entries in the same order
// give the same state, byte for byte, at every instance. Package consensus delivers the entries in
// that order, on one goroutine; nothing here is safe for concurrent use.
//
// Hazard: every text that an outcome carries is part of the state. Instances of different versions
// must come to the same texts, so none is ever reworded.
package clusterstate
