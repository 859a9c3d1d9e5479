package harness

import (
	"net"
	"net/netip"
	"time"
)

// listen opens a TCP socket. It needs no context: to bind a local address does not block.
func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address) //nolint:noctx // an address of loopback: nothing is looked up, so nothing can be waited for
}

// dial connects by TCP within a time.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout) //nolint:noctx // bounded by timeout, and by nothing else as before
}

// addrPort returns the address of a TCP or UDP socket; not valid for any other.
func addrPort(a net.Addr) netip.AddrPort {
	switch a := a.(type) {
	case *net.TCPAddr:
		return a.AddrPort()
	case *net.UDPAddr:
		return a.AddrPort()
	default:
		return netip.AddrPort{}
	}
}
