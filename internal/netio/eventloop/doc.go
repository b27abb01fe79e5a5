// Package eventloop is the program's network I/O: one epoll loop that owns every socket and every timer,
// listeners with limits, and connections with one buffer each. Package http1 parses what comes on them.
//
// All of it runs on the goroutine that calls Loop.Run, and nothing may be called from another one but
// Loop.Post. Handlers and timer callbacks are called there too, and must not block.
//
// System calls go through kernel.System, so that tests can have them fail. What fails for want of something
// that the kernel may have again soon is retried after a delay; what breaks a connection closes it, once.
package eventloop
