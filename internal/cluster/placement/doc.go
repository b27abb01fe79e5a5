// Package placement decides which instance of a group owns which key, which workers an instance uses, and
// which workers a quorum of instances ejects. Placement is a pure function of the replicated state: every
// instance that has applied the same log computes the same owners, and nothing is stored per key.
//
// A View is the set of instances that may own anything, with a number that grows with every change of the
// set. Keys hash to a fixed number of shards, and a Table maps shards to instances by weighted rendezvous
// hashing with bounded loads: a change of the set moves few shards, and no instance owns much more than its
// even share.
//
// Two instances may have different views for a while, so two may each consider themselves the owner of a
// shard. Placement determines who is to act; it does not guarantee that nobody else acts. An owner must check
// its lease (package lease) before it acts, and a new owner must wait until every lease that an earlier owner
// may hold has expired.
//
// The package has no I/O, no clock and no goroutine. Its types are not safe for concurrent use; each value
// belongs to the goroutine that created it.
package placement
