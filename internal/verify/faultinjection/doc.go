// Package faultinjection runs a fault schedule against a group of real instance processes on
// loopback and audits their behaviour.
//
// A [Cluster] starts the processes. All traffic between instances passes through forwarders
// ([Links]), which can cut, delay or reset the path from any instance to any other. The processes
// are stopped, killed and restarted, their disks filled, partial records appended to their logs and
// their wall clocks set. Meanwhile [Run] proposes configuration changes and sends jobs. Each
// instance writes an audit journal with readings of CLOCK_BOOTTIME, which all processes of a machine
// share. The audits sort the lines of all journals by this clock and report violations of invariants
// that must hold however slow or fast the processes are.
//
// A schedule is drawn from a seed ([DrawSchedule]) or read from a file ([ParseSchedule]).
// docs/fault-injection.md describes the file format and the audits.
package faultinjection
