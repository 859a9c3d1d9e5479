package peering

import (
	"errors"
	"net"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"
	"time"
)

// errNoAnswer is the error of a call that is answered by a message of another kind.
var errNoAnswer = errors.New("it answers something else")

// CallPolicyNode sends a proposal, or a request for the state, to a gatherer and returns its answer. The call takes timeout to connect and timeout to be
// answered at most. After an error the proposal may have been accepted.
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
