// Package adminproto is the protocol of the second address, at which operators give commands: one line a
// connection, one reply that begins with ACK or NAK, or the metrics. It parses a command, has a Handler carry
// it out, and writes the reply. It keeps no state and decides nothing. All of it runs on the node's loop.
package adminproto
