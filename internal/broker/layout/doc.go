// Package layout owns the ranges of the key: which shard has which span, which servers hold it, and which changes (splits, merges,
// moves) are under way. It validates documents and steps, applies the state machine of changes, and plans the parts of a query.
//
// The package does no input or output, reads no clock and never chooses a server: which holder gets a part is the decision module's
// task. Times are microseconds that the caller gives.
//
// A Layout is immutable, so any goroutine may read it. Current publishes it to readers. A Tracker is not safe for concurrent use.
//
// Spans are half-open: From belongs to them, To does not. Epochs start at 1 and each step raises the epoch by one. A shard id has
// one span for as long as its history lasts and is never assigned again.
//
// New, Layout.Step and the Tracker return ValidationErrors, joined where there are several; a rejected document or step changes
// nothing. docs/LAYOUT.md has the reasons for the design.
package layout
