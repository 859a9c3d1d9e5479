// Package feed distributes control state from the processes that decide on it to the processes that
// use it.
//
// # Responsibilities
//
// A Table has, for each shard, the latest event for each subject and a bounded number of recent
// changes. A Source serves watchers from a table. A Client keeps a table up to date from one source
// at a time and passes on each new event.
//
// A watcher sends the offset that it has of each shard. It receives the changes after that offset
// or, if these are no longer retained or it has no offset, a snapshot: the latest event of every
// subject. A subject that is missing from a snapshot no longer exists. The offset of a replicated
// shard is a log index and means the same at every replica. A watcher that switches to another
// source therefore misses no change and never goes back: Merge ignores feeds that do not advance
// the table's offset.
//
// # Dependencies
//
// The package does not know how a shard replicates its state, nor what its events mean beyond their
// subject (eventKey). It does not select the sources; the caller of Client lists them.
//
// # Freshness
//
// A source is fresh while it is in touch with the leaders of the shards itself. A source that is
// not replies so without waiting for a change, so that its watchers switch to another source. A
// client is fresh for a time after a fresh response that its caller chooses. Control state that is
// not fresh remains usable; the caller decides what a process may still do with it.
//
// # Concurrency and errors
//
// Table and Source are safe for concurrent use, but calls of Publish, Replace and Merge for the
// same shard must not overlap. Events are shared between tables and callers and must not be
// modified after they were published. Client.Run returns only when its context ends: a failure of a
// source is logged at debug level, and the next source is used.
package feed
