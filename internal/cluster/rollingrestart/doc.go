// Package rollingrestart restarts the instances of a group one after another.
//
// A Plan lists the instances that are to be restarted, and how far each is. It is the note of a leased task
// (package leasedtask): the task's holder runs the Controller, and another instance continues from the note
// if the holder fails. An instance acts on the replicated plan itself: it exits once it reads that its
// process is to exit. So no message to an instance can arrive late, or from a controller that no longer holds
// the task.
//
// Hazard: a controller that has recorded that an instance is to exit can't know whether the instance has read
// that. So a step is for one incarnation of the instance (the number that its process drew when it started),
// and is never taken back: an instance that reads of its step late exits late, and its next incarnation does
// not exit again.
//
// The package has no I/O, no clock and no goroutine. Plans are values; a Controller belongs to one goroutine.
package rollingrestart
