// Package routing applies operators' rules that decide which workers a job may go to, in which order of
// preference, and with which limits. Package balancer then chooses one of these workers. Rules can't lift any
// of the balancer's restrictions.
//
// The package has no I/O, clock or goroutine. A Table is compiled once from a file's text and is immutable,
// so several goroutines may use it at the same time. A change of the rules replaces the whole Table.
package routing
