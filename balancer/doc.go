// Package balancer decides, for one dispatcher, which worker each request is sent to and which requests are
// rejected.
//
// A [Balancer] is notified of events (a request arrives, an attempt ends, the list of workers changes, a
// timer fires) and responds by calling the [Actions] of its host, in order, before the method returns. It
// owns no clock, no goroutine and no socket, so the same events and the same seed always give the same
// actions.
//
// The load-balancing algorithm is the power-of-d(N) scheme of Mukherjee, Borst, van Leeuwaarden and Whiting:
// for each request, d distinct workers are drawn at random, and the one with the fewest requests in flight
// gets it. It is combined with outlier ejection (outliers.go), slow start (slow_start.go), admission control
// (admission.go), and retry budgets and hedged requests (attempts.go). deploy/balancer.toml lists the files
// that hold decisions.
//
// What the host guarantees:
//
//   - all calls come from one goroutine, or are serialized by one lock;
//   - the time passed in never decreases; its origin is arbitrary;
//   - each [Actions.Send] is followed by exactly one AttemptEnded, with TimedOut at the request's deadline at
//     the latest, and each [Actions.SetTimer] by one TimerFired;
//   - methods of Actions do not call the Balancer.
//
// What the host may rely on: each submitted request gets exactly one final response (an AttemptEnded with
// Responded set, Reject or Fail), no later than its deadline plus the response slack.
package balancer
