// Package broker receives requests from a node's fronts, lets the balancer choose an endpoint for each
// attempt, and gives every request exactly one final response. It is independent of wire formats.
//
// A front submits a [Request] with a [Client] that waits for its [Response]. The balancer responds with
// actions: it starts an [Attempt] at an [Endpoint], which a front provides, or rejects or fails the request.
// The broker keeps the clock, the attempts' deadlines and the endpoint list, and guarantees that each attempt
// ends exactly once, even if its connection fails or never responds. It makes no balancing decisions itself.
//
// All methods of a Broker must be called from one goroutine, that of the front's event loop. They may also be
// called from within a callback of the broker: calls to the balancer that result from it are deferred until
// the outer call has returned.
package broker
