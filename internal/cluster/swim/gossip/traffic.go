package gossip

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of messages (datagrams, frames of exchanges, messages of the policy
// agreement) and bytes that a driver has sent and received since its start. Bytes are payload,
// without the headers of UDP, TCP and IP.
type Traffic struct {
	Sent, Received           int64 // messages
	SentBytes, ReceivedBytes int64
	QuotaBytes               int64 // the part of SentBytes and ReceivedBytes that is quota messages
	Links                    int64 // open connections to other processes
}

// Counter counts traffic. It is safe for concurrent use.
type Counter struct{ sent, received, sentBytes, receivedBytes atomic.Int64 }

// CountSent counts a message of n bytes that was sent.
func (c *Counter) CountSent(n int) { c.sent.Add(1); c.sentBytes.Add(int64(n)) }

// CountReceived counts a message of n bytes that was received.
func (c *Counter) CountReceived(n int) { c.received.Add(1); c.receivedBytes.Add(int64(n)) }

// CountMessages counts messages whose bytes are counted separately, such as by a connection of
// WrapConn.
func (c *Counter) CountMessages(sent, received int64) { c.sent.Add(sent); c.received.Add(received) }

// Snapshot returns the counters. They are read one by one, so the result is not a consistent
// snapshot.
func (c *Counter) Snapshot() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// WrapConn returns a connection that counts the bytes sent and received over conn.
func (c *Counter) WrapConn(conn net.Conn) net.Conn { return countedConn{conn, c} }

// Traffic returns the messages and bytes sent and received for the view.
func (p *Driver) Traffic() Traffic { return p.traffic.Snapshot() }

// countedConn counts the bytes that are sent and received over a connection.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn and counts the bytes read.
func (x countedConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	x.counter.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (x countedConn) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	x.counter.sentBytes.Add(int64(n))
	return n, err
}
