package core

import (
	"errors"

	sq "saffronquay"
)

// ErrConnectionEnding is returned by Session.Feed beside the last answer on a connection that the server ends in order. It is not a fault of the server.
var ErrConnectionEnding = errors.New("the server ends the connection")

// Dialect is the protocol that servers are called by. It opens no connection itself.
type Dialect interface {
	// Streams returns how many calls one connection carries at a time.
	Streams() int
	// NewSession returns the state of a new connection to the server at an address.
	NewSession(address string) Session
}

// Session is the state of one connection in a Dialect. It does no input or output: it is fed the bytes that came and appends those to be sent.
type Session interface {
	// Call appends the bytes of a call that is sent at now.
	Call(dst []byte, c Call, now int64) []byte
	// Cancel appends the bytes that tell the server that an attempt is given up. keep is false where only closing the connection can tell it.
	Cancel(dst []byte, id AttemptID) (out []byte, keep bool)
	// Unsent reports that an attempt was taken back before any byte of its call was sent: no reply to it comes.
	Unsent(id AttemptID)
	// Feed takes bytes from the server; it does not keep b. Beside an error it returns the replies that were good. After an error the connection is of no use, and
	// the attempts that still run on it may have run.
	Feed(b []byte) ([]Reply, error)
	// Partial reports whether bytes of an unfinished answer are held.
	Partial() bool
	// Closed reports that the server has ended the connection in order, and returns the replies which that completes. It is not called after a reset.
	Closed() []Reply
}

// Reply is what a server gave for one attempt.
type Reply struct {
	Attempt AttemptID
	Outcome sq.Outcome
	Value   []byte
	// Read, if not nil, decodes and judges the answer and returns the reply that counts. It may take long and touches nothing of its session: the pool runs it off the
	// engine's goroutine.
	Read   func() Reply
	Size   int // bytes that Value and Part keep
	Part   any // the answer as the session has decoded it for the query's protocol; nil where it decodes nothing
	Report *sq.LoadReport
}
