package settings

import (
	"net"
	"strconv"
)

// The ports that the processes of a machine use among each other, as offsets from the first port of PortRange. They are the same on every
// machine, so that the address of a service on another machine follows from any address of that machine.
const (
	peerPort = iota
	gossipPort
	agentPort
	_ // reserved; no service uses it
	reservedPorts
)

// PeerAddress returns the address of this process's calls from other processes of the scheduler.
func (s *Settings) PeerAddress() string { return s.addressOn(s.IP, peerPort) }

// GossipAddress returns the address of this process in the membership protocol.
func (s *Settings) GossipAddress() string { return s.addressOn(s.IP, gossipPort) }

// AgentAddress returns the address with the port at which the agent of this machine answers.
func (s *Settings) AgentAddress() string { return s.addressOn(s.IP, agentPort) }

// PeerAddressOf returns the peer address on the machine of an address of any service, the empty string if address has no port.
func (s *Settings) PeerAddressOf(address string) string { return s.addressOnHostOf(address, peerPort) }

// GossipAddressOf returns the membership protocol's address on the machine of an address of any service, the empty string if address has no
// port.
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

// addressOn returns the address of one of the reserved ports on a host.
func (s *Settings) addressOn(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]+port))
}
