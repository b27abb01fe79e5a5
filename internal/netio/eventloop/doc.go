// Package eventloop is the program's network I/O: one epoll loop that owns every socket and every timer,
// listeners with limits, and connections with one buffer each. Package http1 parses the bytes they receive.
//
// Everything runs on the goroutine that calls Loop.Run. Only Loop.Post may be called from another goroutine.
// Handlers and timer callbacks run on the loop's goroutine too, and must not block.
//
// System calls go through kernel.System, so that tests can make them fail. A call that fails because the
// kernel is temporarily out of a resource is retried after a delay. An error that breaks a connection closes
// it, and OnClose is called at most once.
package eventloop
