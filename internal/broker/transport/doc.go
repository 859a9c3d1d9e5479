// Package transport drives the broker's core over package net. It owns the sockets and the
// goroutines around the core, and makes no decision about queries:
//
//   - Engine: the one goroutine that owns core.Core, the admission gate and the pool of server
//     connections. Everything else posts functions to it (engine.go, gate.go, permit.go).
//   - pool: connections to servers. Only the engine's goroutine touches it; each connection's
//     goroutines post to the engine (pool.go, dispatch.go, server_conn.go, conn_end.go, outbox.go).
//   - Listener: client connections, guarded by the listener's mutex (listener.go, client_conn.go,
//     request_reader.go, request.go, idle.go).
//   - follower: a watch on a list served over HTTP. Watcher uses it for discovery's members, Routes for
//     layouts.
//   - AdminListener, StateExchange and VirtualRouter: the admin endpoint, the state files of this
//     gatherer's processes, and VRRP over UDP.
//
// The package does not interpret queries: a Front turns requests into queries and results into
// responses.
//
// A lost connection is an outcome of the attempts on it, never an error of the engine. A request
// that cannot be parsed is answered with an error, and its connection is closed. If the directory
// or discovery fails, the last known state stays in force.
package transport
