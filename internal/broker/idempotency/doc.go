// Package idempotency decides, for queries that must not run twice, what a client's retry is told: it keeps which keys are open, has each
// part's intent made durable before the part leaves, and has the query's end recorded.
//
// It owns the open entries, and they are dropped with their queries; what outlasts them is the log's. It does no input or output of
// its own and reads no clock: the log's clock is the only one. It must never let a part leave whose intent is not durable, and never
// call a key fresh that may stand in the log, or in a span of it that is gone.
package idempotency
