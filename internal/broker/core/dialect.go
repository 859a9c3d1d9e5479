package core

import (
	"errors"

	sq "saffronquay"
)

// ErrConnectionEnding is returned by Session.Feed along with the last reply on a connection that
// the server closes gracefully. It is not a fault of the server.
var ErrConnectionEnding = errors.New("core: connection is being closed by the server")

// Dialect is the protocol by which servers are called. It does not open connections.
type Dialect interface {
	// Streams returns the maximum number of concurrent calls on one connection.
	Streams() int
	// NewSession returns the state of a new connection to the server at an address.
	NewSession(address string) Session
}

// Session is the state of one connection in a Dialect. It does no input or output: it is fed the
// bytes received and appends the bytes to be sent.
type Session interface {
	// Call appends the bytes of a call that is sent at the time now.
	Call(dst []byte, c Call, now int64) []byte
	// Cancel appends the bytes that notify the server that an attempt is cancelled. keep is false
	// if the connection must be closed to cancel it.
	Cancel(dst []byte, id AttemptID) (out []byte, keep bool)
	// Unsent reports that an attempt was cancelled before any byte of its call was sent, so no reply
	// to it will come.
	Unsent(id AttemptID)
	// Feed processes bytes received from the server; it does not retain b. Along with an error it
	// returns the replies that precede the fault. After an error the connection is unusable, and
	// the attempts still in flight on it may have run.
	Feed(b []byte) ([]Reply, error)
	// Partial reports whether an incomplete reply is buffered.
	Partial() bool
	// Closed reports that the server has closed the connection gracefully, and returns the replies
	// that this completes. It is not called after a reset.
	Closed() []Reply
}

// Reply is a server's reply to one attempt.
type Reply struct {
	Attempt AttemptID
	Outcome sq.Outcome
	Value   []byte
	// Read, if not nil, decodes and validates the answer and returns the reply to use. It may be
	// slow and does not access the session: the pool runs it outside the engine's goroutine.
	Read   func() Reply
	Size   int // memory retained by Value and Part, in bytes
	Part   any // the answer decoded for the query's protocol; nil if the session does not decode
	Report *sq.LoadReport
}
