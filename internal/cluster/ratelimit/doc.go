// Package ratelimit keeps one rate for an account over all fronts of a group.
//
// It has three parts without I/O, clock or goroutine; the caller passes in the time, and calls each part from
// one goroutine. Policy is the section of the agreed configuration. Authority is the side of the instance
// that owns an account by placement: it lends tokens of the account's bucket for a limited time, as in
// Google's Doorman. Limiter is the side of an instance that receives calls: it admits from the tokens that
// it has, at once, and requests those that it is likely to need each tick.
//
// The promise: for each bucket and every window of time, the admissions at all fronts together are at most
// the rate times the window and the burst, by the clocks of the bucket's owners. It holds whatever messages
// are lost, duplicated or late, and whichever instances stall, die, are cut off or take another's place. It
// rests on three rules: tokens count as outstanding until their front has reported that they were used, or
// they have surely expired; a grant lasts, at its front, from the moment before it was requested; and a new
// owner lends nothing until it knows what earlier owners lent, or all of that has surely expired.
//
// Not promised: that all of a rate can be used. Tokens in a lost message are lost until they expire, and an
// owner that dies costs its accounts the time until another may lend.
package ratelimit
