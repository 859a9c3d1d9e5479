// Package handover defines the state that two processes of one gatherer exchange while one replaces
// the other: its content, its encoding as JSON, and when it is too old to be used.
//
// The package opens no file and reads no clock: the caller reads and writes the text and passes the
// time. It has no state and is safe for concurrent use. Parse returns an error for a text that it
// cannot parse completely.
package handover
