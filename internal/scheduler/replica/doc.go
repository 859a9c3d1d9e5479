// Package replica runs the replicas of one process. It drives the pure cores of package consensus: it persists what they have to remember,
// carries their messages, applies committed commands to state machines, and replaces long logs by snapshots.
//
// # Parts
//
//   - Engine drives the cores of all groups of the process. It has no clock, starts no goroutines and sends through a function that it is
//     given, so that a simulation can run it in virtual time.
//   - Host runs an Engine on a goroutine of its own, by the clock of the machine.
//   - Store is the write-ahead log on disk that all groups of a process share. IdentityStore is the identity that is bound to that disk.
//   - Sender and Service carry messages between processes. Submit finds the leader of a group and has it decide on a command.
//
// The package knows nothing of what the commands mean: a StateMachine is all that it sees of the directory, the registry and the batch jobs.
//
// # Guarantees
//
// A message leaves, and a command is applied, only after everything that it depends on is on disk. A proposal that ends with DONE is committed
// and applied here, and survives the loss of any minority of the group's disks. One that ends with OUTCOME_UNKNOWN may or may not take effect,
// also later. Any other outcome means that it has no effect. Submit makes several proposals: its
// outcome is that of the last one, and an earlier one may have taken effect.
//
// # Concurrency
//
// An Engine and its Storage are for one goroutine, except that Engine.Status and Engine.Groups may be called by any. All methods of Host,
// Sender and Service may be called by any goroutine. State machines are called by the engine's goroutine only.
//
// # Errors
//
// If the disk does not take a write, the engine stalls: it neither sends nor applies, drops the messages that arrive, and repeats the write
// until it succeeds. Leases run out meanwhile, and another replica takes over. If stored state can't be read, the engine ends for good
// (Engine.Err, Host.Failed), because a replica that has forgotten its votes must not take part. The process then has to end.
package replica
