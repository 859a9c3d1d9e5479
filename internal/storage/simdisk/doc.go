// Package simdisk provides an in-memory directory for tests and simulations of code that writes
// to disk. A FaultPlan makes its calls fail, stall, or find the disk full, and the disk can
// crash: data that was not synced is then lost, completely or in part.
//
// Disk implements recordlog.Dir, and RandomAccess the disk of package replica. The package models
// the guarantees of a file system and must not interpret the stored data.
//
// Concurrency: Disk, its files and FaultPlan are safe for concurrent use. Crash draws from the
// caller's random source in a fixed order, so the same calls and seed give the same disk.
//
// Errors: the errors of packages fs and syscall that a real disk would return, recordlog.ErrOwned
// for a locked file, and ErrCrashed.
package simdisk
