// Package server assembles and runs one gatherer, the broker process that sends the parts of a query
// to shard replicas and merges the answers. Its components are the engine, the client listener, the
// admin endpoint, discovery, routes, the store, the view of the fleet, the policy node and the virtual
// address.
//
// The package owns the order in which the components start and stop, and the settings in force (a
// Plan). It never decides how a query is executed: that is the decision module's task. An invalid
// configuration file changes nothing. Every query accepted before Stop has its final answer before
// Wait returns, and no goroutine or socket of the gatherer remains then.
//
// A Gatherer has one goroutine, run, which handles events one after another (event_loop.go).
// Components have goroutines of their own and reach it through channels. A component that waits for
// run must also watch loopStopped, since a shutdown waits for the components.
//
// Errors of Start and of the Plan's functions name the setting at fault. They are meant for the
// operator and there are no sentinel errors, except for peering.ErrClosed, which is returned for a
// policy that arrives during a shutdown.
package server
