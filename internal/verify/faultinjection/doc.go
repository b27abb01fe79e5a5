// Package faultinjection runs a fault schedule against a group of real instance processes on
// loopback and audits what they did.
//
// A [Cluster] starts the processes. Between each ordered pair of instances stands a forwarder
// ([Links]) that can cut, delay or break the path either way; the processes themselves are
// stopped, killed and restarted, their disks filled, their logs torn and their wall clocks set.
// [Run] meanwhile proposes changes of the configuration and sends jobs. Each instance writes an
// audit journal with readings of CLOCK_BOOTTIME, which all processes of a machine share; the
// audits put all lines into that one order and look for what must never happen at any speed.
//
// A schedule is drawn from a seed ([DrawSchedule]) or read from a file ([ParseSchedule]).
// docs/fault-injection.md describes its text and what is audited.
package faultinjection
