// Package recordlog stores the durable records of one gatherer: a segmented append-only log in
// two copies, with group commit, an in-memory index, cleaning and recovery. docs/STORE.md
// describes the file format and the alternatives that were considered.
//
// Guarantees. An acknowledged record survives any crash, and the damage, loss or replacement of
// any single file. If both copies of a span are lost, LostSpans reports it. A record that was not
// acknowledged may or may not exist after a crash. Of several successive owners, only the latest
// gets records acknowledged: its epoch is the fencing token.
//
// The package must never acknowledge a record before both copies are synced and the epoch was
// checked after that; rely on a file whose sync failed once, even if a later sync succeeds; or
// append to a segment of an earlier process. It must not interpret the values of records.
//
// Concurrency: a Store is safe for concurrent use. It has one writer goroutine and one cleaner
// goroutine; Close waits for both. Callbacks of Append run on the writer's goroutine and must not
// block.
//
// Errors: the sentinel errors of this package, and the errors of the file system wrapped with the
// name of the file. After a failed append the store stays open and resumes writing when the disk
// recovers; Health returns the error until then.
//
// Costs: an append is O(its size), plus one sync of each copy for all queued records together.
// Get is O(1), plus one disk read if there is such a record. Opening is O(bytes of the log).
// Memory is 16 to 30 bytes for each key, and one segment while it is read.
package recordlog
