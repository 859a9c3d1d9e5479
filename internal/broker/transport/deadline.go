package transport

import (
	"net"
	"time"
)

// setDeadline bounds further reads and writes of a connection. It fails only where the connection is closed, and the next read or write
// reports that too.
func setDeadline(conn net.Conn, at time.Time) { _ = conn.SetDeadline(at) }

// setReadDeadline bounds further reads, and wakes a read that waits where the time has passed. As setDeadline.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// setWriteDeadline bounds further writes. As setDeadline.
func setWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }
