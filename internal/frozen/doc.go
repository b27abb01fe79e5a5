// Package frozen holds tests of what refactoring must not change: state on disk, the messages that a process
// sends to its successor in a hot restart, and the decisions of the balancing module. They compare these
// with golden files in testdata that an earlier version wrote. The package contains only tests.
//
// "go test ./internal/frozen -update" rewrites the golden files. A change that requires this changes a format
// or a decision, and its commit message must say why older versions are compatible with it.
package frozen
