// Package fakebackend is what the gatherer speaks to where there is no real cluster: search servers that hold ranges of rows, a
// layout directory, and a cluster that splits, merges and moves what they hold while queries run. Everything listens on
// loopback. A Ledger of its own counts what must never happen: a part run twice that may run once, or run where it is not held.
//
// It is a stand-in for tests and for trying the program out: it owns no rule of the gatherer and must never be asked by it.
package fakebackend
