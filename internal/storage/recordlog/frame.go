package recordlog

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// A frame is a magic number, the payload's length and a checksum, of 4, 4 and 8 bytes,
// little-endian, followed by the payload. The checksum is XXH64 of the payload, mixed with the
// seed of the file that the frame belongs to and its offset there, so bytes of another file or
// offset are not a valid frame.
const (
	magic          = 0x71524653 // "SFRq"
	lengthOffset   = 4
	checksumOffset = 8
	frameHeadSize  = 16
	// formatVersion is the version of all stored messages.
	formatVersion = 1
	// maxPayloadSize is the maximum payload of a frame, in bytes.
	maxPayloadSize = 16 << 20
	// maxFileSize is the maximum size of a file that is read, in bytes.
	maxFileSize = 1 << 30
	// MaxValue is the maximum size of a record's key and value together, in bytes.
	MaxValue = maxPayloadSize - 1<<10
)

// mix spreads the bits of a number, like the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func checksum(seed uint64, off int64, payload []byte) uint64 {
	return xxhash.Sum64(payload) ^ mix(seed+uint64(off)*0x9e3779b97f4a7c15+1)
}

// appendFrame appends a message as the frame at an offset of the file with the given seed.
func appendFrame(dst []byte, seed uint64, off int64, m proto.Message) ([]byte, error) {
	at := len(dst)
	dst = append(dst, make([]byte, frameHeadSize)...)
	dst, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(dst, m)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	payload := dst[at+frameHeadSize:]
	if len(payload) > maxPayloadSize {
		return nil, fmt.Errorf("store: payload of %d bytes exceeds the maximum frame size", len(payload))
	}
	binary.LittleEndian.PutUint32(dst[at:], magic)
	binary.LittleEndian.PutUint32(dst[at+lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(dst[at+checksumOffset:], checksum(seed, off, payload))
	return dst, nil
}

// frameAt returns the payload of the frame at an offset of a file's bytes; ok is false if there
// is no valid one. short means that the bytes end before the frame could: that is the result of a
// truncated write, or of space that was never written.
func frameAt(b []byte, seed uint64, off int64) (payload []byte, ok, short bool) {
	if off >= int64(len(b)) {
		return nil, false, true
	}
	b = b[off:]
	if len(b) < frameHeadSize {
		return nil, false, true
	}
	if binary.LittleEndian.Uint32(b) != magic {
		return nil, false, isZero(b)
	}
	size := payloadSize(b)
	if size > maxPayloadSize {
		return nil, false, false
	}
	if frameHeadSize+size > len(b) {
		return nil, false, true
	}
	frame := b[:frameHeadSize+size]
	return frame[frameHeadSize:], frameMatches(frame, seed, off), false
}

func isZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// payloadSize returns the payload size that a frame's head gives.
func payloadSize(head []byte) int { return int(binary.LittleEndian.Uint32(head[lengthOffset:])) }

// frameMatches reports whether the checksum of a complete frame at an offset is valid.
func frameMatches(frame []byte, seed uint64, off int64) bool {
	return checksum(seed, off, frame[frameHeadSize:]) == binary.LittleEndian.Uint64(frame[checksumOffset:])
}
