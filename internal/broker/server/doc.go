// Package server builds one gatherer out of its components and runs it: engine, client listener, admin endpoint, discovery, routes, store, view of the
// fleet, policy node and virtual address.
//
// It owns the order in which they start and stop, and the settings in force (a Plan). It never decides how a query is executed: that is the decision
// module's task. A file that is not valid changes nothing. What was accepted before Stop has its final answer before Wait returns, and
// nothing is left running then.
//
// A Gatherer has one goroutine, run, which handles events one after another (event_loop.go). Components have goroutines of their own and reach it through
// channels; none of them may wait for it without watching loopStopped too, since a shutdown waits for them.
//
// Start and the Plan's functions return errors that name the setting at fault; they are meant for the operator and have no sentinels, but for
// peering.ErrClosed from a policy that comes while the gatherer ends.
package server
