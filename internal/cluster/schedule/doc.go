// Package schedule fires triggers exactly once over a group of instances. It has no I/O, no clock and no
// goroutines. It consists of the replicated State, the Scheduler that each instance runs for the triggers it
// owns, and the Leader that the group's leader runs.
//
// A trigger belongs to a shard, and placement assigns each shard to one of the instances that have an open
// session and whose clock and zone rules agree with the group's. Before the owner fires, it proposes an
// intent to the replicated log: which shards it advances, from which version of each, up to which instant,
// and which occurrences become due in that interval. An intent takes effect only if, according to the log,
// its sender owns the shard and no other intent has advanced the shard from that version. Of two instances
// that both believe they own a shard, one is therefore rejected, and each occurrence is intended once.
//
// A firing belongs to the session that intended it until its result is in the log, even if the shard moves
// to another instance in the meantime. The firing is orphaned only when that session has certainly ended and
// may no longer act. If the job's class allows it, the shard's owner then sends the job again under the same
// idempotency key. Otherwise the firing is recorded as "may have run" and never sent again.
//
// In this package, cluster time is the leader's estimate of the time of day: the median of the members'
// clocks. It never goes backwards.
package schedule
