package peers

import (
	"net"
	"sync/atomic"

	"saffronquay/internal/rollout/wire"
)

// Traffic is what a part has sent and taken in since its beginning: words (a datagram, a frame of an exchange, a message on the policy)
// and bytes of payload, without the headers of UDP, TCP and IP.
type Traffic struct {
	Sent, Received           int64 // words
	SentBytes, ReceivedBytes int64
	ShareBytes               int64 // of both, those that are of budgets
	Links                    int64 // to others, that are open now
}

// counter counts traffic; any goroutine may.
type counter struct{ sent, received, sentBytes, receivedBytes, shareBytes atomic.Int64 }

func (c *counter) out(n int) { c.sent.Add(1); c.sentBytes.Add(int64(n)) }
func (c *counter) in(n int)  { c.received.Add(1); c.receivedBytes.Add(int64(n)) }

// said and heard count a message on the policy; its bytes are counted by the connection.
func (c *counter) said(m *wire.Message) {
	c.sent.Add(1)
	c.shareBytes.Add(int64(len(m.Ask.GetShare()) + len(m.Word.GetShare())))
}

func (c *counter) heard(m *wire.Message) {
	c.received.Add(1)
	c.shareBytes.Add(int64(len(m.Ask.GetShare()) + len(m.Word.GetShare())))
}

// of counts the bytes of a connection.
func (c *counter) of(conn net.Conn) net.Conn { return counted{conn, c} }

type counted struct {
	net.Conn
	c *counter
}

func (x counted) Read(b []byte) (int, error) {
	n, err := x.Conn.Read(b)
	x.c.receivedBytes.Add(int64(n))
	return n, err
}

func (x counted) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	x.c.sentBytes.Add(int64(n))
	return n, err
}

func (c *counter) read() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), ShareBytes: c.shareBytes.Load()}
}

// Traffic is what was sent and taken in for the view.
func (p *Peers) Traffic() Traffic { return p.traffic.read() }

// Traffic is what was sent and taken in for agreeing on the policy, and for dividing budgets.
func (p *Policy) Traffic() Traffic {
	t := p.counts.read()
	t.Links = p.links.Load()
	return t
}
