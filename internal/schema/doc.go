// Package schema holds the protobuf messages and gRPC services that are stored or cross a process boundary:
// entries of the replicated log, messages between instances, and the operators' control service. All other Go
// files of the package are generated from its .proto files by "make proto". Numbers, names and types of
// fields never change, because older and newer versions read each other's messages.
package schema
