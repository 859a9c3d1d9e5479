// Package simulation plays a fleet in virtual time: many gatherers, each with a decision module of its own, over servers
// that queue, warm up and report their load late. It is for designs at sizes that sockets do not reach, and for tests that
// assert what a fleet does in sum.
//
// Play plays a Day and returns its Result. It makes no decision, does no input or output and reads no clock. It runs on
// one goroutine, and the same Day gives the same Result; days can be played concurrently. It fails only for settings
// that are not valid.
//
// What it leaves out: connections, processor time, lists that differ between gatherers, malformed answers.
package simulation
