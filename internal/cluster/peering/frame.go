package peering

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"saffronquay/internal/cluster/rollout/wire"

	"google.golang.org/protobuf/proto"
)

const (
	// frameHeaderBytes is the length of a frame's header: the length of the message and its
	// CRC-32C, both big-endian.
	frameHeaderBytes = 8
	maxFrameBytes    = 16 << 20
)

// errChecksum is returned for a frame whose message was corrupted.
var errChecksum = errors.New("peering: message does not match its CRC-32C checksum")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// writeMessage writes a message as one frame, with one call of Write.
func writeMessage(w io.Writer, m *wire.Message) error {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderBytes, 256), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[frameHeaderBytes:], castagnoli))
	_, err = w.Write(frame)
	return err
}

// readMessage reads one frame and decodes its message. After an error nothing more can be read from
// the stream.
func readMessage(r io.Reader) (*wire.Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > maxFrameBytes {
		return nil, fmt.Errorf("peering: message length of %d bytes, allowed are 1 byte to 16 MiB", length)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(length) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errChecksum
	}
	m := &wire.Message{}
	return m, proto.Unmarshal(body, m)
}
