// Package simdisk is a directory in memory for tests and simulations of code that writes to disk. On command its calls fail, stall, or find the
// disk full, and the disk crashes: what was not synced is then lost, or is there in part.
//
// Disk implements recordlog.Dir, RandomAccess the disk of package replica. The package models what a file system guarantees and must not know
// what is stored.
//
// Concurrency: Disk, its files and FaultPlan are safe for concurrent use. Crash draws from the caller's random source in a fixed order, so the
// same calls and seed give the same disk.
//
// Errors: those of package fs and syscall that a real disk would give, recordlog.ErrOwned for a locked file, and ErrCrashed.
package simdisk
