// Package adminproto implements the protocol of the admin address, where operators send commands. Each
// connection carries one command line and one reply: a line that begins with ACK or NAK, or the metrics. The
// package parses the command, calls the Handler and writes the reply. It is stateless and runs on the node's
// event loop.
package adminproto
