// Package leasedtask has a piece of work (a leased task) done by at most one instance of a group at a time.
//
// A task is leased to an instance's session (package rollout) under a fencing token, a number that only
// grows. It has four components, without I/O, clock or goroutine:
//
//   - State is the replicated state: which session holds each task, under which fencing token, and a note of
//     where the work stands.
//   - Assigner runs on the leader and decides which instance is to hold which task.
//   - Lease is the holder's own side: whether it may act now, and under which fencing token.
//   - Fence runs at a receiver of the task's effects and rejects those of an earlier holder.
//
// It promises that no two instances hold a task at the same time, each by its own clock, and that a receiver
// that has seen a fencing token rejects every earlier one: what a holder sent before it stalled has no effect
// when it arrives late.
//
// Operators meet leased tasks as "duties": the section, the command and the error texts keep that word.
//
// Every type belongs to the goroutine that created it.
package leasedtask
