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

// read takes datagrams in until the socket closes.
func (p *Driver) readDatagrams() {
	defer p.wg.Done()
	buf := make([]byte, readBuffer)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a peer that is down shows as a refused datagram on loopback; the socket stays good
		}
		p.traffic.CountReceived(n)
		if !p.allowed(from.Addr()) {
			p.droppedByAddress.Add(1)
			logging.Warn(p.log, logging.PeerDropped, "what", "datagram", "from", from, "error", swim.ErrAddress)
			continue
		}
		select {
		case p.datagrams <- append([]byte(nil), buf[:n]...):
		default:
			p.droppedByLimit.Add(1)
		}
	}
}

// accept takes exchanges in that others open, so many at a time.
func (p *Driver) acceptExchanges() {
	defer p.wg.Done()
	places := make(chan struct{}, maxIncoming)
	for {
		conn, err := p.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			logging.Warn(p.log, logging.PeerDropped, "what", "accept", "error", err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: not at once again
			continue
		}
		from := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
		if !p.allowed(from.Addr()) {
			p.droppedByAddress.Add(1)
			logging.Warn(p.log, logging.PeerDropped, "what", "connection", "from", from, "error", swim.ErrAddress)
			conn.Close()
			continue
		}
		select {
		case places <- struct{}{}:
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				defer func() { <-places }()
				defer conn.Close()
				p.serveExchange(conn)
			}()
		default:
			p.droppedByLimit.Add(1)
			conn.Close()
		}
	}
}

// serve answers one exchange: its first frame, and the one with what the other side had more.
func (p *Driver) serveExchange(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
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

// hand gives a frame to the core.
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

// open has one exchange that the core asked for.
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
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
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

// writeFrame writes a frame behind its length.
func writeFrame(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...))
	return err
}

// readFrame reads one; a length beyond the bound is not believed.
func readFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > swim.MaxFrame {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	// It grows as it comes: a length alone takes no memory.
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(b) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}
