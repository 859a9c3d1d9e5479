package core

import (
	"errors"

	sq "saffronquay"
)

// ErrLast says that the answer which came with it was the last on its connection; nothing was wrong with it.
var ErrConnectionEnding = errors.New("the server ends the connection")

// Dialect is how servers are spoken to. It knows no socket.
type Dialect interface {
	// Streams is how many calls one connection carries at a time.
	Streams() int
	// Session begins a connection to the server at an address.
	NewSession(address string) Session
}

// Session is one connection's side of a dialect, fed bytes.
type Session interface {
	// Call appends the bytes of a call that leaves at now.
	Call(dst []byte, c Call, now int64) []byte
	// Drop appends what tells the server that an attempt is given up; keep is false where only closing the
	// connection can say so.
	Cancel(dst []byte, id AttemptID) (out []byte, keep bool)
	// Unsent says that an attempt was taken back before any byte of its call left: nothing comes back for it.
	Unsent(id AttemptID)
	// Feed takes in bytes from the server, which it does not keep. What was good is returned beside an error;
	// after that the connection is of no use, and what is still out on it may have run.
	Feed(b []byte) ([]Reply, error)
	// Partial tells that bytes of an unfinished answer are held.
	Partial() bool
	// Closed says that the server has ended the connection in order, and returns what that completes. A reset completes nothing.
	Closed() []Reply
}

// Reply is what a server gave for one attempt.
type Reply struct {
	Attempt AttemptID
	Outcome sq.Outcome
	Value   []byte
	// Read, where set, reads and judges the answer, and gives the reply that counts. It may take long and touches nothing of
	// its session's: the pool runs it off the engine's goroutine.
	Read   func() Reply
	Size   int // bytes that Value and Part keep
	Part   any // the same, as the session has read it for the query's front; nil where it reads nothing
	Report *sq.LoadReport
}
