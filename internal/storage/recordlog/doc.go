// Package recordlog keeps the durable records of one gatherer: a segmented append-only log in two copies, with group commit, an index in
// memory, cleaning and recovery. docs/STORE.md has the file format, and the alternatives that were considered.
//
// Guarantees. A record that was acknowledged is found again after any crash, and after the damage, loss or replacement of any single file.
// Where both copies of a span are gone, LostSpans names it. A record that was not acknowledged may or may not be found after a crash. Of several
// owners, one after the other, only the latest has records acknowledged: its epoch is the fencing token.
//
// The package must never acknowledge a record before both copies are synced and the epoch was checked after that; rely on a file
// whose sync failed once, even if a later sync succeeds; or append to a segment of an earlier process. It must not know what a record means.
//
// Concurrency: a Store is safe for concurrent use. One goroutine of it writes, another one cleans; Close waits for both. Callbacks of Append run
// on the writer's goroutine and must not block.
//
// Errors: the sentinel errors of this package and the errors of the file system, wrapped with the name of the file. After a failed append the
// store stays open and recovers by itself when the disk does; Health tells.
//
// Costs: an append is O(its size) and one sync of each copy for all that wait together. Get is O(1), and one read of the disk where there is
// such a record. Opening is O(bytes of the log). Memory is 16 to 30 bytes for each key, and one segment while it is read.
package recordlog
