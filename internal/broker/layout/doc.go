// Package layout implements the layout of key ranges: the span of each shard, the servers that hold
// a replica of it, and the changes (splits, merges and moves) in progress. It validates documents
// and steps, applies the state machine of changes, and plans the parts of a query.
//
// The package does no input or output, reads no clock and never chooses a server: the decision
// module chooses the holder for a part. Times are in microseconds and come from the caller.
//
// A Layout is immutable and safe for concurrent reads. Current publishes it to readers. A Tracker
// is not safe for concurrent use.
//
// Spans are half-open: From is included, To is not. Epochs start at 1 and each step increments the
// epoch by one. Within a history a shard id always has the same span and is never reused.
//
// New, Layout.Step and the Tracker return ValidationErrors, joined if there are several. A rejected
// document or step changes nothing. docs/LAYOUT.md has the reasons for the design.
package layout
