// Package harness runs the program for tests and for commands that execute long runs. It builds the
// program at most once per test binary, runs it in directories that outlive a process, reads its log
// from standard error, and injects faults into the traffic between processes.
//
// A Place runs the program repeatedly in one directory; a Process is one run of it. A Group is a set
// of members, each a Place behind relays. The relays consult one Net, which drops, delays and
// duplicates messages according to the active faults. Fault scripts are those of package faults.
//
// The package owns the processes, relays, sockets and directories that it creates and releases them
// by the Cleanup of its T, which is a test, or a Runner outside of tests. On its own it reports only
// what is an error in every test: a panic, a data race, or a message of the program's deadline guard.
// All other checks are up to the caller. The program must not import this package.
//
// Concurrency: starting, stopping and playing a script must happen on one goroutine. Net, Place and
// Runner are safe for concurrent use; of a Group, PolicyAt, ListensAt, AdminAddressOf, Record and
// History may be called while another goroutine plays a script.
//
// Errors: a failure that the caller cannot recover from ends the run by T.Fatal. Waits are for states,
// not for durations; each ends after WaitTimeout with T.Fatal and a message that describes the last
// observed state. The operating system chooses all ports.
package harness
