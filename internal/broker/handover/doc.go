// Package handover is the state that two processes of one gatherer write for each other while one replaces the other: what it is, how it is written as JSON, and
// when it is too old to be used.
//
// The package opens no file and reads no clock: the caller writes and reads the text and gives the time. It has no state of its own, so any goroutine may use it.
// Parse returns an error for a text that it can't read completely.
package handover
