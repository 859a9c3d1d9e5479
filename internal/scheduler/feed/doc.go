// Package feed carries control state from the processes that decide on it to the processes that act on it.
//
// # What it owns
//
// A Table has, for each shard, the newest event about each subject and a bounded number of the latest changes. A Source answers watchers from
// a table. A Client keeps a table up to date from one source at a time and passes each new event on.
//
// A watcher names the offset that it has of each shard. It is sent the changes after that offset or, if these are no longer retained or it has
// none, a snapshot: the newest event of every subject. A subject that is not in it no longer exists. The offset of a replicated shard is an index
// of its log and means the same at every replica. So a watcher that changes to another source misses no change and never steps back: Merge
// ignores whatever does not lead past the offset that the table has.
//
// # What it must not know
//
// The package does not know how a shard agrees on its state, nor what its events mean beyond the subject of each (eventKey). It does not choose
// the sources; the caller of Client lists them.
//
// # Freshness
//
// A source is fresh while it is in touch with the leaders of the shards itself. One that is not says so without waiting for a change,
// so that its watchers go to another source. A client is fresh for as long after a fresh answer as its caller allows. Control state that is not
// fresh stays usable; what a process may still do with it is for its caller to decide.
//
// # Concurrency and errors
//
// Table and Source may be used from any goroutine, but calls of Publish, Replace and Merge for one shard must not overlap. Events are shared
// between tables and callers and must not be changed after they were published. Client.Run returns only when its context ends: a source that
// fails is logged at debug level and left for the next one.
package feed
