// Package replicated defines the interfaces of replicated state machines. Each one holds something that the
// instances of a group agree on in addition to the group's document, such as the holder of each leased task,
// the last occurrence handled for each trigger, or the quota of an account.
//
// A replicated state machine consists of a package with its logic, its messages in the schema, and a line in
// clusterstate.StateMachineTypes. Only the code that uses it refers to it by name: the node, and the control
// service if operators can view or change it. All other code uses three interfaces:
//
//   - StateMachineType: the document section that configures it, and which log entries belong to it;
//   - StateMachine: its part of the replicated state and of snapshots;
//   - Participant: what each instance does for it, and what the leader decides.
//
// The rollout of changes (package rollout) does not implement these interfaces. The state machines depend on
// it: it grants the sessions that they use, and decides which document is in force.
package replicated
