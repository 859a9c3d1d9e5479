// Package fakebackend implements a fake search cluster for tests and demonstrations of the broker:
// search servers that hold ranges of rows, a layout directory, and a cluster that splits, merges and
// moves ranges while queries run. Everything listens on loopback. A Ledger counts violations: a part
// of an at-most-once query that ran twice, or a part that ran on a server that does not hold it.
//
// The package implements none of the broker's rules, and the broker must not import it.
package fakebackend
