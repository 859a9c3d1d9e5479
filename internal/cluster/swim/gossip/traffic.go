package gossip

import (
	"net"
	"sync/atomic"
)

// Traffic is what a part has sent and taken in since its beginning: words (a datagram, a frame of an exchange, a message on the policy)
// and bytes of payload, without the headers of UDP, TCP and IP.
type Traffic struct {
	Sent, Received           int64 // words
	SentBytes, ReceivedBytes int64
	QuotaBytes               int64 // of both, those that are of budgets
	Links                    int64 // to others, that are open now
}

// Counter counts traffic; any goroutine may.
type Counter struct{ sent, received, sentBytes, receivedBytes atomic.Int64 }

// Out counts a word of so many bytes that was sent.
func (c *Counter) CountSent(n int) { c.sent.Add(1); c.sentBytes.Add(int64(n)) }

// In counts a word of so many bytes that was taken in.
func (c *Counter) CountReceived(n int) { c.received.Add(1); c.receivedBytes.Add(int64(n)) }

// Words counts words whose bytes are counted elsewhere.
func (c *Counter) CountMessages(sent, received int64) { c.sent.Add(sent); c.received.Add(received) }

// Read returns what was counted.
func (c *Counter) Snapshot() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load()}
}

// Traffic is what was sent and taken in for the view.
func (p *Driver) Traffic() Traffic { return p.traffic.Snapshot() }

// Of counts the bytes of a connection.
func (c *Counter) WrapConn(conn net.Conn) net.Conn { return countedConn{conn, c} }

type countedConn struct {
	net.Conn
	counter *Counter
}

func (x countedConn) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	x.counter.receivedBytes.Add(int64(n))
	return n, err
}

func (x countedConn) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	x.counter.sentBytes.Add(int64(n))
	return n, err
}
