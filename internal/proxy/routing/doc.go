// Package routing decides which workers a job may go to, in which order, and on what terms, by rules that
// operators write. It narrows the choice and orders it; package balancer decides which of the remaining
// workers gets the job, and none of its restrictions is lifted here.
//
// It has no I/O, clock or goroutine: a Table is compiled once from a file's text, never changes, and may be
// read by several goroutines, until another Table replaces it as a whole.
package routing
