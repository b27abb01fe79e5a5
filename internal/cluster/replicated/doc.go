// Package replicated has the interfaces of a replicated state machine: of anything that the
// instances of a group agree on in addition to its document, such as who holds which leased task, how
// far each trigger has come, or how much an account may use.
//
// A replicated state machine is a package with its rules, its messages in the schema, and a line in
// clusterstate.StateMachineTypes. Only its users know it by name: the node, and the control service
// where operators can see or change it. Everything else goes through three interfaces:
//
//   - StateMachineType: the document section that configures it, and which log entries are its own;
//   - StateMachine: its share of the replicated state and of snapshots;
//   - Participant: what an instance does for it, and what the leader decides.
//
// The rollout of changes (package rollout) is not one of them but their ground: it grants the
// sessions that they rely on, and decides which document is in force.
package replicated
