package peering

import (
	"bytes"
	"encoding/hex"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzReadMessage reads a frame of arbitrary bytes: either that fails, or the message survives
// another round trip.
func FuzzReadMessage(f *testing.F) {
	frame, err := hex.DecodeString(goldenFrame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := readMessage(bytes.NewReader(frame))
		if err != nil {
			return
		}
		var sent bytes.Buffer
		if err := writeMessage(&sent, m); err != nil {
			t.Fatal(err)
		}
		if again, err := readMessage(&sent); err != nil || !proto.Equal(m, again) {
			t.Errorf("%v became %v, %v", m, again, err)
		}
	})
}
