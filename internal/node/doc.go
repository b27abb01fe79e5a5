// Package node assembles the running program from the rule, I/O and storage packages. It is the only package
// that depends on all of them.
//
// A Node is the event loop with the fronts and a broker for each front. An Instance is a Node that belongs to
// a group: in addition to the loop it runs the consensus module, the transport to the other instances, and
// the control service.
//
// Each section of the agreed document, and each replicated state machine, has a driver here, in a file named
// after the package that it drives (ratelimit.go, schedule.go, membership.go, outliers.go, subset.go,
// slowstart.go; leasedtasks.go, backups.go, rollingrestart.go, listrelay.go). Those packages hold the rules
// and have no I/O, clocks or goroutines; a driver passes them the time and received messages, and carries out
// their decisions.
//
// # Goroutines
//
// The node's loop runs the fronts, and the drivers that admit or start jobs. The runner of the consensus
// module has one goroutine; its callbacks must not block, and post to the loop. The configurator has one that
// applies revisions. Each leased task whose lease is held runs on one of its own. The transport and the
// control service use those of gRPC.
package node
