// Package membership implements the group's failure detector. It follows SWIM (Das, Gupta, Motivala, 2002)
// with Lifeguard's extensions (Dadgar, Phillips, Currey, 2017): members ping each other in shuffled rounds,
// request indirect pings from other members when a ping fails, and piggyback updates on their messages. A
// member that may be slow itself lengthens its own timeouts first, and a suspicion times out sooner when
// more members confirm it independently.
//
// The result is an estimate with a documented error bound. It may be used to rank choices, but no safety
// property may depend on it. Leases, sessions and fencing tokens depend on the replicated log alone.
//
// Detector is a deterministic state machine with a seeded random source. It does no I/O, reads no clock and
// starts no goroutine: the caller passes the current time with each tick and each received message, and sends
// the returned messages. Its methods must not be called concurrently.
package membership
