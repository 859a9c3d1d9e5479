package peering

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/rollout/wire"
	"time"
)

const (
	maxInboundConnections = 1200
	acceptBackoff         = 10 * time.Millisecond // after an error of accept, such as a lack of file descriptors
)

// errNotMember is logged when a connection is closed because of a message from a sender that is not
// on the roster, or to another gatherer.
var errNotMember = errors.New("peering: the sender is not on the roster, or the message is addressed to another gatherer")

// accept serves each connection on a goroutine of its own until the listener is closed.
func (p *PolicyNode) accept() {
	defer p.wg.Done()
	slots := make(chan struct{}, maxInboundConnections)
	for {
		conn, err := p.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			logging.Warn(p.log, logging.PeerDropped, "what", "accept", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				defer func() { <-slots }()
				p.serve(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// serve handles the messages of one connection: those of another gatherer, or an operator's
// proposals, which are answered on the same connection.
func (p *PolicyNode) serve(conn net.Conn) {
	conn = p.traffic.WrapConn(conn)
	served := make(chan struct{})
	defer close(served)
	go func() { // closes the connection when this function returns or the node ends
		select {
		case <-p.done:
		case <-served:
		}
		conn.Close()
	}()
	for p.serveMessage(conn) {
	}
}

// serveMessage reads and checks one message and passes it to Run, and reports whether the
// connection can still be used.
func (p *PolicyNode) serveMessage(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(linkIdleTimeout)) // fails only on a closed connection, as the read does
	m, err := readMessage(conn)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
			logging.Debug(p.log, logging.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", err)
		}
		return false
	}
	p.traffic.countReceived(m)
	inbound := inboundMessage{message: m}
	if m.Propose != nil {
		inbound.reply = make(chan *wire.Answer, 1)
	} else if !p.recordSender(m) {
		logging.Warn(p.log, logging.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", errNotMember)
		return false
	}
	select {
	case p.inbound <- inbound:
	case <-p.done:
		return false
	}
	if inbound.reply == nil {
		return true
	}
	select {
	case answer := <-inbound.reply:
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
		return writeMessage(conn, &wire.Message{From: p.cfg.Node.Name, Answer: answer}) == nil
	case <-p.done:
		return false
	}
}

// recordSender records when the sender was heard. It returns false if the sender is not on the
// roster, or the message is addressed to another gatherer.
func (p *PolicyNode) recordSender(m *wire.Message) bool {
	sender := (*p.peers.Load())[m.From]
	if sender == nil || m.To != p.cfg.Node.Name {
		return false
	}
	sender.heardAt.Store(p.now())
	return true
}
