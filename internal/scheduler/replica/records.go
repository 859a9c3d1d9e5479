package replica

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// The state in a snapshot is a stream of records, each after its length as a varint (package protodelim).

// ErrRecordTooLong says that a record of a state states a length that none has.
var ErrRecordTooLong = errors.New("replica: record is too long")

// ReadRecord reads the next record of a state into a message. It returns io.EOF after the last record. Memory is taken as the record's bytes
// arrive, whatever length it states.
func ReadRecord(state *bufio.Reader, record proto.Message) error {
	length, err := binary.ReadUvarint(state)
	if err != nil {
		return err
	}
	if length > maxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrRecordTooLong, length)
	}
	var encoded bytes.Buffer
	encoded.Grow(int(min(length, ioBufferBytes)))
	if _, err := io.CopyN(&encoded, state, int64(length)); err != nil {
		return noEOF(err)
	}
	return proto.Unmarshal(encoded.Bytes(), record)
}

// noEOF turns the end of a state within a record into an error.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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
