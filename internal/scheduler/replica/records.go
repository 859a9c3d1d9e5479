package replica

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// The state in a snapshot is a stream of records, each after its length as a varint (package protodelim).

// ReadRecord reads the next record of a state into a message. It returns io.EOF after the last record.
func ReadRecord(state *bufio.Reader, record proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: -1}.UnmarshalFrom(state, record)
}

// writeRecord appends a record to a state.
func writeRecord(state *bytes.Buffer, record proto.Message) error {
	_, err := protodelim.MarshalTo(state, record)
	return err
}

// EncodeState returns the complete state that next yields (see StateMachine.Snapshot), for StateMachine.Restore to read. It serves tests of state
// machines; an Engine writes states in chunks.
func EncodeState(next func() proto.Message) (*bufio.Reader, error) {
	var state bytes.Buffer
	for record := next(); record != nil; record = next() {
		if err := writeRecord(&state, record); err != nil {
			return nil, err
		}
	}
	return bufio.NewReader(&state), nil
}
