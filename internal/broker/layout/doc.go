// Package layout owns where the ranges of the key are: which shard is which span, which servers hold it, and which
// changes (splits, merges, moves) are under way. It judges what is new, steps the changes' state machine and plans which
// parts a query needs.
//
// It does no input or output, reads no clock and never picks a server: who among the holders gets a part is the decision
// module's word. A Layout never changes once it is made, so any goroutine may read it; a Keeper belongs to one owner.
//
// Spans are runs of whole numbers, From up to but without To. Epochs are whole numbers from 1 on. A shard id names one
// span for as long as its history lasts and is never handed out again. docs/LAYOUT.md has the reasons.
package layout
