package settings

import (
	"net"
	"strconv"
)

// The internal ports of the scheduler's processes, as offsets from the first port of PortRange. They
// are the same on every machine, so that the address of a service on another machine can be derived
// from any address of that machine.
const (
	peerPort = iota
	gossipPort
	agentPort
	_ // reserved; no service uses it
	reservedPorts
)

// PeerAddress returns the address at which this process accepts calls from other processes of the
// scheduler.
func (s *Settings) PeerAddress() string { return s.addressOn(s.IP, peerPort) }

// GossipAddress returns the address of this process in the membership protocol.
func (s *Settings) GossipAddress() string { return s.addressOn(s.IP, gossipPort) }

// AgentAddress returns the address at which this machine's agent accepts calls.
func (s *Settings) AgentAddress() string { return s.addressOn(s.IP, agentPort) }

// PeerAddressOf returns the peer address on the machine of address, which may be that of any service.
// It returns "" if address has no port.
func (s *Settings) PeerAddressOf(address string) string { return s.addressOnHostOf(address, peerPort) }

// GossipAddressOf returns the address of the membership protocol on the machine of address, which may
// be that of any service. It returns "" if address has no port.
func (s *Settings) GossipAddressOf(address string) string {
	return s.addressOnHostOf(address, gossipPort)
}

func (s *Settings) addressOnHostOf(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return s.addressOn(host, port)
}

// addressOn returns the address on host of the reserved port with the given offset.
func (s *Settings) addressOn(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]+port))
}
