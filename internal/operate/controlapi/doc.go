// Package controlapi is the operators' gRPC service: on a unix socket, whose file's owner is an operator,
// and where configured on an address under TLS, with certificates of two roles, reader and operator. It also
// has the client's side, and the file format of backups.
//
// Each call runs on a goroutine of the gRPC server. A call has no state of its own: it reads and proposes
// through consensus.Runner, and through the Host for what only the instance knows.
package controlapi
