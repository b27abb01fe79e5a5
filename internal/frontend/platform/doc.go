// Package platform is the front for the platform's protocol, which runs over HTTP/1.1: client requests,
// attempts at workers, the call-backs by which workers report the end of an attempt, health checks, and the
// endpoint list from discovery.
//
// The Front handles the I/O; package broker makes the decisions. A client connection reads a request, which
// is parsed (request.go), routed by the rules of package routing and submitted to the broker. The broker
// starts attempts at workers (worker.go), each of which is one HTTP exchange on one connection
// (exchange.go). A worker responds 202 and calls back later (call_back.go); the broker then sends the
// response to the client.
//
// While a new process of the node replaces the old one (package hotrestart) both serve: peer_process.go
// forwards call-backs between them, adoption.go migrates open requests.
//
// All code of this package runs on the event loop's goroutine and must not be called from another one.
package platform
