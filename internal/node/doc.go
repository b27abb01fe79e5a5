// Package node assembles the running program from the packages of rules, I/O and storage. It is the one place
// that knows them all.
//
// A Node is the event loop with the fronts and a broker for each front. An Instance is a Node that belongs to
// a group: with the loop it runs the consensus module, the transport to the other instances, and the control
// service.
//
// Each section of the agreed document, and each replicated state machine, has a driver here, in a file named
// after the package that it drives (ratelimit.go, schedule.go, membership.go, outliers.go, subset.go,
// slowstart.go; leasedtasks.go, backups.go, rollingrestart.go, listrelay.go). The packages hold the rules,
// free of I/O, clocks and goroutines; a driver gives them the time and what others sent, and carries out what
// they decide.
//
// # Goroutines
//
// The node's loop does the work of the fronts, and of the drivers that admit jobs or work on them. The runner
// of the consensus module has one goroutine; callbacks from it must not wait, and post to the loop. The
// configurator has one that puts revisions into force. Each leased task whose lease is held has one for its
// work. The transport and the control service have those of gRPC.
package node
