package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/swim"
	"time"
)

// frameRequest is a received frame and the channel for its reply. The channel has a buffer of one,
// so the core never blocks on it.
type frameRequest struct {
	frame []byte
	reply chan []byte
}

// acceptExchanges serves the exchanges that other processes open, at most maxIncoming at a time,
// until the listener is closed.
func (p *Driver) acceptExchanges() {
	defer p.wg.Done()
	slots := make(chan struct{}, maxIncoming)
	for {
		conn, err := p.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			logging.Warn(p.log, logging.PeerDropped, "what", "accept", "error", err)
			time.Sleep(10 * time.Millisecond) // probably out of file descriptors; do not spin
			continue
		}
		from := tcpAddress(conn.RemoteAddr())
		if !p.allowed(from.Addr()) {
			p.droppedByAddress.Add(1)
			logging.Warn(p.log, logging.PeerDropped, "what", "connection", "from", from, "error", swim.ErrAddress)
			conn.Close()
			continue
		}
		select {
		case slots <- struct{}{}:
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				defer func() { <-slots }()
				defer conn.Close()
				p.serveExchange(conn)
			}()
		default:
			p.droppedByLimit.Add(1)
			conn.Close()
		}
	}
}

// serveExchange answers the frames of one exchange: the opening frame, and the frame with the
// records that only the other side has.
func (p *Driver) serveExchange(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(exchangeTimeout)) != nil {
		return // the connection is closed
	}
	conn = p.traffic.WrapConn(conn)
	for range 2 {
		b, err := readFrame(conn)
		if err != nil {
			return
		}
		reply := p.handleFrame(b)
		if reply == nil || writeFrame(conn, reply) != nil {
			return
		}
		p.traffic.sent.Add(1)
	}
}

// handleFrame passes a frame to the core and returns the reply, or nil if there is none or the
// driver stops.
func (p *Driver) handleFrame(b []byte) []byte {
	x := frameRequest{frame: b, reply: make(chan []byte, 1)}
	p.traffic.received.Add(1)
	select {
	case p.frames <- x:
	case <-p.done:
		return nil
	}
	select {
	case reply := <-x.reply:
		return reply
	case <-p.done:
		return nil
	}
}

// openExchange runs one exchange that the core requested. A failure is not reported, since a later
// exchange replaces this one.
func (p *Driver) openExchange(x swim.Exchange) {
	defer p.wg.Done()
	defer func() { <-p.outgoing }()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	dialer := net.Dialer{}
	if p.localAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.localAddress, 0))
	}
	conn, err := dialer.DialContext(ctx, "tcp", x.To.String())
	if err != nil {
		p.sendFailures.Add(1)
		return
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(exchangeTimeout)) != nil {
		return // the connection is closed
	}
	conn = p.traffic.WrapConn(conn)
	if writeFrame(conn, x.Frame) != nil {
		return
	}
	p.traffic.sent.Add(1)
	b, err := readFrame(conn)
	if err != nil {
		return
	}
	if reply := p.handleFrame(b); reply != nil && writeFrame(conn, reply) == nil {
		p.traffic.sent.Add(1)
	}
}

// writeFrame writes a frame prefixed with its length.
func writeFrame(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

// readFrame reads a frame prefixed with its length. A length of 0 or above swim.MaxFrame is an
// error.
func readFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > swim.MaxFrame {
		return nil, fmt.Errorf("gossip: frame length %d out of range", n)
	}
	// The buffer grows with the bytes received, so that a length prefix alone cannot allocate
	// memory.
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(b) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}
