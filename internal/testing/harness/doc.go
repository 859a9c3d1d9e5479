// Package harness starts the program for tests and for the commands that play long runs. It builds the program at most one time for each
// test binary, runs it in places whose files outlast a process, reads its log from standard error, and puts faults between processes.
//
// A Place runs the program repeatedly in one directory; a Process is one run of it. A Group is several members, each a Place with relays
// in front of it. The relays consult one Net, which drops, delays and repeats what passes as the faults in force require. Scripts of
// faults are those of package faults.
//
// The package owns the processes, relays, sockets and directories that it makes, and ends them by the Cleanup of its T: a test, or a
// Runner where no test runs. It reports by itself only what is wrong in every test: a panic, a data race, or a message of the program's
// deadline guard. All other checks are the caller's. It must not be imported by the program.
//
// Concurrency: starting, stopping and playing a script are for one goroutine. Net, Place and Runner have locks of their own; of a Group,
// PolicyAt, ListensAt, AdminAddressOf, Record and History may be called while another goroutine plays a script.
//
// Errors: what the caller can't go on without ends the run by T.Fatal. Waits are for states, not for durations; each ends after
// WaitTimeout with T.Fatal and a text that describes the last state seen. All ports are chosen by the operating system.
package harness
