// Package schema has the protobuf messages and gRPC services that cross a boundary: entries of the agreed
// log, messages between instances, and the operators' control service. All of its other files are generated
// from the .proto files beside them by make proto. Numbers, names and types of fields never change: older
// programs read what newer ones write, and the reverse.
package schema
