// Package ratelimit enforces an account's rate limit across all fronts of a group.
//
// It has three parts that do no I/O, read no clock and start no goroutines: the caller passes in the time and
// calls each part from a single goroutine. Policy is the rate limit section of the group's configuration.
// Authority runs on the instance that owns an account by placement; it lends tokens of the account's bucket
// for a limited time, like Google's Doorman. Limiter runs on each instance that receives calls; it admits
// jobs immediately from the tokens that it holds, and on each tick requests the tokens that it is likely to
// need.
//
// Guarantee: for each bucket and every time window, all fronts together admit at most the rate times the
// length of the window, plus the burst, as measured by the clocks of the bucket's owners. The guarantee holds
// when messages are lost, duplicated or delayed, and when instances stall, crash, are partitioned or are
// replaced. It relies on three rules:
//   - Tokens count as outstanding until their front has reported them as used or they have certainly expired.
//     Certainly expired means expired at any clock rates within the bounds of package rollout.
//   - The front counts the lifetime of a grant from before it sent the request for it.
//   - A new owner lends nothing until it knows what earlier owners lent, or until all of that has certainly
//     expired.
//
// Not guaranteed: that the whole rate can be used. Tokens in a lost message are unavailable until they
// expire, and when an owner crashes, its accounts are lent no tokens until another instance may lend.
package ratelimit
