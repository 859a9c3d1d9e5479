package peering

import (
	"bytes"
	"encoding/hex"
	"saffronquay/internal/cluster/rollout/wire"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// goldenFrame is a recorded frame of an earlier build. It guards the compatibility of the wire
// format.
const goldenFrame = "00000020aa8fae2a0a026731120267321a0201024101010000000000004902010000000000005801"

func TestGoldenFrame(t *testing.T) {
	is := is.New(t)
	m := &wire.Message{From: "g1", To: "g2", Raft: []byte{1, 2}, Identity: 257, Target: 258, Global: true}
	var sent bytes.Buffer
	is.NoErr(writeMessage(&sent, m))
	is.Equal(hex.EncodeToString(sent.Bytes()), goldenFrame)
	frame, err := hex.DecodeString(goldenFrame)
	is.NoErr(err)
	read, err := readMessage(bytes.NewReader(frame))
	is.NoErr(err)
	is.True(proto.Equal(read, m))
}
