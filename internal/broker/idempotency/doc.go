// Package idempotency keeps queries that must run at most once from running twice, also across retries of their clients and restarts of the
// gatherer. It decides what a client's retry gets: the recorded answer, a refusal, or permission to send.
//
// It owns the queries in progress; an entry is dropped with its query. All that outlasts a query is in the record log: the intent to send its
// parts, made durable before the first of them leaves, and how the query ended. The package does no input or output of its own and reads no
// clock but the log's. It must not know HTTP, nor how parts are sent.
//
// Invariants: no part leaves without a durable intent. A key is never called Fresh while the log has a record of it, or while a record of it may
// lie in a span that the log has lost.
//
// Concurrency: Tracker and Entry are safe for concurrent use. Callbacks run on the log's goroutine and must not block.
//
// Errors: ErrEnded where a query has ended; otherwise the errors of package recordlog, which mean that it is not known whether a record is
// durable.
package idempotency
