// Package rollingrestart restarts the instances of a group one after another.
//
// A Plan lists the instances to restart and the progress of each. It is stored in the note of a leased task
// (package leasedtask): the task's holder runs the Controller, and another instance continues from the note
// if the holder fails. Instances read the replicated plan themselves: an instance exits once it reads that
// its process must exit. So no message to an instance can arrive late, or come from a controller that no
// longer holds the task.
//
// A controller that has recorded that an instance must exit can't know whether the instance has read this. So
// a step is for one incarnation of the instance (the number that its process drew when it started), and is
// never revoked: an instance that reads its step late exits late, and its next incarnation does not exit
// again.
//
// The package has no I/O, no clock and no goroutine. Plans are values; a Controller belongs to one goroutine.
package rollingrestart
