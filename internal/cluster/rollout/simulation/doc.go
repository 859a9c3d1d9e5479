// Package simulation runs many nodes of package rollout in virtual time with seeded faults, and
// checks every query that they admit. Runs are deterministic: the same seed gives the same run.
//
// The package simulates the nodes' clocks, links and disks and the operators who propose changes,
// and records the history of admissions. It opens no files or sockets and reads no real clock. A
// run uses one goroutine; several runs may be executed concurrently.
//
// Run returns an error if a node can't be started at the beginning. Violations of a guarantee
// during a run are counted in Result; HasViolations reports whether there were any, and
// FirstViolation describes the first one.
package simulation
