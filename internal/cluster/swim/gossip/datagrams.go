package gossip

import (
	"errors"
	"net"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/swim"
)

// readDatagrams passes datagrams to Run until the socket closes.
func (p *Driver) readDatagrams() {
	defer p.wg.Done()
	buf := make([]byte, readBuffer)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // on loopback a closed port is reported here; the socket stays usable
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
