package gossip

import (
	"net"
	"sync/atomic"
)

// Traffic is what a driver has sent and received since its start: messages (datagrams, frames of exchanges, messages of the policy agreement) and bytes of
// payload, without the headers of UDP, TCP and IP.
type Traffic struct {
	Sent, Received           int64 // messages
	SentBytes, ReceivedBytes int64
	QuotaBytes               int64 // of SentBytes and ReceivedBytes, those about quotas
	Links                    int64 // open connections to other processes
}

// Counter counts traffic. It is safe for concurrent use.
type Counter struct{ sent, received, sentBytes, receivedBytes atomic.Int64 }

// CountSent counts a message of n bytes that was sent.
func (c *Counter) CountSent(n int) { c.sent.Add(1); c.sentBytes.Add(int64(n)) }

// CountReceived counts a message of n bytes that was received.
func (c *Counter) CountReceived(n int) { c.received.Add(1); c.receivedBytes.Add(int64(n)) }

// CountMessages counts messages whose bytes are counted elsewhere, such as by a connection of WrapConn.
func (c *Counter) CountMessages(sent, received int64) { c.sent.Add(sent); c.received.Add(received) }

// Snapshot returns the counters. They are read one by one.
func (c *Counter) Snapshot() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// WrapConn returns a connection whose bytes are counted.
func (c *Counter) WrapConn(conn net.Conn) net.Conn { return countedConn{conn, c} }

// Traffic returns what was sent and received for the view.
func (p *Driver) Traffic() Traffic { return p.traffic.Snapshot() }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read counts what the connection reads.
func (x countedConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	x.counter.receivedBytes.Add(int64(n))
	return n, err
}

// Write counts what the connection writes.
func (x countedConn) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	x.counter.sentBytes.Add(int64(n))
	return n, err
}
