// Package leasedtask ensures that at most one instance of a group at a time carries out a piece of work (a
// leased task).
//
// A task is leased to an instance's session (package rollout) under a fencing token, a number that only
// grows. The package has four components, without I/O, clock or goroutine:
//
//   - State is the replicated state: which session holds each task, under which fencing token, and a note
//     that records the task's progress.
//   - Assigner runs on the leader and decides which instance holds which task.
//   - Lease is the holder's view of a task: whether it may act now, and under which fencing token.
//   - Fence runs at a receiver of the task's effects and rejects those of an earlier holder.
//
// The package guarantees that no two instances hold a task at the same time, each by its own clock, and that
// a receiver that has seen a fencing token rejects every earlier one: a message that a holder sent before it
// stalled has no effect if it arrives late.
//
// Operators know leased tasks as "duties": the section, the command and the error texts use that word.
//
// No type is safe for concurrent use: each value belongs to the goroutine that created it.
package leasedtask
