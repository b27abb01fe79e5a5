// Package hotrestart replaces a process of a node, the parent, by a new one, the child, while the node
// serves. It defines the messages between the two, their order, and what each process does if the other one
// dies, is slow or uses another version of the protocol.
//
// The Machine is the protocol's state machine, without I/O or clock: the driver feeds it events and carries
// out its effects. A child finds its parent at a SocketPath, a Unix socket in a folder that is configured for
// both processes, and inherits the parent's State and listening socket. From then on a Link carries Messages
// in both directions. docs/upgrade.md shows the timeline.
//
// Everything except SocketPath.Join runs on the goroutine of the node's event loop.
package hotrestart
