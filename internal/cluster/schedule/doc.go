// Package schedule fires triggers exactly once over a group of instances. It has no I/O, no clock and no
// goroutine: it consists of the replicated State, of the Scheduler that each instance runs for the triggers
// it owns, and of the Leader, which the group's leader runs.
//
// A trigger belongs to a shard, and placement assigns each shard to one of the instances that have an open
// session and whose clock and zone rules agree with the others'. The owner proposes an intent to the
// replicated log before it fires: which shards it advances, from which version of each, up to which instant,
// and which occurrences are due in between. An intent takes effect only if its sender owns the shard
// according to the log and nobody else has advanced the shard since. So of two instances that both believe
// they own a shard one is rejected, and each occurrence is intended once.
//
// A firing belongs to the session that intended it until its result is in the log, also if the shard has
// moved to another instance meanwhile. Only when that session has certainly ended, and with it the right to
// act, is the firing orphaned: then the shard's owner continues under the same idempotency key if the job's
// class allows it; otherwise the firing is recorded as "may have run", and nobody sends it again.
//
// "Cluster time" in this package is the leader's estimate of the time of day: the median of the members'
// clocks, which never goes back.
package schedule
