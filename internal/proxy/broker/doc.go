// Package broker takes requests from a node's fronts, has the balancer choose an endpoint for each attempt,
// and gives every request exactly one final response. It knows no wire format.
//
// A front submits a [Request] with a [Client] that waits for its [Response]. The balancer answers by actions:
// it starts an [Attempt] at an [Endpoint], which a front provides, or rejects or fails the request. The
// broker keeps the clock, the attempts' time limits and the endpoint list, and guarantees one end for each
// attempt, whatever the connections do. It makes no balancing decision itself.
//
// All methods of a Broker are called from one goroutine, that of the front's event loop. They may also be
// called from within a call that the broker itself makes: what follows from such a call waits until the outer
// call has ended.
package broker
