// Package hotrestart has one process of a node, the child, take the place of another, its parent, while the
// node serves: what passes between the two, in which order, and what each does if the other dies, is slow or
// is of another version.
//
// The Machine is the protocol's state machine, without I/O or clock: the driver feeds it events and carries
// out its effects. A child finds its parent at a SocketPath, a Unix socket in a folder that both processes
// are given, and inherits its State and listening socket; from then on a Link carries Messages both ways.
// docs/upgrade.md has the timeline.
//
// All but SocketPath.Join runs on the goroutine of the node's event loop.
package hotrestart
