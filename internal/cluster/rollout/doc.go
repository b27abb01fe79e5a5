// Package rollout has a change of the agreed configuration take effect at all instances that serve, or at
// none.
//
// It is three state machines without I/O, clock or goroutine:
//
//   - State is the replicated state: which instances may admit jobs (sessions), and how far a change is.
//   - LeaseHolder is one instance's side: whether it may admit jobs now.
//   - Leader is the leader's side: it grants leases and decides when a change may proceed.
//
// Package consensus carries the messages between them.
//
// A change goes through these phases, each an entry of the log:
//
//   - Staging: every instance prepares itself, and reports that it is ready or why it can't be.
//   - ClosingAdmission: every instance that may admit jobs stops admitting, and reports that it has.
//   - The change is committed, and all instances admit again under the new configuration; or it is withdrawn,
//     and all continue under the old one.
//
// An instance that does not respond is awaited until its lease has surely expired. The package promises that
// no instance admits a job under a configuration after another instance has admitted one under a later one.
//
// Every type belongs to the goroutine that created it.
package rollout
