package peering

import (
	"errors"
	"net"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"
	"time"
)

// errNoAnswer is returned if the response is a message of another kind.
var errNoAnswer = errors.New("peering: response to a proposal carries no answer")

// CallPolicyNode sends a proposal, or a request for the state of one, to a gatherer and returns its
// answer. Connecting and waiting for the answer each take at most timeout. After an error the
// proposal may have been accepted.
func CallPolicyNode(address netip.AddrPort, proposal *wire.Propose, timeout time.Duration) (*wire.Answer, error) {
	conn, err := net.DialTimeout("tcp", address.String(), timeout) //nolint:noctx // bounded by timeout
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := writeMessage(conn, &wire.Message{Propose: proposal}); err != nil {
		return nil, err
	}
	m, err := readMessage(conn)
	if err != nil {
		return nil, err
	}
	if m.Answer == nil {
		return nil, errNoAnswer
	}
	return m.Answer, nil
}
