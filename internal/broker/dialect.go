package broker

import yw "yarrowwalk"

// Dialect is how servers are spoken to. It knows no socket.
type Dialect interface {
	// Streams is how many calls one connection carries at a time.
	Streams() int
	// Session begins a connection to the server at an address.
	Session(address string) Session
}

// Session is one connection's side of a dialect, fed bytes.
type Session interface {
	// Call appends the bytes of a call that leaves at now.
	Call(dst []byte, c Call, now int64) []byte
	// Drop appends what tells the server that an attempt is given up; keep is false where only closing the
	// connection can say so.
	Drop(dst []byte, id AttemptID) (out []byte, keep bool)
	// Feed takes in bytes from the server. After an error the connection is of no use.
	Feed(b []byte) ([]Reply, error)
	// Closed says that the server has ended the connection, and returns what that completes.
	Closed() []Reply
}

// Reply is what a server gave for one attempt.
type Reply struct {
	Attempt AttemptID
	Outcome yw.Outcome
	Value   []byte
	Report  *yw.LoadReport
}
