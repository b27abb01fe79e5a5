// Package frozen holds the tests of what a rename must never change: state on disk, what one process of a
// node passes to the next, and the decisions of the balancing module, each against texts in testdata that an
// earlier program wrote. It has no code of its own.
//
// The texts are rewritten by "go test ./internal/frozen -update". A change that needs that is no rename: it
// is a change of a format or of a decision, and the commit has to say why older programs can live with it.
package frozen
