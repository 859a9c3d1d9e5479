package gossip

import (
	"errors"
	"net"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/swim"
)

// readDatagrams passes received datagrams to Run until the socket is closed.
func (p *Driver) readDatagrams() {
	defer p.wg.Done()
	buf := make([]byte, readBufferBytes)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // on loopback, sending to a closed port is reported here; the socket stays usable
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
