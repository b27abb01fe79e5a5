// Package expect checks which workers jobs would be sent to, without traffic: it runs the real routing rules,
// the real broker and the real balancer in virtual time, with stub endpoints and without a socket.
//
// A file of expectations (File) describes workers, jobs, and what is expected of each job. A Suite holds such
// a file together with the settings and rules that it refers to; Suite.Run checks it.
package expect
