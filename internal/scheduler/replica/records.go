package replica

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// The state of a snapshot is a stream of records, each behind its length.

// ReadRecord reads the next record of a state; io.EOF behind the last one.
func ReadRecord(state *bufio.Reader, record proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: -1}.UnmarshalFrom(state, record)
}

func writeRecord(state *bytes.Buffer, record proto.Message) error {
	_, err := protodelim.MarshalTo(state, record)
	return err
}

// EncodeState returns a whole state as Restore reads it. Engines write states piece by piece instead.
func EncodeState(next func() proto.Message) (*bufio.Reader, error) {
	var state bytes.Buffer
	for record := next(); record != nil; record = next() {
		if err := writeRecord(&state, record); err != nil {
			return nil, err
		}
	}
	return bufio.NewReader(&state), nil
}
