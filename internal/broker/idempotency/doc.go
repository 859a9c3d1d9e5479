// Package idempotency guarantees at-most-once execution of queries, also across client retries and
// restarts of the gatherer. It decides on the response to a client's retry: the recorded answer, a
// rejection, or permission to send.
//
// It tracks the queries in progress; an entry is removed when its query ends. All state that
// outlives a query is in the record log: the intent to send its parts, durable before the first of
// them is sent, and the query's answer. The package does no input or output of its own and reads no
// clock but the log's. It must not depend on HTTP or on how parts are sent.
//
// Invariants: no part is sent without a durable intent. A key is never Fresh while the log has a
// record of it, or while a record of it may be in a span that the log has lost.
//
// Concurrency: Tracker and Entry are safe for concurrent use. Callbacks run on the log's goroutine
// and must not block.
//
// Errors: ErrEnded if a query has ended; otherwise the errors of package recordlog, after which it
// is unknown whether a record is durable.
package idempotency
