// Package simulation simulates a fleet in virtual time: many gatherers, each with its own decision
// module, and servers that queue, warm up and report their load with a delay. It is used for
// designs at sizes that cannot be tested with sockets, and for tests of the behaviour of a fleet as
// a whole.
//
// Play plays a Day and returns its Result. It makes no decision, does no input or output and reads
// no clock. It runs on one goroutine, and the same Day gives the same Result; days can be played
// concurrently. It fails only for invalid settings.
//
// Not simulated are connections, processor time, lists that differ between gatherers, and malformed
// answers.
package simulation
