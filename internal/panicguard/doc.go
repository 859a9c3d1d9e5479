// Package panicguard contains a panic to the request in whose goroutine it happens.
//
// A goroutine that works on one request, answer or item, and owns no state beyond it, defers Contain: a fault met with that one input must not
// end the process and with it all other requests. The caller's duty is to answer or give up the request, to count the panic, and to log it.
//
// A goroutine that owns state (the engine of the broker, replica.Host) must not use it: after a panic its state may be half changed, and what it
// would answer from then on could break promises. Such a panic ends the process, which starts again from its disk.
//
// The package keeps no state. It is safe for concurrent use.
package panicguard
