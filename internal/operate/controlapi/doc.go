// Package controlapi implements the operators' gRPC service, its client, and the file format of backups. The
// service listens on a unix socket, where callers have the role operator, and optionally on a TCP address
// with TLS, where the role in the caller's certificate must be reader or operator.
//
// Each call runs on a goroutine of the gRPC server and keeps no state between calls. It reads state and
// proposes changes through consensus.Runner, and gets instance-specific data from the Host.
package controlapi
