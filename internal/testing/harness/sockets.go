package harness

import (
	"net"
	"net/netip"
	"time"
)

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address) //nolint:noctx // binding a loopback address needs no name lookup and does not block
}

// dial opens a TCP connection within timeout.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout) //nolint:noctx // bounded by timeout
}

// addrPort returns the address and port of a TCP or UDP address; invalid for any other type.
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
