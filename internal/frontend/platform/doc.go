// Package platform is the frontend for the platform's protocol, all of it over HTTP/1.1: requests of
// clients, attempts at workers and the call-backs by which workers report their end, health checks, and the
// endpoint list of discovery.
//
// The Front carries; package broker decides. A request is accepted by a client, parsed (request.go), routed
// by the rules of package routing and submitted to the broker. The broker begins attempts at a worker
// (worker.go), whose exchange (exchange.go) is one HTTP request on one connection. A worker answers 202 and
// later calls back (call_back.go); the broker then has the client respond.
//
// While another process of the node takes this one's place (package hotrestart) both serve: peer_process.go
// forwards call-backs between them, adoption.go migrates open requests.
//
// Everything here runs on the goroutine of the event loop; nothing may be called from another one.
package platform
