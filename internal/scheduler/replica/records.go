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

// The state in a snapshot is a stream of records, each prefixed with its length as a varint
// (package protodelim).

// ErrRecordTooLong is returned for a record of a snapshot's state whose length prefix exceeds the
// maximum.
var ErrRecordTooLong = errors.New("replica: record exceeds maximum length")

// ReadRecord reads the next record of a snapshot's state into a message. It returns io.EOF after
// the last record. Memory is allocated as the record's bytes arrive, regardless of the length
// prefix.
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
		return unexpectedEOF(err)
	}
	return proto.Unmarshal(encoded.Bytes(), record)
}

// unexpectedEOF converts io.EOF within a record to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeRecord appends a record to a snapshot's state.
func writeRecord(state *bytes.Buffer, record proto.Message) error {
	_, err := protodelim.MarshalTo(state, record)
	return err
}

// EncodeState returns the complete state that next iterates over (see StateMachine.Snapshot), for
// StateMachine.Restore to read. It is for tests of state machines; an Engine writes states in
// chunks.
func EncodeState(next func() proto.Message) (*bufio.Reader, error) {
	var state bytes.Buffer
	for record := next(); record != nil; record = next() {
		if err := writeRecord(&state, record); err != nil {
			return nil, err
		}
	}
	return bufio.NewReader(&state), nil
}
