// Package transport contains the broker's drivers over package net. It owns the sockets and the goroutines around the pure core, and decides
// nothing about queries itself:
//
//   - Engine: the one goroutine that owns core.Core, the admission gate and the pool of server connections. Everything else posts functions
//     to it (engine.go, gate.go, permit.go).
//   - pool: connections to servers. Only the engine's goroutine touches it; each connection's goroutines post to the engine (pool.go,
//     dispatch.go, server_conn.go, conn_end.go, outbox.go).
//   - Listener: clients' connections, under one lock of the listener (listener.go, client_conn.go, request_reader.go, request.go, idle.go).
//   - follower: a watch on an HTTP list, with Watcher for discovery's members and Routes for layouts.
//   - AdminListener, StateExchange and Redundancy: operators' calls, the states of this gatherer's processes, and VRRP over UDP.
//
// The package must not know what a query means: a Front turns requests into queries and answers into responses.
//
// Errors: a lost connection is an outcome of the attempts on it, never an error of the engine. A request that can't be read ends its
// connection with an error answer. A failing directory or discovery leaves the last known state in force.
package transport
