// Package simulation runs many cores of package swim in virtual time, under a script of faults (package faults): for design studies, for figures at sizes
// that started processes don't reach, and for tests over many seeds. The same seed gives the same run.
//
// It owns the virtual clock, the links and the processes that views are compared with. It opens no socket and starts no goroutine. Run is safe for concurrent
// use, as each run has its own state. Not simulated are processor time, full socket buffers except those of stopped members, and clocks of different
// speed.
package simulation
