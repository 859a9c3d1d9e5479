// Package server joins the parts of one gatherer into a running one: engine, listener, door, watch, routes, store and virtual address,
// built from settings, started, retuned and stopped.
//
// It owns the order in which they begin and end, and what is in force of the settings (a Plan). It promises that a file that can't be
// used changes nothing, that what was taken in before Stop has its final answer before Wait returns, and that nothing of it is left
// running then. It must never decide what becomes of a query: that is the module's.
package server
