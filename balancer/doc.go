// Package balancer decides, for one dispatcher, which worker each request goes to, and which requests are
// rejected.
//
// A [Balancer] is notified of events (a request arrives, an attempt ends, the list of workers changes, a
// timer fires) and responds by calling the [Actions] of its host, in order, before the method returns. It
// owns no clock, no goroutine and no socket, so the same events and the same seed always give the same
// actions.
//
// The load-balancing mechanism is the power-of-d(N) scheme of Mukherjee, Borst, van Leeuwaarden and Whiting:
// a request draws d distinct workers at random and goes to the one with the fewest requests in flight. Round
// it stand outlier ejection (outliers.go), slow start (slow_start.go), admission (admission.go), retry
// budgets and hedged requests (attempts.go). deploy/balancer.toml lists the files that hold decisions.
//
// What the host guarantees:
//
//   - all calls come from one goroutine, or under one lock;
//   - the time passed in never goes back; its origin is arbitrary;
//   - each [Actions.Send] is followed by exactly one AttemptEnded, with TimedOut at the request's deadline at
//     the latest, and each [Actions.SetTimer] by one TimerFired;
//   - methods of Actions do not call the Balancer.
//
// What the host may rely on: each submitted request gets one final response (an AttemptEnded with Responded
// set, Reject or Fail), no later than its deadline and the response slack.
package balancer
