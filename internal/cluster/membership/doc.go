// Package membership is the group's failure detector. It follows SWIM (Das, Gupta, Motivala, 2002) with
// Lifeguard's extensions (Dadgar, Phillips, Currey, 2017): members ping each other in shuffled rounds,
// request an indirect ping by others where their own fails, and piggyback updates on their messages. A
// member that may be slow itself lengthens its own timeouts first, and a suspicion times out the sooner the
// more members have come to it independently.
//
// What it reports is an estimate with a stated error. It orders choices; no safety property may rest on it.
// Leases, sessions and fencing tokens rest on the agreed log alone.
//
// Detector is a deterministic state machine with a seeded random source: no I/O, no clock, no goroutine. The
// caller passes in the time with each tick and each received message, and sends what is returned. Its
// methods must be called by one goroutine at a time.
package membership
