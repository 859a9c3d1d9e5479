// Package simulation runs many cores of package swim in virtual time, under a script of faults
// (package faults): for design studies, for measurements at sizes that started processes do not
// reach, and for tests over many seeds. The same seed gives the same run.
//
// It owns the virtual clock, the links and the set of processes with which views are compared. It
// opens no socket and starts no goroutine. Run is safe for concurrent use, as each run has its
// own state. It does not simulate processor time, clocks of different speed, or full socket
// buffers other than those of stopped members.
package simulation
