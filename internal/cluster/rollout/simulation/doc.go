// Package simulation plays many nodes of package rollout in virtual time, under seeded faults, and checks every query that they admit. The same
// seed gives the same run.
//
// It owns the clocks, links and disks that it simulates, the operators who propose changes, and the history of admissions. It opens no file and no
// socket, and reads no real clock. A run is one goroutine; several runs may be played at the same time.
//
// Run returns an error where a node can't be started at the beginning. What breaks a guarantee during a run is counted in Result: HasViolations and
// FirstViolation tell whether and what.
package simulation
