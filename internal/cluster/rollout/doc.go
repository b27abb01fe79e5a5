// Package rollout applies a change of the group's configuration on all serving instances or on none.
//
// It consists of three state machines without I/O, clock or goroutines:
//
//   - State is the replicated state: which instances may admit jobs (sessions), and the phase of the pending
//     change.
//   - LeaseHolder runs on every instance and determines whether it may admit jobs now.
//   - Leader runs on the leader: it grants leases and decides when a change may proceed.
//
// Package consensus carries the messages between them.
//
// A change goes through these phases, each started by an entry of the log:
//
//   - Staging: every instance prepares to switch to the change, and reports that it is ready or why it can't.
//   - ClosingAdmission: every instance that may admit jobs stops admitting them, and reports that it has.
//   - The change is committed, and all instances admit jobs again under the new configuration; or it is
//     withdrawn, and all continue under the old one.
//
// The leader waits for an instance that does not respond until its lease is guaranteed to have expired. The
// package guarantees that no instance admits a job under a configuration after another instance has admitted
// one under a later configuration.
//
// The types are not safe for concurrent use: each value must be used by one goroutine only.
package rollout
