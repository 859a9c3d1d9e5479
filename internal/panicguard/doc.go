// Package panicguard confines a panic to the request in whose goroutine it happens.
//
// A goroutine that works on one request, answer or item, and owns no other state, defers Contain:
// a fault caused by that one input must not end the process and with it all other requests. The
// caller must answer or abandon the request, count the panic, and log it.
//
// A goroutine that owns shared state (the engine of the broker, replica.Host) must not use it:
// after a panic its state may be inconsistent, and its later answers could violate guarantees.
// Such a panic must end the process, which then restarts from its durable state.
//
// The package has no state. It is safe for concurrent use.
package panicguard
