// Package recordlog owns the durable records of one gatherer: a segmented append-only log in two copies, with group commit, an index in
// memory, cleaning and recovery. docs/STORE.md has the file format and the ways weighed.
//
// What it promises. A record that was acknowledged is found again after any crash, and after the damage, loss or replacement of
// any single file. Where both copies of something are gone, Unknown names the span. A record that was not acknowledged may be found
// again after a crash, or not. Of owners that follow each other only the latest has records acknowledged (its epoch).
//
// What it must never do: acknowledge before both copies are synced and the epoch was looked at after that; sync a file again after a
// failed sync and believe it; append to a segment of an earlier process; decide what a record means.
//
// Costs: an append is O(its size) and one sync of each copy for all that wait together; Get is O(1), and one read of the disk where
// there is such a record; opening is O(bytes of the log). Memory is 16 to 30 bytes for each key, and one segment while it is read.
package recordlog
