// Package replica runs the replicas of one process. It drives the state machines of package
// consensus: it persists their state, transmits their messages, applies committed commands to state
// machines, and replaces long logs by snapshots.
//
// # Components
//
//   - Engine drives the cores of all groups of the process. It has no clock, starts no goroutines
//     and sends through an injected function, so that a simulation can run it in virtual time.
//   - Host runs an Engine on its own goroutine with the system's monotonic clock.
//   - Store is the write-ahead log on disk, shared by all groups of a process. IdentityStore stores
//     the identity that is bound to that disk.
//   - Sender and Service transmit messages between processes. Submit finds the leader of a group
//     and has it commit a command.
//
// The package does not interpret commands: it accesses the directory, the registry and the batch
// jobs only as a StateMachine.
//
// # Guarantees
//
// A message is sent, and a command is applied, only after everything that it depends on is durable.
// A proposal with outcome DONE is committed and applied here, and survives the loss of any minority
// of the group's disks. One with outcome OUTCOME_UNKNOWN may or may not take effect, also later.
// With any other outcome it has no effect. Submit makes several proposals: its result is that of
// the last one, and where that is not DONE, its outcome is OUTCOME_UNKNOWN if an earlier one may
// have taken effect.
//
// # Concurrency
//
// An Engine and its Storage are not safe for concurrent use, except for Engine.Status and
// Engine.Groups. All methods of Host, Sender and Service are safe for concurrent use. State
// machines are called from the engine's goroutine only.
//
// # Errors
//
// If a disk write fails, the engine stalls: it neither sends nor applies, drops incoming messages,
// and retries the write until it succeeds. Its leases expire meanwhile, and another replica takes
// over. If stored state cannot be read, the engine stops for good (Engine.Err, Host.Failed),
// because a replica that has lost its votes must not take part. The process must exit then.
package replica
