package peering

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/rollout/wire"
	"time"

	"google.golang.org/protobuf/proto"
)

func (p *Policy) accept() {
	defer p.wg.Done()
	places := make(chan struct{}, inwardMost)
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
		select {
		case places <- struct{}{}:
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				defer func() { <-places }()
				p.serve(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// serve takes in what one connection brings: a gatherer's messages, or an operator's proposals, which are answered on it.
func (p *Policy) serve(conn net.Conn) {
	conn = p.counts.WrapConn(conn)
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-p.done:
		case <-over:
		}
		conn.Close()
	}()
	for {
		conn.SetReadDeadline(time.Now().Add(linkIdle))
		m, err := readMessage(conn)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				logging.Debug(p.log, logging.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", err)
			}
			return
		}
		p.counts.heard(m)
		a := arrival{m: m}
		if m.Propose != nil {
			a.reply = make(chan *wire.Answer, 1)
		} else if o := (*p.others.Load())[m.From]; o == nil || m.To != p.cfg.Node.Name {
			logging.Warn(p.log, logging.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", errStranger)
			return
		} else {
			o.heard.Store(p.now())
		}
		select {
		case p.in <- a:
		case <-p.done:
			return
		}
		if a.reply == nil {
			continue
		}
		select {
		case answer := <-a.reply:
			conn.SetWriteDeadline(time.Now().Add(writeWait))
			if writeMessage(conn, &wire.Message{From: p.cfg.Node.Name, Answer: answer}) != nil {
				return
			}
		case <-p.done:
			return
		}
	}
}

var errStranger = errors.New("it is of nobody among the members, or to another one")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// writeMessage writes a message behind its length and checksum.
func writeMessage(w io.Writer, m *wire.Message) error {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 8, 256), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-8))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	_, err = w.Write(b)
	return err
}

func readMessage(r io.Reader) (*wire.Message, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > mostFrame {
		return nil, fmt.Errorf("a message of %d bytes", n)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(b, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errors.New("checksum")
	}
	m := &wire.Message{}
	return m, proto.Unmarshal(b, m)
}

// AskPolicy sends a proposal to a gatherer, or asks how one stands, and gives the answer.
func AskPolicy(at netip.AddrPort, x *wire.Propose, patience time.Duration) (*wire.Answer, error) {
	conn, err := net.DialTimeout("tcp", at.String(), patience)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if err := writeMessage(conn, &wire.Message{Propose: x}); err != nil {
		return nil, err
	}
	m, err := readMessage(conn)
	if err != nil {
		return nil, err
	}
	if m.Answer == nil {
		return nil, errors.New("it answers something else")
	}
	return m.Answer, nil
}
