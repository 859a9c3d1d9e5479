package transport

import (
	"net"
	"time"
)

// setDeadline sets the deadline of reads and writes. It fails only on a closed connection, which
// the next read or write reports as well.
func setDeadline(conn net.Conn, at time.Time) { _ = conn.SetDeadline(at) }

// setReadDeadline sets the deadline of reads; a deadline in the past wakes a blocked read. Errors
// are ignored as in setDeadline.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// setWriteDeadline sets the deadline of writes. Errors are ignored as in setDeadline.
func setWriteDeadline(conn net.Conn, at time.Time) { _ = conn.SetWriteDeadline(at) }
