// Package ratelimit keeps an account's rate over all fronts of a group: one rate, and not one for each front.
//
// It is three parts without I/O, clock or goroutine. Policy is what the agreed configuration says. Authority
// is the side of the instance that owns an account by placement: it lends slices of the account's bucket,
// jobs that may be admitted until an end. Front is the side of an instance at which calls come in: it admits
// from what it has, at once, and asks each tick for what it is likely to need.
//
// The promise: for each bucket and every window of time, the admissions at all fronts together are at most
// rate times the window and the burst, by the clocks of those who own it, whatever messages are lost, doubled
// or late, and whoever stalls, dies, is cut off, or takes another's place. It rests on three rules: what is
// lent counts as out until its front has said that it was used, or it has surely run out; a slice
// lasts, at its front, from the moment before it was asked for; and a new owner lends nothing until what
// earlier ones lent has surely run out.
//
// Not promised: that all of a rate can be used. A slice that is lost is lost until it ends, and an owner that
// is lost costs all its accounts the time until another may lend.
package ratelimit
